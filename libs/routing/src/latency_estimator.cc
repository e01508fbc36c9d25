#include "routing/latency_estimator.h"

#include "boost/accumulators/accumulators.hpp"
#include "boost/accumulators/statistics/count.hpp"
#include "boost/accumulators/statistics/p_square_quantile.hpp"
#include "boost/accumulators/statistics/stats.hpp"

namespace cherrydyke {
namespace {

namespace acc = boost::accumulators;
using QuantileAccumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

}  // namespace

struct LatencyEstimator::Window {
  explicit Window(double quantile)
      : accumulator(acc::quantile_probability = quantile) {}
  QuantileAccumulator accumulator;
};

LatencyEstimator::LatencyEstimator(double quantile, int window_size,
                                   absl::Duration initial)
    : quantile_(quantile),
      window_size_(window_size),
      estimate_(initial),
      current_(std::make_unique<Window>(quantile)) {}

LatencyEstimator::~LatencyEstimator() = default;

void LatencyEstimator::Observe(absl::Duration latency) {
  const absl::MutexLock lock(&mutex_);
  current_->accumulator(absl::ToDoubleMicroseconds(latency));
  if (static_cast<int>(acc::count(current_->accumulator)) >= window_size_)
    StartNewWindow();
}

void LatencyEstimator::StartNewWindow() {
  estimate_ = absl::Microseconds(acc::p_square_quantile(current_->accumulator));
  current_ = std::make_unique<Window>(quantile_);
}

absl::Duration LatencyEstimator::Estimate() const {
  const absl::MutexLock lock(&mutex_);
  return estimate_;
}

}  // namespace cherrydyke
