#include "tier/source_call_log.h"

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

constexpr char kCallSeconds[] = "cherrydyke_store_call_seconds";
constexpr char kFailures[] = "cherrydyke_store_call_failures_total";

}  // namespace

const char* ToString(SourceCallKind kind) {
  switch (kind) {
    case SourceCallKind::kPage:
      return "page";
    case SourceCallKind::kWatch:
      return "watch";
  }
  return "";
}

const char* ToString(SourceCallEnd end) {
  switch (end) {
    case SourceCallEnd::kAnswered:
      return "answered";
    case SourceCallEnd::kConnect:
      return "connect";
    case SourceCallEnd::kFirstByte:
      return "first_byte";
    case SourceCallEnd::kStall:
      return "stall";
    case SourceCallEnd::kReceive:
      return "receive";
    case SourceCallEnd::kFailed:
      return "failed";
  }
  return "";
}

void SourceCallLog::OnCall(const SourceCall& call, const HostState& host,
                           absl::Time now) {
  // The service does not hold a call that does not reach it.
  const absl::Duration held =
      call.end == SourceCallEnd::kConnect ? absl::ZeroDuration() : call.wait;
  const CallDuration duration =
      call.is_answered() ? CallDuration::Answered(call.elapsed, call.wait)
                         : CallDuration::Unanswered(call.elapsed, held);
  const bool has_changed = durations_.Add(duration);
  Measure(call, duration);
  if (!call.is_answered()) return OnFailure(call, host, now);
  OnAnswer(call, host, now);
  if (!has_changed) return;
  if (durations_.are_slow()) {
    LogWarning("store calls are slow", CommonFields(call, host));
  } else {
    LogInfo("store calls are fast again", CommonFields(call, host));
  }
}

void SourceCallLog::Measure(const SourceCall& call,
                            const CallDuration& duration) {
  if (!call.is_answered()) {
    return metrics_
        .counter(kFailures, absl::StrCat("end=\"", ToString(call.end), "\""))
        .Add();
  }
  const char* const kind = duration.is_exact() ? ToString(call.kind) : "change";
  metrics_.histogram(kCallSeconds, absl::StrCat("kind=\"", kind, "\""))
      .Observe(absl::ToDoubleSeconds(duration.most));
}

void SourceCallLog::OnAnswer(const SourceCall& call, const HostState& host,
                             absl::Time now) {
  if (failures_ == 0) return;
  Fields fields = CommonFields(call, host);
  fields.emplace_back("failures", failures_);
  fields.emplace_back("by_end", FailuresByEnd());
  fields.emplace_back("for_ms",
                      absl::ToInt64Milliseconds(now - failing_since_));
  LogInfo("store answers again", fields);
  failures_ = 0;
  failures_by_end_ = {};
}

void SourceCallLog::OnFailure(const SourceCall& call, const HostState& host,
                              absl::Time now) {
  if (failures_++ == 0) failing_since_ = now - call.elapsed;
  ++failures_by_end_.at(static_cast<size_t>(call.end));
  if (failures_ > 1 && now - last_failure_line_at_ < kOutagePeriod) return;
  last_failure_line_at_ = now;
  Fields fields = CommonFields(call, host);
  fields.emplace_back("error", call.error);
  if (failures_ == 1) return LogWarning("store does not answer", fields);
  fields.emplace_back("failures", failures_);
  fields.emplace_back("by_end", FailuresByEnd());
  fields.emplace_back("for_ms",
                      absl::ToInt64Milliseconds(now - failing_since_));
  LogWarning("store still does not answer", fields);
}

Fields SourceCallLog::CommonFields(const SourceCall& call,
                                   const HostState& host) const {
  return {{"call", ToString(call.kind)},
          {"end", ToString(call.end)},
          {"ms", absl::ToInt64Milliseconds(call.elapsed)},
          {"wait_ms", absl::ToInt64Milliseconds(call.wait)},
          {"last_ms", durations_.ToString()},
          {"as_of", call.as_of.revision},
          {"era", call.as_of.era.ToString()},
          {"published_age_ms", absl::ToInt64Milliseconds(host.published_age)},
          {"lateness_ms", absl::ToInt64Milliseconds(host.lateness)}};
}

std::string SourceCallLog::FailuresByEnd() const {
  std::string text;
  for (size_t i = 0; i < kEnds; ++i) {
    if (failures_by_end_.at(i) == 0) continue;
    absl::StrAppend(&text, text.empty() ? "" : " ",
                    ToString(static_cast<SourceCallEnd>(i)), ":",
                    failures_by_end_.at(i));
  }
  return text;
}

}  // namespace cherrydyke
