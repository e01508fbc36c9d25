#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/cold_send_limiter.h"
#include "dispatch/retry_budget.h"
#include "membership/fleet_shares.h"
#include "membership/host_table.h"
#include "tier/published_items.h"

namespace cherrydyke {

/// Simulates a fleet of hosts that gossip, read a store, share limits and send
/// to cold targets, with message loss, delays, network partitions, and hosts
/// that freeze, restart and are replaced. The hosts use the tier's own decision
/// code; the model checks fleet-wide limits over the sends of all hosts, and
/// that no host misses or reverts a published change.
class FleetModel {
 public:
  struct Options {
    int hosts_per_domain = 4;
    /// Fraction of messages lost while the network is lossy.
    double loss = 0.3;
    /// Mean time between faults.
    absl::Duration fault_period = absl::Seconds(2);
    bool restarts = true;
    bool partitions = true;
    bool freezes = true;
  };

  FleetModel(Options options, uint32_t seed);

  /// Runs the simulation for a number of events at hosts.
  /// @return the first violation, or "".
  std::string Run(int64_t steps);

  int64_t cold_sends() const { return cold_sends_; }
  int64_t extra_sends() const { return extra_sends_; }
  int64_t lifetimes() const { return lifetimes_; }
  int64_t store_calls() const { return store_calls_; }

 private:
  struct Host {
    KnownHost self;
    size_t domain = 0;
    bool alive = false;
    bool replaced = false;
    absl::Time starts_at;
    absl::Time frozen_until;
    absl::Time next_gossip_at;
    absl::Time next_read_at;
    int round = 0;
    int64_t lifetime = 0;
    std::unique_ptr<HostTable> table;
    std::unique_ptr<FleetShares> shares;
    std::map<TargetId, FleetRank> ranks;
    std::unique_ptr<RetryBudget> budget;
    std::map<TargetId, ColdSendLimiter> cold;
    PublishedItems items;
    /// Whether the store answered the host's last call.
    bool is_store_answering = false;
  };

  struct Message {
    absl::Time at;
    int64_t sequence = 0;
    HostId to;
    int64_t to_lifetime = 0;
    size_t from_domain = 0;
    MembershipUpdate news;
    Revision revision = 0;
    /// Whether it carries published items instead of a membership update.
    bool carries_items = false;
    PublishedChanges changes;

    friend bool operator>(const Message& a, const Message& b) {
      return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
    }
  };
  struct Arrival {
    absl::Time sent;
    absl::Time arrived;
  };

  void AddHost(size_t domain);
  void Start(Host& host);
  void Tick();
  void Step(Host& host);
  void RunGossipRound(Host& host);
  void ServeRequest(Host& host);
  /// @return number of requests in the window that ends at `end`.
  int64_t RequestsInWindow(absl::Time end) const;
  void SendCold(Host& host);
  void Read(Host& host);
  DisseminationRole RoleOf(const Host& host) const;
  void NotifyDownstream(Host& host);
  void SendGossip(Host& host, const std::vector<HostId>& to,
                  bool includes_hosts);
  void Deliver(Message message);
  void Merge(Host& host, const PublishedChanges& changes);
  void PublishChange();
  void InjectFault();
  void Kill(Host& host);
  void SendMessage(Message message);
  bool IsBlocked(size_t from, size_t to) const;
  bool IsActive(const Host& host) const;
  Host* Find(const HostId& id);
  absl::Duration RandomDelay(int low_ms, int high_ms);
  bool WithProbability(double probability);
  void Fail(const std::string& what);

  const Options options_;
  std::mt19937_64 random_;
  absl::Time now_;
  absl::Time next_fault_at_;
  absl::Time lossy_network_until_;
  absl::Time failing_targets_until_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::pair<size_t, size_t>, absl::Time> partitioned_until_;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> messages_;
  PublishedItems store_;
  std::map<std::string, std::deque<Arrival>> cold_arrivals_;
  /// Times of requests in the last two windows.
  std::deque<absl::Time> requests_at_;
  /// Times of extra sends in the last window.
  std::deque<absl::Time> extra_sends_at_;
  std::string violation_;
  int64_t steps_ = 0;
  int64_t cold_sends_ = 0;
  int64_t extra_sends_ = 0;
  int64_t lifetimes_ = 0;
  int64_t store_calls_ = 0;
  int64_t messages_sent_ = 0;
  int next_address_ = 1;
};

}  // namespace cherrydyke
