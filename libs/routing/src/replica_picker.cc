#include "routing/replica_picker.h"

#include <algorithm>
#include <cmath>

#include "kernel/registry.h"

namespace cherrydyke {
namespace {

/// Added to replicas elsewhere, where each hop costs about this much more.
constexpr absl::Duration kRemotePenalty = absl::Milliseconds(2);
constexpr double kLatencyExponent = 4;
constexpr absl::Duration kDefaultLatency = absl::Milliseconds(5);

class RandomPicker : public ReplicaPicker {
 public:
  size_t Pick(const std::vector<ReplicaView>& candidates,
              std::mt19937_64& random) const override {
    return random() % candidates.size();
  }
};

class LeastExpectedLatencyPicker : public ReplicaPicker {
 public:
  size_t Pick(const std::vector<ReplicaView>& candidates,
              std::mt19937_64& /*random*/) const override {
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const ReplicaView& a, const ReplicaView& b) {
                           return ExpectedLatency(a) < ExpectedLatency(b);
                         });
    return static_cast<size_t>(best - candidates.begin());
  }
};

// Takes two random replicas and gives each a chance by the fourth power of the
// other's expected latency. Always taking the better would send everything to
// one of two nearly equal replicas and nothing to a cold one, which would then
// never warm up; the power keeps a straggler ten times slower to one request in
// ten thousand.
class TwoChoicesPicker : public ReplicaPicker {
 public:
  size_t Pick(const std::vector<ReplicaView>& candidates,
              std::mt19937_64& random) const override {
    const size_t first = random() % candidates.size();
    if (candidates.size() == 1) return first;
    size_t second = random() % (candidates.size() - 1);
    if (second >= first) ++second;
    const double ratio =
        absl::FDivDuration(ExpectedLatency(candidates[first]),
                           ExpectedLatency(candidates[second]));
    const double first_chance = 1 / (1 + std::pow(ratio, kLatencyExponent));
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    return draw < first_chance ? first : second;
  }
};

}  // namespace

absl::Duration ExpectedLatency(const ReplicaView& replica) {
  const absl::Duration latency =
      std::max(replica.latency, absl::ZeroDuration());
  const absl::Duration base =
      latency == absl::ZeroDuration() ? kDefaultLatency : latency;
  const double rounds =
      1.0 + static_cast<double>(replica.load) / std::max(replica.limit, 1);
  const absl::Duration remote =
      replica.same_domain ? absl::ZeroDuration() : kRemotePenalty;
  return base * rounds + remote;
}

void RegisterReplicaPickers() {
  static const Registration<ReplicaPicker, RandomPicker> random("random");
  static const Registration<ReplicaPicker, LeastExpectedLatencyPicker> least(
      "least_expected");
  static const Registration<ReplicaPicker, TwoChoicesPicker> two("pick_of_two");
}

}  // namespace cherrydyke
