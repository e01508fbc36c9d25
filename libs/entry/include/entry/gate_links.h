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

/// Thread-safe queue of the answers to the sub-requests of one query.
class SubRequestReplyQueue {
 public:
  void Push(SubRequestReply answer);
  /// Waits for an answer.
  /// @return false if none arrived before `until`.
  bool Pop(SubRequestReply& answer, absl::Time until, const Clock& clock);

 private:
  absl::Mutex mutex_;
  absl::CondVar arrived_;
  std::deque<SubRequestReply> answers_ ABSL_GUARDED_BY(mutex_);
};

/// Links from an entry to all gates, with the sub-requests and calls that wait
/// for answers on them. Thread-safe.
class GateLinks {
 public:
  GateLinks(Hello hello, int link_port, Connector& connector,
            TargetDirectory& directory, const Clock& clock, Metrics& metrics);
  ~GateLinks();

  /// Opens links to new gates and closes links to gates that are no longer in
  /// the host list or have another address.
  void OnHosts(const HostList& hosts);

  /// Sends sub-requests of one query to one gate. Exactly one answer to each of
  /// them is added to the queue, unless the attempt is cancelled first. If the
  /// link fails, the answer has the outcome `kUnreachable` or `kLinkLost`.
  void Send(const HostId& gate, const SubRequestBatch& batch,
            const std::shared_ptr<SubRequestReplyQueue>& reply_queue);

  /// Stops waiting for the attempts and sends cancel requests to their gates.
  void Cancel(const std::vector<AttemptId>& attempts);

  /// Requests a ticket from a gate.
  /// @return the reply, with the outcome `kLinkLost` if none arrived in time.
  TicketReply RequestTicket(const HostId& gate, TicketRequest request,
                            absl::Duration timeout);

  /// Sends an action to a gate.
  /// @return the reply, with the outcome `kLinkLost` if none arrived in time.
  ActionReply RunAction(const HostId& gate, ActionRequest request,
                        absl::Duration timeout);

  size_t connected_count() const;
  void Stop();

 private:
  class GateLink;
  struct PendingAttempt {
    HostId gate;
    TargetId target;
    std::weak_ptr<SubRequestReplyQueue> reply_queue;
  };
  struct PendingCall {
    HostId gate;
    std::optional<Message> reply;
  };

  void OnMessage(const HostId& gate, Message message);
  void OnLinkDown(const HostId& gate);
  void OnSubRequestReply(SubRequestReply answer);
  void OnCallReply(uint64_t call_id, Message message);
  /// Adds a failure as the answer to each attempt.
  /// @param not_sent whether the attempts are known not to have been sent.
  void FailAttempts(const std::vector<AttemptId>& attempts, bool not_sent);
  std::shared_ptr<GateLink> FindGateLink(const HostId& gate) const;
  /// Sends a request and waits for the reply with the same `call_id`.
  /// @return nothing if the link failed or no reply arrived in time.
  std::optional<Message> Call(const HostId& gate, uint64_t call_id,
                              const Message& request, absl::Duration timeout);

  const Hello hello_;
  const int link_port_;
  Connector& connector_;
  TargetDirectory& directory_;
  const Clock& clock_;
  Metrics& metrics_;

  mutable absl::Mutex mutex_;
  std::map<HostId, std::shared_ptr<GateLink>> links_ ABSL_GUARDED_BY(mutex_);

  absl::Mutex pending_mutex_;
  absl::CondVar call_answered_;
  absl::flat_hash_map<AttemptId, PendingAttempt> pending_attempts_
      ABSL_GUARDED_BY(pending_mutex_);
  std::map<uint64_t, PendingCall> pending_calls_
      ABSL_GUARDED_BY(pending_mutex_);
  uint64_t last_call_id_ ABSL_GUARDED_BY(pending_mutex_) = 0;
};

}  // namespace cherrydyke
