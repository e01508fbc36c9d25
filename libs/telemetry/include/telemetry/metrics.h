#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace cherrydyke {

/// Monotonically increasing counter.
class Counter {
 public:
  void Add(uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// Count, sum and estimated quantiles of all observed values.
class Summary {
 public:
  Summary();
  ~Summary();

  void Observe(double value);

  struct Snapshot {
    uint64_t count = 0;
    double sum = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
  };
  Snapshot snapshot() const;

 private:
  struct Accumulators;
  mutable absl::Mutex mutex_;
  std::unique_ptr<Accumulators> accumulators_ ABSL_GUARDED_BY(mutex_);
};

/// Counts of observed durations below fixed bounds, which unlike quantiles can
/// be compared between two times and added up over hosts.
class DurationHistogram {
 public:
  /// Upper bounds of the buckets, in seconds.
  static constexpr std::array<double, 12> kBounds = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5};

  void Observe(double seconds);

  struct Snapshot {
    /// Values not above each bound.
    std::array<uint64_t, kBounds.size()> counts{};
    uint64_t count = 0;
    double sum = 0;
  };
  Snapshot snapshot() const;

 private:
  mutable absl::Mutex mutex_;
  Snapshot snapshot_ ABSL_GUARDED_BY(mutex_);
};

/// Metrics of a process, rendered in the Prometheus text format.
///
///     metrics.counter("cherrydyke_refusals_total", R"(reason="shed")").Add();
class Metrics {
 public:
  /// @param labels label pairs in Prometheus syntax, or empty.
  /// @return the counter, created at first use and valid as long as this
  /// object.
  Counter& counter(const std::string& name, const std::string& labels = "");
  /// As `counter`, for a summary.
  Summary& summary(const std::string& name, const std::string& labels = "");
  /// As `counter`, for a histogram.
  DurationHistogram& histogram(const std::string& name,
                               const std::string& labels = "");

  /// Registers a gauge.
  /// @param read returns the value; called at each rendering.
  void Gauge(const std::string& name, std::function<double()> read);

  std::string Render() const;

 private:
  using Key = std::pair<std::string, std::string>;
  mutable absl::Mutex mutex_;
  std::map<Key, std::unique_ptr<Counter>> counters_ ABSL_GUARDED_BY(mutex_);
  std::map<Key, std::unique_ptr<Summary>> summaries_ ABSL_GUARDED_BY(mutex_);
  std::map<Key, std::unique_ptr<DurationHistogram>> histograms_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::function<double()>> gauges_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
