#include "routing/replica_picker.h"

#include <algorithm>
#include <cmath>

#include "kernel/registry.h"

namespace cherrydyke {
namespace {

/// Added for replicas in other failure domains, where each network hop costs
/// about this much more.
constexpr absl::Duration kRemotePenalty = absl::Milliseconds(2);
/// Makes a replica ten times slower get one request in ten thousand.
constexpr double kLatencyExponent = 4;
/// Assumed for a replica without a measured latency.
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

// Power of two choices with random weights: draws two replicas and picks each
// with a probability inversely proportional to the fourth power of its expected
// latency. Always picking the faster one would send every request to one of two
// nearly equal replicas and none to a cold one, which would never warm up.
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
    const double first_probability =
        1 / (1 + std::pow(ratio, kLatencyExponent));
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    return draw < first_probability ? first : second;
  }
};

}  // namespace

absl::Duration ExpectedLatency(const ReplicaView& replica) {
  const absl::Duration latency =
      std::max(replica.latency, absl::ZeroDuration());
  const absl::Duration base =
      latency == absl::ZeroDuration() ? kDefaultLatency : latency;
  const double batches =
      1.0 + static_cast<double>(replica.load) / std::max(replica.limit, 1);
  const absl::Duration remote_penalty =
      replica.same_domain ? absl::ZeroDuration() : kRemotePenalty;
  return base * batches + remote_penalty;
}

void RegisterReplicaPickers() {
  static const Registration<ReplicaPicker, RandomPicker> random("random");
  static const Registration<ReplicaPicker, LeastExpectedLatencyPicker> least(
      "least_expected");
  static const Registration<ReplicaPicker, TwoChoicesPicker> two("pick_of_two");
}

}  // namespace cherrydyke
