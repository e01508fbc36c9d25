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

/// A fleet in simulated time: hosts that gossip, read a store, share limits and
/// send to cold targets, over a network that loses, delays and cuts, while they
/// freeze, die and are replaced. Hosts decide by the tier's own parts; the
/// model knows what all of them did together.
class FleetModel {
 public:
  struct Options {
    int hosts_per_domain = 4;
    /// Part of the messages that are lost in bad times.
    double loss = 0.3;
    /// Mean time between disruptions.
    absl::Duration trouble_period = absl::Seconds(2);
    bool kills = true;
    bool cuts = true;
    bool freezes = true;
  };

  FleetModel(Options options, uint32_t seed);

  /// Plays until so many things have happened at hosts.
  /// @return what was broken first, or "".
  std::string Play(int64_t steps);

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
    absl::Time boot_at;
    absl::Time frozen_until;
    absl::Time next_round;
    absl::Time next_read;
    int round = 0;
    int64_t lifetime = 0;
    std::unique_ptr<HostTable> table;
    std::unique_ptr<FleetShares> shares;
    std::map<TargetId, FleetRank> ranks;
    std::unique_ptr<RetryBudget> budget;
    std::map<TargetId, ColdSendLimiter> cold;
    PublishedItems items;
    /// Whether the store answered its last call.
    bool is_answered = false;
  };

  struct Message {
    absl::Time at;
    int64_t sequence = 0;
    HostId to;
    int64_t to_lifetime = 0;
    size_t from_domain = 0;
    HostNews news;
    Revision revision = 0;
    /// Whether it brings items instead of news.
    bool brings_items = false;
    std::vector<PublishedItem> items;

    friend bool operator>(const Message& a, const Message& b) {
      return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
    }
  };
  struct Arrival {
    absl::Time sent;
    absl::Time arrived;
  };

  void AddHost(size_t domain);
  void Boot(Host& host);
  void Tick();
  void Act(Host& host);
  void NextRound(Host& host);
  void Serve(Host& host);
  /// @return requests in the window that ends at `end`.
  int64_t RequestsBefore(absl::Time end) const;
  void SendCold(Host& host);
  void Read(Host& host);
  NewsRole RoleOf(const Host& host) const;
  void PassOn(Host& host);
  void Tell(Host& host, const std::vector<HostId>& to, bool names_hosts);
  void Deliver(Message message);
  void Merge(Host& host, const std::vector<PublishedItem>& items);
  void Publish();
  void Trouble();
  void Kill(Host& host);
  void Post(Message message);
  bool IsCut(size_t from, size_t to) const;
  bool Acts(const Host& host) const;
  Host* Find(const HostId& id);
  absl::Duration Between(int low_ms, int high_ms);
  bool Chance(double part);
  void Break(const std::string& what);

  const Options options_;
  std::mt19937_64 random_;
  absl::Time now_;
  absl::Time next_trouble_;
  absl::Time bad_network_until_;
  absl::Time bad_targets_until_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::pair<size_t, size_t>, absl::Time> cut_until_;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> messages_;
  PublishedItems store_;
  std::map<std::string, std::deque<Arrival>> cold_arrivals_;
  /// Of the last two windows.
  std::deque<absl::Time> requests_;
  std::deque<absl::Time> extras_;
  std::string broken_;
  int64_t steps_ = 0;
  int64_t cold_sends_ = 0;
  int64_t extra_sends_ = 0;
  int64_t lifetimes_ = 0;
  int64_t store_calls_ = 0;
  int64_t messages_sent_ = 0;
  int next_address_ = 1;
};

}  // namespace cherrydyke
