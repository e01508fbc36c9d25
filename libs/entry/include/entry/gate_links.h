#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "entry/target_directory.h"
#include "telemetry/metrics.h"
#include "wire/link.h"

namespace cherrydyke {

/// Where the answers of one query arrive.
class SubAnswerQueue {
 public:
  void Put(SubAnswer answer);
  /// @return false if nothing came before `until`.
  bool Take(SubAnswer& answer, absl::Time until, const Clock& clock);

 private:
  absl::Mutex mutex_;
  absl::CondVar arrived_;
  std::deque<SubAnswer> answers_ ABSL_GUARDED_BY(mutex_);
};

/// An entry's links to all gates, and what waits for answers on them.
/// Thread-safe.
class GateLinks {
 public:
  GateLinks(Hello hello, int link_port, Connector& connector,
            TargetDirectory& directory, const Clock& clock, Metrics& metrics);
  ~GateLinks();

  /// Opens links to new gates and closes those to gates no longer listed.
  void OnHosts(const HostList& hosts);

  /// Sends sub-requests of one query to one gate; each gets exactly one answer
  /// in the box until it is forgotten.
  void Send(const HostId& gate, const SubRequestBatch& batch,
            const std::shared_ptr<SubAnswerQueue>& box);

  /// Forgets attempts and asks their gates to cancel them.
  void Cancel(const std::vector<AttemptId>& attempts);

  /// Asks a gate for a ticket. @return the outcome `kLinkLost` if none came.
  TicketReply RequestTicket(const HostId& gate, TicketRequest request,
                            absl::Duration timeout);

  /// Has a gate run an action. @return `kLinkLost` if no answer came.
  ActionReply RunAction(const HostId& gate, ActionRequest request,
                        absl::Duration timeout);

  size_t connected() const;
  void Stop();

 private:
  class Peer;
  struct PendingAttempt {
    HostId gate;
    TargetId target;
    std::weak_ptr<SubAnswerQueue> box;
  };
  struct PendingCall {
    HostId gate;
    std::optional<Message> reply;
  };

  void OnMessage(const HostId& gate, Message message);
  void OnBroken(const HostId& gate);
  void OnSubAnswer(SubAnswer answer);
  void OnCallReply(uint64_t call_id, Message message);
  void FailAttempts(const std::vector<AttemptId>& attempts, bool not_sent);
  std::shared_ptr<Peer> FindPeer(const HostId& gate) const;
  std::optional<Message> Call(const HostId& gate, uint64_t call_id,
                              const Message& request, absl::Duration timeout);

  const Hello hello_;
  const int link_port_;
  Connector& connector_;
  TargetDirectory& directory_;
  const Clock& clock_;
  Metrics& metrics_;

  mutable absl::Mutex mutex_;
  std::map<HostId, std::shared_ptr<Peer>> peers_ ABSL_GUARDED_BY(mutex_);

  absl::Mutex pending_mutex_;
  absl::CondVar call_answered_;
  absl::flat_hash_map<AttemptId, PendingAttempt> attempts_
      ABSL_GUARDED_BY(pending_mutex_);
  std::map<uint64_t, PendingCall> calls_ ABSL_GUARDED_BY(pending_mutex_);
  uint64_t last_call_ ABSL_GUARDED_BY(pending_mutex_) = 0;
};

}  // namespace cherrydyke
