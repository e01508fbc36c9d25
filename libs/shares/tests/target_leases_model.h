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

/// Simulates the gates of one failure domain under random faults and checks
/// that no two gates send to a target at once. Faults are lost, late and
/// duplicate heartbeats, partitions, pauses with queued input, kills, restarts
/// and host lists that reach gates at different times.
class TargetLeasesModel {
 public:
  TargetLeasesModel(uint64_t seed, TargetLeases::Options options)
      : random_(seed), options_(options), now_(absl::UnixEpoch()) {
    now_ += absl::Hours(1);
    for (int g = 0; g < kGates; ++g) listed_gates_.insert(GateName(g));
    Publish();
    for (int g = 0; g < kGates; ++g) Restart(GateName(g));
  }

  /// @return the first violation, or an empty string.
  std::string Run(int steps) {
    for (int step = 0; step < steps && violation_.empty(); ++step) Step();
    return violation_;
  }

  int sends() const { return sends_; }

 private:
  static constexpr int kGates = 4;
  static constexpr int kTargets = 6;

  struct Message {
    absl::Time deliver_at;
    HostId from;
    HostId to;
    Incarnation incarnation;
    Revision hosts_revision;
    Revision settled_revision;
    bool is_reply;
    absl::Time echo;
  };

  struct RunningRequest {
    TargetId target;
    absl::Time ends_at;
  };

  struct Gate {
    bool alive = false;
    bool paused = false;
    Incarnation incarnation = 0;
    std::unique_ptr<TargetLeases> leases;
    std::vector<RunningRequest> running;
    std::deque<Message> inbox;
    size_t revision = 0;
  };

  struct ActiveRequest {
    HostId gate;
    absl::Time ends_at;
    bool unconfirmed = false;
  };

  static HostId GateName(int g) { return "gate-" + std::to_string(g); }

  uint64_t RandomBelow(uint64_t bound) { return random_() % bound; }
  bool Chance(int percent) {
    return RandomBelow(100) < static_cast<uint64_t>(percent);
  }

  void Publish() {
    HostList list;
    list.revision = static_cast<Revision>(lists_.size()) + 1;
    for (const HostId& gate : listed_gates_) {
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
    gate.leases = std::make_unique<TargetLeases>(id, "Sofia", options_);
    ApplyNewestList(gate);
  }

  void ApplyNewestList(Gate& gate) {
    gate.revision = lists_.size();
    gate.leases->OnHostList(lists_.back(), now_);
    gate.leases->OnPlatformContact(now_);
  }

  bool IsPartitioned(const HostId& a, const HostId& b) const {
    return partitions_.count({std::min(a, b), std::max(a, b)}) > 0;
  }

  void SendHeartbeat(const HostId& from, const HostId& to, bool is_reply,
                     absl::Time echo) {
    const Gate& gate = gates_[from];
    Message message{now_ + absl::Milliseconds(1 + RandomBelow(30)),
                    from,
                    to,
                    gate.incarnation,
                    static_cast<Revision>(gate.revision),
                    gate.leases->settled_revision(),
                    is_reply,
                    is_reply ? echo : now_};
    if (Chance(5)) message.deliver_at += absl::Milliseconds(RandomBelow(3000));
    if (Chance(10)) return;
    if (Chance(5)) network_.push_back(message);
    network_.push_back(message);
  }

  void Deliver() {
    std::vector<Message> due_messages;
    for (auto it = network_.begin(); it != network_.end();) {
      if (it->deliver_at > now_) {
        ++it;
        continue;
      }
      due_messages.push_back(*it);
      it = network_.erase(it);
    }
    for (const Message& message : due_messages) {
      Gate& gate = gates_[message.to];
      if (!gate.alive || IsPartitioned(message.from, message.to)) continue;
      gate.inbox.push_back(message);
    }
    for (auto& [id, gate] : gates_) {
      while (gate.alive && !gate.paused && !gate.inbox.empty()) {
        const Message message = gate.inbox.front();
        gate.inbox.pop_front();
        Receive(id, gate, message);
      }
    }
  }

  void Receive(const HostId& id, Gate& gate, const Message& message) {
    const absl::Time echo_sent_at =
        message.is_reply ? message.echo : absl::InfinitePast();
    gate.leases->OnPeerHeartbeat(message.from, message.incarnation,
                                 message.hosts_revision,
                                 message.settled_revision, echo_sent_at, now_);
    const auto behind =
        static_cast<size_t>(message.hosts_revision) > gate.revision;
    if (behind && Chance(70)) {
      gate.revision = static_cast<size_t>(message.hosts_revision);
      gate.leases->OnHostList(lists_[gate.revision - 1], now_);
    }
    if (!message.is_reply) SendHeartbeat(id, message.from, true, message.echo);
  }

  void EndRequests() {
    for (auto& [id, gate] : gates_) {
      if (!gate.alive || gate.paused) continue;
      for (auto it = gate.running.begin(); it != gate.running.end();) {
        if (it->ends_at > now_) {
          ++it;
          continue;
        }
        gate.leases->End(it->target);
        it = gate.running.erase(it);
      }
    }
  }

  void TrySend(const HostId& id, Gate& gate) {
    const TargetId target = "target-" + std::to_string(RandomBelow(kTargets));
    if (!gate.leases->TryBegin(target, now_)) return;
    ++sends_;
    auto& active_requests = requests_by_target_[target];
    for (const ActiveRequest& other : active_requests) {
      // A gate without peers and confirmation is a case that the leases do not
      // cover.
      const bool allowed =
          other.unconfirmed || gate.leases->ServesWithoutConfirmation(now_);
      if (other.gate != id && other.ends_at > now_ && !allowed) {
        violation_ = id + " sends to " + target + " while a request of " +
                     other.gate + " runs there";
      }
    }
    const bool unconfirmed = gate.leases->ServesWithoutConfirmation(now_);
    const absl::Time ends_at =
        now_ + options_.max_attempt_duration *
                   (static_cast<double>(RandomBelow(101)) / 100);
    active_requests.push_back({id, ends_at, unconfirmed});
    gate.running.push_back({target, ends_at});
  }

  void InjectFault() {
    const HostId id = GateName(static_cast<int>(RandomBelow(kGates)));
    const HostId other = GateName(static_cast<int>(RandomBelow(kGates)));
    Gate& gate = gates_[id];
    switch (RandomBelow(10)) {
      case 0:
        gate.alive = false;
        gate.inbox.clear();
        break;
      case 1:
        if (!gate.alive) Restart(id);
        break;
      case 2:
        gate.paused = true;
        break;
      case 3:
        gate.paused = false;
        // A resumed gate may send before it reads its queued messages.
        if (gate.alive) TrySend(id, gate);
        break;
      case 4:
        if (id != other)
          partitions_.insert({std::min(id, other), std::max(id, other)});
        break;
      case 5:
        partitions_.clear();
        platform_unreachable_.clear();
        break;
      case 6:
        for (int g = 0; g < kGates; ++g) {
          if (GateName(g) != id) {
            partitions_.insert(
                {std::min(id, GateName(g)), std::max(id, GateName(g))});
          }
        }
        platform_unreachable_.insert(id);
        break;
      default:
        if (listed_gates_.count(id) > 0 && listed_gates_.size() > 1) {
          listed_gates_.erase(id);
        } else {
          listed_gates_.insert(id);
        }
        Publish();
        break;
    }
  }

  void ProbePeers(const HostId& id, Gate& gate) {
    for (const auto& [other_id, other] : gates_) {
      const bool refused = !other.alive && !IsPartitioned(id, other_id);
      if (other_id != id && refused) gate.leases->OnPeerDead(other_id, now_);
    }
  }

  void Step() {
    now_ += absl::Milliseconds(1 + RandomBelow(120));
    Deliver();
    EndRequests();
    if (Chance(6)) InjectFault();
    for (auto& [id, gate] : gates_) {
      if (!gate.alive || gate.paused) continue;
      if (Chance(30)) {
        for (const auto& [peer, state] : gates_) {
          if (peer != id) SendHeartbeat(id, peer, false, {});
        }
      }
      if (Chance(4) && platform_unreachable_.count(id) == 0)
        ApplyNewestList(gate);
      if (Chance(10)) ProbePeers(id, gate);
      gate.leases->AcquireReady(now_);
      TrySend(id, gate);
    }
  }

  std::mt19937_64 random_;
  const TargetLeases::Options options_;
  absl::Time now_;
  std::set<HostId> listed_gates_;
  std::vector<HostList> lists_;
  std::map<HostId, Gate> gates_;
  std::vector<Message> network_;
  std::set<std::pair<HostId, HostId>> partitions_;
  std::set<HostId> platform_unreachable_;
  std::map<TargetId, std::vector<ActiveRequest>> requests_by_target_;
  Incarnation last_incarnation_ = 0;
  int sends_ = 0;
  std::string violation_;
};

}  // namespace cherrydyke
