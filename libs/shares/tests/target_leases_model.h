#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "shares/target_leases.h"

namespace cherrydyke {

/// Runs the gates of one failure domain through random faults and watches the
/// targets: lost, late and doubled heartbeats, cuts, freezes with queued input,
/// kills, restarts, host lists that reach gates at different times.
class TargetLeasesModel {
 public:
  TargetLeasesModel(uint64_t seed, TargetLeases::Options options)
      : random_(seed), options_(options), now_(absl::UnixEpoch()) {
    now_ += absl::Hours(1);
    for (int g = 0; g < kGates; ++g) listed_.insert(GateName(g));
    Publish();
    for (int g = 0; g < kGates; ++g) Restart(GateName(g));
  }

  /// @return the first violation, or "".
  std::string Run(int steps) {
    for (int step = 0; step < steps && violation_.empty(); ++step) Step();
    return violation_;
  }

  int sends() const { return sends_; }

 private:
  static constexpr int kGates = 4;
  static constexpr int kTargets = 6;

  struct Message {
    absl::Time due;
    HostId from;
    HostId to;
    Incarnation incarnation;
    Revision hosts_revision;
    Revision settled_revision;
    bool is_reply;
    absl::Time echo;
  };

  struct Running {
    TargetId target;
    absl::Time ends;
  };

  struct Gate {
    bool alive = false;
    bool frozen = false;
    Incarnation incarnation = 0;
    std::unique_ptr<TargetLeases> holdings;
    std::vector<Running> running;
    std::deque<Message> inbox;
    size_t list = 0;
  };

  struct AtTarget {
    HostId gate;
    absl::Time ends;
    bool alone = false;
  };

  static HostId GateName(int g) { return "gate-" + std::to_string(g); }

  uint64_t Draw(uint64_t bound) { return random_() % bound; }
  bool Chance(int percent) {
    return Draw(100) < static_cast<uint64_t>(percent);
  }

  void Publish() {
    HostList list;
    list.revision = static_cast<Revision>(lists_.size()) + 1;
    for (const HostId& gate : listed_) {
      list.hosts.push_back({gate, HostKind::kEntry, "Sofia", gate, {}});
    }
    for (int t = 0; t < kTargets; ++t) {
      const std::string id = "target-" + std::to_string(t);
      list.hosts.push_back({id, HostKind::kTarget, "Sofia", id, {}});
    }
    lists_.push_back(list);
  }

  void Restart(const HostId& id) {
    Gate& gate = gates_[id];
    gate = {};
    gate.alive = true;
    gate.incarnation = ++last_incarnation_;
    gate.holdings = std::make_unique<TargetLeases>(id, "Sofia", options_);
    LearnNewest(gate);
  }

  void LearnNewest(Gate& gate) {
    gate.list = lists_.size();
    gate.holdings->OnHostList(lists_.back(), now_);
    gate.holdings->OnPlatformContact(now_);
  }

  bool IsCut(const HostId& a, const HostId& b) const {
    return cuts_.count({std::min(a, b), std::max(a, b)}) > 0;
  }

  void SendHeartbeat(const HostId& from, const HostId& to, bool is_reply,
                     absl::Time echo) {
    const Gate& gate = gates_[from];
    Message message{now_ + absl::Milliseconds(1 + Draw(30)),
                    from,
                    to,
                    gate.incarnation,
                    static_cast<Revision>(gate.list),
                    gate.holdings->settled_revision(),
                    is_reply,
                    is_reply ? echo : now_};
    if (Chance(5)) message.due += absl::Milliseconds(Draw(3000));
    if (Chance(10)) return;
    if (Chance(5)) network_.push_back(message);
    network_.push_back(message);
  }

  void Deliver() {
    std::vector<Message> due;
    for (auto it = network_.begin(); it != network_.end();) {
      if (it->due > now_) {
        ++it;
        continue;
      }
      due.push_back(*it);
      it = network_.erase(it);
    }
    for (const Message& message : due) {
      Gate& gate = gates_[message.to];
      if (!gate.alive || IsCut(message.from, message.to)) continue;
      gate.inbox.push_back(message);
    }
    for (auto& [id, gate] : gates_) {
      while (gate.alive && !gate.frozen && !gate.inbox.empty()) {
        const Message message = gate.inbox.front();
        gate.inbox.pop_front();
        Receive(id, gate, message);
      }
    }
  }

  void Receive(const HostId& id, Gate& gate, const Message& message) {
    const absl::Time evidence =
        message.is_reply ? message.echo : absl::InfinitePast();
    gate.holdings->OnPeerHeartbeat(message.from, message.incarnation,
                                   message.hosts_revision,
                                   message.settled_revision, evidence, now_);
    const auto behind = static_cast<size_t>(message.hosts_revision) > gate.list;
    if (behind && Chance(70)) {
      gate.list = static_cast<size_t>(message.hosts_revision);
      gate.holdings->OnHostList(lists_[gate.list - 1], now_);
    }
    if (!message.is_reply) SendHeartbeat(id, message.from, true, message.echo);
  }

  void EndRequests() {
    for (auto& [id, gate] : gates_) {
      if (!gate.alive || gate.frozen) continue;
      for (auto it = gate.running.begin(); it != gate.running.end();) {
        if (it->ends > now_) {
          ++it;
          continue;
        }
        gate.holdings->End(it->target);
        it = gate.running.erase(it);
      }
    }
  }

  void TrySend(const HostId& id, Gate& gate) {
    const TargetId target = "target-" + std::to_string(Draw(kTargets));
    if (!gate.holdings->TryBegin(target, now_)) return;
    ++sends_;
    auto& at_target = at_targets_[target];
    for (const AtTarget& other : at_target) {
      // A gate alone and unconfirmed is the case that the rules leave open.
      const bool allowed =
          other.alone || gate.holdings->ServesWithoutConfirmation(now_);
      if (other.gate != id && other.ends > now_ && !allowed) {
        violation_ = id + " sends to " + target + " while a request of " +
                     other.gate + " runs there";
      }
    }
    const bool alone = gate.holdings->ServesWithoutConfirmation(now_);
    const absl::Time ends = now_ + options_.max_attempt_duration *
                                       (static_cast<double>(Draw(101)) / 100);
    at_target.push_back({id, ends, alone});
    gate.running.push_back({target, ends});
  }

  void Fault() {
    const HostId id = GateName(static_cast<int>(Draw(kGates)));
    const HostId other = GateName(static_cast<int>(Draw(kGates)));
    Gate& gate = gates_[id];
    switch (Draw(10)) {
      case 0:
        gate.alive = false;
        gate.inbox.clear();
        break;
      case 1:
        if (!gate.alive) Restart(id);
        break;
      case 2:
        gate.frozen = true;
        break;
      case 3:
        gate.frozen = false;
        // A gate that wakes may act before it reads what waits for it.
        if (gate.alive) TrySend(id, gate);
        break;
      case 4:
        if (id != other)
          cuts_.insert({std::min(id, other), std::max(id, other)});
        break;
      case 5:
        cuts_.clear();
        no_platform_.clear();
        break;
      case 6:
        for (int g = 0; g < kGates; ++g) {
          if (GateName(g) != id) {
            cuts_.insert(
                {std::min(id, GateName(g)), std::max(id, GateName(g))});
          }
        }
        no_platform_.insert(id);
        break;
      default:
        if (listed_.count(id) > 0 && listed_.size() > 1) {
          listed_.erase(id);
        } else {
          listed_.insert(id);
        }
        Publish();
        break;
    }
  }

  void CheckSilentPeers(const HostId& id, Gate& gate) {
    for (const auto& [other_id, other] : gates_) {
      const bool refused = !other.alive && !IsCut(id, other_id);
      if (other_id != id && refused) gate.holdings->OnPeerDead(other_id, now_);
    }
  }

  void Step() {
    now_ += absl::Milliseconds(1 + Draw(120));
    Deliver();
    EndRequests();
    if (Chance(6)) Fault();
    for (auto& [id, gate] : gates_) {
      if (!gate.alive || gate.frozen) continue;
      if (Chance(30)) {
        for (const auto& [peer, state] : gates_) {
          if (peer != id) SendHeartbeat(id, peer, false, {});
        }
      }
      if (Chance(4) && no_platform_.count(id) == 0) LearnNewest(gate);
      if (Chance(10)) CheckSilentPeers(id, gate);
      gate.holdings->AcquireReady(now_);
      TrySend(id, gate);
    }
  }

  std::mt19937_64 random_;
  const TargetLeases::Options options_;
  absl::Time now_;
  std::set<HostId> listed_;
  std::vector<HostList> lists_;
  std::map<HostId, Gate> gates_;
  std::vector<Message> network_;
  std::set<std::pair<HostId, HostId>> cuts_;
  std::set<HostId> no_platform_;
  std::map<TargetId, std::vector<AtTarget>> at_targets_;
  Incarnation last_incarnation_ = 0;
  int sends_ = 0;
  std::string violation_;
};

}  // namespace cherrydyke
