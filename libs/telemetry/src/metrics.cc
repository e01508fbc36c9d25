#include "telemetry/metrics.h"

#include "absl/strings/str_cat.h"
#include "boost/accumulators/accumulators.hpp"
#include "boost/accumulators/statistics/count.hpp"
#include "boost/accumulators/statistics/p_square_quantile.hpp"
#include "boost/accumulators/statistics/stats.hpp"
#include "boost/accumulators/statistics/sum.hpp"

namespace cherrydyke {
namespace {

namespace acc = boost::accumulators;

using TotalAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using QuantileAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

std::string Braces(const std::string& labels) {
  return labels.empty() ? "" : absl::StrCat("{", labels, "}");
}

std::string WithLabel(const std::string& labels, const char* name,
                      absl::string_view value) {
  return absl::StrCat("{", labels, labels.empty() ? "" : ",", name, "=\"",
                      value, "\"}");
}

std::string WithQuantile(const std::string& labels, const char* quantile) {
  return WithLabel(labels, "quantile", quantile);
}

}  // namespace

struct Summary::Accumulators {
  TotalAccumulator total;
  QuantileAccumulator p50{acc::quantile_probability = 0.5};
  QuantileAccumulator p90{acc::quantile_probability = 0.9};
  QuantileAccumulator p99{acc::quantile_probability = 0.99};
};

Summary::Summary() : accumulators_(std::make_unique<Accumulators>()) {}
Summary::~Summary() = default;

void Summary::Observe(double value) {
  const absl::MutexLock lock(&mutex_);
  accumulators_->total(value);
  accumulators_->p50(value);
  accumulators_->p90(value);
  accumulators_->p99(value);
}

Summary::Snapshot Summary::snapshot() const {
  const absl::MutexLock lock(&mutex_);
  Snapshot snapshot;
  snapshot.count = acc::count(accumulators_->total);
  if (snapshot.count == 0) return snapshot;
  snapshot.sum = acc::sum(accumulators_->total);
  snapshot.p50 = acc::p_square_quantile(accumulators_->p50);
  snapshot.p90 = acc::p_square_quantile(accumulators_->p90);
  snapshot.p99 = acc::p_square_quantile(accumulators_->p99);
  return snapshot;
}

void DurationHistogram::Observe(double seconds) {
  const absl::MutexLock lock(&mutex_);
  for (size_t i = 0; i < kBounds.size(); ++i) {
    if (seconds <= kBounds.at(i)) ++snapshot_.counts.at(i);
  }
  ++snapshot_.count;
  snapshot_.sum += seconds;
}

DurationHistogram::Snapshot DurationHistogram::snapshot() const {
  const absl::MutexLock lock(&mutex_);
  return snapshot_;
}

Counter& Metrics::counter(const std::string& name, const std::string& labels) {
  const absl::MutexLock lock(&mutex_);
  auto& entry = counters_[{name, labels}];
  if (entry == nullptr) entry = std::make_unique<Counter>();
  return *entry;
}

Summary& Metrics::summary(const std::string& name, const std::string& labels) {
  const absl::MutexLock lock(&mutex_);
  auto& entry = summaries_[{name, labels}];
  if (entry == nullptr) entry = std::make_unique<Summary>();
  return *entry;
}

DurationHistogram& Metrics::histogram(const std::string& name,
                                      const std::string& labels) {
  const absl::MutexLock lock(&mutex_);
  auto& entry = histograms_[{name, labels}];
  if (entry == nullptr) entry = std::make_unique<DurationHistogram>();
  return *entry;
}

void Metrics::Gauge(const std::string& name, std::function<double()> read) {
  const absl::MutexLock lock(&mutex_);
  gauges_[name] = std::move(read);
}

std::string Metrics::Render() const {
  const absl::MutexLock lock(&mutex_);
  std::string text;
  for (const auto& [key, counter] : counters_) {
    absl::StrAppend(&text, key.first, Braces(key.second), " ", counter->value(),
                    "\n");
  }
  for (const auto& [key, summary] : summaries_) {
    const auto& [name, labels] = key;
    const Summary::Snapshot s = summary->snapshot();
    absl::StrAppend(&text, name, WithQuantile(labels, "0.5"), " ", s.p50, "\n");
    absl::StrAppend(&text, name, WithQuantile(labels, "0.9"), " ", s.p90, "\n");
    absl::StrAppend(&text, name, WithQuantile(labels, "0.99"), " ", s.p99,
                    "\n");
    absl::StrAppend(&text, name, "_sum", Braces(labels), " ", s.sum, "\n");
    absl::StrAppend(&text, name, "_count", Braces(labels), " ", s.count, "\n");
  }
  for (const auto& [key, histogram] : histograms_) {
    const auto& [name, labels] = key;
    const DurationHistogram::Snapshot s = histogram->snapshot();
    for (size_t i = 0; i < s.counts.size(); ++i) {
      const std::string bound = absl::StrCat(DurationHistogram::kBounds.at(i));
      absl::StrAppend(&text, name, "_bucket", WithLabel(labels, "le", bound),
                      " ", s.counts.at(i), "\n");
    }
    absl::StrAppend(&text, name, "_bucket", WithLabel(labels, "le", "+Inf"),
                    " ", s.count, "\n");
    absl::StrAppend(&text, name, "_sum", Braces(labels), " ", s.sum, "\n");
    absl::StrAppend(&text, name, "_count", Braces(labels), " ", s.count, "\n");
  }
  for (const auto& [name, read] : gauges_) {
    absl::StrAppend(&text, name, " ", read(), "\n");
  }
  return text;
}

}  // namespace cherrydyke
