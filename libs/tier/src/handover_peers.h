#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dispatch/handover_choice.h"
#include "dispatch/handover_wait.h"
#include "engine/connection_pool.h"
#include "membership/host_table.h"
#include "tier/handover_client.h"
#include "tier/round_trip_estimate.h"

namespace cherrydyke {

/// The hosts to which this one can hand requests. Asks a few live hosts for
/// offers while they are needed, and keeps connections to those only.
class HandoverPeers {
 public:
  using VersionCallback = HandoverClient::VersionCallback;

  /// @param on_change called when a peer begins or ceases to take requests
  /// over, and when one that was silent answers.
  HandoverPeers(engine::EventLoop& loop, Locality locality, int port,
                const HostTable& hosts, VersionCallback on_version,
                std::function<void()> on_change);

  /// Looks for peers from now on, until not called for some seconds.
  void Prepare();

  /// @return a peer that can run the request, or nothing.
  std::optional<HostId> Choose(const HandoverCriteria& criteria);

  /// @return until when a request that no peer can take over now may wait for
  /// one; nothing if it is to be refused at once.
  std::optional<absl::Time> WaitEnd(const UnplacedRequest& request);

  /// @return why none of the peers can run the request: the number of peers by
  /// the name of their obstacle.
  std::map<std::string, int> CountObstacles(
      const HandoverCriteria& criteria) const;

  /// @return whether the body of a request may be sent to a peer.
  bool MayReceiveBody(const HostId& peer,
                      const HandoverCriteria& criteria) const;

  /// Sends a request to a peer returned by `Choose`.
  /// @param done as for `ConnectionPool::Send`.
  engine::ExchangeId Send(const HostId& peer, engine::PoolRequest request);
  /// Cancels an exchange at once.
  void Cancel(const HostId& peer, engine::ExchangeId exchange);

  /// @return the version of the configuration that a peer last told.
  int64_t OfferedVersion(const HostId& peer) const;
  /// A peer has told its version outside of an offer; an offer that was made
  /// later may have arrived before.
  void RaiseOfferedVersion(const HostId& peer, int64_t version);

  /// Excludes a peer for some time.
  void Exclude(const HostId& peer, absl::Duration time);
  /// A peer could not be connected to: excludes it until it answers again.
  void OnSilent(const HostId& peer);

  /// @return the HTTP request line and headers of a request to a peer, with the
  /// empty line.
  /// @param headers further headers, each with its line break.
  static std::string RequestHead(const char* method, const char* path,
                                 const HostId& peer, size_t body_bytes,
                                 const std::string& headers = "");

 private:
  /// A question under way; none without an exchange.
  struct Question {
    engine::ExchangeId exchange = 0;
    absl::Time asked_at;
    engine::TimerId timer = 0;
  };
  struct Peer {
    HandoverCandidate candidate;
    std::unique_ptr<engine::ConnectionPool> pool;
    absl::Time added_at;
    /// The question that is not late yet, and one that is: its answer counts
    /// when it comes.
    Question asking;
    Question late;
    RoundTripEstimate round_trips;

    bool takes_requests() const {
      return candidate.offer.available && !candidate.is_silent;
    }
  };

  std::vector<HandoverCandidate> Candidates() const;

  void Poll();
  /// Soon asks the silent peers that are expected back, and again.
  void PollSilent();
  void AddPeers();
  void RemoveUnusedPeers();
  void Ask(const HostId& host, Peer& peer);
  /// Looks whether the question of a peer is late, and again when it can be.
  void CheckQuestion(const HostId& host, Peer& peer);
  /// A question was not answered in time.
  void OnQuestionLate(const HostId& host);
  void OnAnswer(const HostId& host, absl::Time asked_at,
                const engine::ExchangeResult& result);
  void OnOffer(Peer& peer, const engine::ExchangeResult& result);
  /// Tells of a change of what a peer takes over.
  /// @param took_requests whether it did before.
  void ReportChange(const HostId& host, bool took_requests, bool was_silent);

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Locality locality_;
  const int port_;
  const HostTable& hosts_;
  const VersionCallback on_version_;
  const std::function<void()> on_change_;
  std::mt19937_64 random_;
  std::map<HostId, Peer> peers_;
  absl::Time needed_until_ = absl::InfinitePast();
  bool polling_ = false;
  bool polling_silent_ = false;
};

}  // namespace cherrydyke
