#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "telemetry/log.h"

namespace cherrydyke {

/// Position in a trace, as carried by the W3C `traceparent` header.
struct SpanContext {
  /// 32 hexadecimal digits.
  std::string trace_id;
  /// 16 hexadecimal digits.
  std::string span_id;

  /// @return the header value for requests made inside this span.
  std::string ToTraceparent() const;

  friend bool operator==(const SpanContext& a, const SpanContext& b) {
    return a.trace_id == b.trace_id && a.span_id == b.span_id;
  }
};

/// Parses a `traceparent` header value (W3C Trace Context, section 3.2).
/// @return the context, or that of a new trace if the value is malformed.
SpanContext ParseTraceparent(const std::string& header);

/// @return a context with a new span id in the trace of `parent`.
SpanContext ChildOf(const SpanContext& parent);

/// One finished operation of a request.
struct Span {
  SpanContext context;
  std::string parent_span_id;
  std::string name;
  std::string request_id;
  int64_t start_unix_us = 0;
  int64_t duration_us = 0;
  Fields attributes;
};

/// Stores the most recent spans of a process for lookup by request id.
class SpanStore {
 public:
  /// @param capacity most spans stored; the oldest is evicted first.
  explicit SpanStore(size_t capacity) : capacity_(capacity) {}

  void Add(Span span);

  /// @return the spans of the request as a JSON array.
  std::string JsonFor(const std::string& request_id) const;

 private:
  const size_t capacity_;
  mutable absl::Mutex mutex_;
  std::deque<Span> spans_ ABSL_GUARDED_BY(mutex_);
};

/// Measures the duration of one operation and stores its span when it ends.
class SpanTimer {
 public:
  SpanTimer(SpanStore& store, std::string name, std::string request_id,
            const SpanContext& parent);

  const SpanContext& context() const { return span_.context; }
  /// @return request, trace and span ids, for log lines inside the span.
  Fields LogFields() const;
  void Set(Field field) { span_.attributes.push_back(std::move(field)); }
  /// Stores the span. Further calls have no effect.
  void End();
  ~SpanTimer() { End(); }
  SpanTimer(const SpanTimer&) = delete;
  SpanTimer& operator=(const SpanTimer&) = delete;

 private:
  SpanStore& store_;
  Span span_;
  absl::Time start_;
  bool ended_ = false;
};

}  // namespace cherrydyke
