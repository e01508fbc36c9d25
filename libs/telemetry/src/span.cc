#include "telemetry/span.h"

#include <algorithm>
#include <cctype>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

constexpr size_t kTraceIdDigits = 32;
constexpr size_t kSpanIdDigits = 16;
constexpr size_t kTraceparentLength = 55;

std::string RandomHex(size_t digits) {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(digits, '0');
  for (char& c : text) c = kDigits[generator() & 0xf];
  return text;
}

bool IsLowerHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

}  // namespace

std::string SpanContext::ToTraceparent() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

SpanContext ParseTraceparent(const std::string& header) {
  if (header.size() >= kTraceparentLength && header[2] == '-') {
    SpanContext context{header.substr(3, kTraceIdDigits),
                        header.substr(4 + kTraceIdDigits, kSpanIdDigits)};
    if (IsLowerHex(context.trace_id) && IsLowerHex(context.span_id)) {
      return context;
    }
  }
  return {RandomHex(kTraceIdDigits), ""};
}

SpanContext ChildOf(const SpanContext& parent) {
  return {parent.trace_id, RandomHex(kSpanIdDigits)};
}

void SpanStore::Add(Span span) {
  const absl::MutexLock lock(&mutex_);
  spans_.push_back(std::move(span));
  if (spans_.size() > capacity_) spans_.pop_front();
}

std::string SpanStore::JsonFor(const std::string& request_id) const {
  nlohmann::json array = nlohmann::json::array();
  const absl::MutexLock lock(&mutex_);
  for (const Span& span : spans_) {
    if (span.request_id != request_id) continue;
    array.push_back(
        {{"trace_id", span.context.trace_id},
         {"span_id", span.context.span_id},
         {"parent_span_id", span.parent_span_id},
         {"name", span.name},
         {"request_id", span.request_id},
         {"start_unix_us", span.start_unix_us},
         {"duration_us", span.duration_us},
         {"attributes", nlohmann::json::parse(FieldsToJson(span.attributes))}});
  }
  return array.dump();
}

SpanTimer::SpanTimer(SpanStore& store, std::string name, std::string request_id,
                     const SpanContext& parent)
    : store_(store), start_(absl::Now()) {
  span_.context = ChildOf(parent);
  span_.parent_span_id = parent.span_id;
  span_.name = std::move(name);
  span_.request_id = std::move(request_id);
  span_.start_unix_us = absl::ToUnixMicros(start_);
}

Fields SpanTimer::LogFields() const {
  return {{"request_id", span_.request_id},
          {"trace_id", span_.context.trace_id},
          {"span_id", span_.context.span_id}};
}

void SpanTimer::End() {
  if (ended_) return;
  ended_ = true;
  span_.duration_us = absl::ToInt64Microseconds(absl::Now() - start_);
  store_.Add(std::move(span_));
}

}  // namespace cherrydyke
