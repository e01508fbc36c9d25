#include "ctl/log_explanation.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Older state changes no longer explain a request: no retry interval of a
/// target and no statistics window exceeds 10 s.
constexpr absl::Duration kStateChangeLookback = absl::Seconds(10);
/// Some causes are logged only after the request, such as the refused
/// connection that reveals a crashed target.
constexpr absl::Duration kStateChangeLookahead = absl::Seconds(2);
/// Requests that ended within this time of each other count as concurrent.
constexpr absl::Duration kConcurrentWindow = absl::Seconds(1);
constexpr size_t kMaxStateChanges = 40;
constexpr char kRequestNotFoundHint[] =
    " unreadable).\nThe log rate is limited; lines_left_out of the "
    "load"
    " lines counts the dropped lines.\n";

std::string TextOf(const json& fields, const char* name) {
  const auto found = fields.find(name);
  if (found == fields.end()) return "";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

absl::Time ParseLogTime(const json& fields) {
  absl::Time time = absl::InfinitePast();
  std::string error;
  absl::ParseTime(absl::RFC3339_full, TextOf(fields, "time"), &time, &error);
  return time;
}

/// One attempt that its target did not answer.
struct UnansweredAttempt {
  std::string service;
  std::string target;
  std::string sent_after_ms;
  std::string status;
};

// Parses the field `unanswered`, `service/target+12ms:503 ...`. The number
// before `ms` is the time of sending, counted from the arrival of the request.
std::vector<UnansweredAttempt> ParseUnansweredAttempts(const LogLine& line) {
  std::vector<UnansweredAttempt> attempts;
  for (const auto word : absl::StrSplit(TextOf(line.fields, "unanswered"), ' ',
                                        absl::SkipEmpty())) {
    const std::string text(word);
    const size_t slash = text.find('/');
    const size_t plus = text.rfind('+');
    const size_t unit = text.rfind("ms:");
    if (slash == std::string::npos || plus == std::string::npos ||
        unit == std::string::npos || slash > plus || plus > unit) {
      continue;
    }
    attempts.push_back(
        {text.substr(0, slash), text.substr(slash + 1, plus - slash - 1),
         text.substr(plus + 1, unit - plus - 1), text.substr(unit + 3)});
  }
  return attempts;
}

std::string DescribeStatus(const std::string& status) {
  if (status == "0") return "no response";
  if (status == "503" || status == "429") return status + ", rejected, not run";
  if (status == "421") return "421, the address belongs to another target";
  return status + ", error response of the target";
}

// Describes how a request ended. A known reason takes precedence, as it is more
// specific than the outcome.
std::string DescribeResult(const std::string& outcome,
                           const std::string& reason) {
  static const std::map<std::string, std::string> descriptions = {
      {"answered", "answered completely"},
      {"answered_in_part", "answered without some parts"},
      {"target_failure", "the target's error response was forwarded"},
      {"not_run", "refused: too few parts had a target, nothing was sent"},
      {"targets_failed", "failed: enough answers could no longer be received"},
      {"deadline", "its deadline passed before enough answers were received"},
      {"handed_over", "handed to another host"},
      {"caller_left", "the caller disconnected before the response"},
      {"no_configuration", "refused: this host had no configuration yet"},
      {"no_route", "refused: no configured route matches its path"},
      {"stale_configuration",
       "refused: this host's configuration may lack its route"},
      {"malformed", "refused: it could not be parsed as a request"},
      {"quarantined", "refused: it was quarantined after several crashes"},
      {"no_target", "refused: too few parts had a usable target"},
      {"overloaded", "refused: the targets had no capacity to answer in time"}};
  for (const std::string& word : {reason, outcome}) {
    const auto found = descriptions.find(word);
    if (found != descriptions.end()) return found->second;
  }
  return "no log line states the outcome";
}

bool IsRequestLine(const LogLine& line) {
  return line.fields.contains("request");
}

// Formats the message and the fields of a line, except those that every line
// has.
std::string FormatFields(const LogLine& line) {
  std::string text = TextOf(line.fields, "msg");
  for (const auto& [name, value] : line.fields.items()) {
    static const std::set<std::string> common = {"time",    "level", "host",
                                                 "program", "msg",   "request"};
    if (common.count(name) > 0) continue;
    absl::StrAppend(&text, "  ", name, "=", TextOf(line.fields, name.c_str()));
  }
  return text;
}

// Formats lines with their time in seconds relative to `origin`.
std::string FormatLines(const std::vector<const LogLine*>& lines,
                        absl::Time origin) {
  std::string text;
  for (const LogLine* line : lines) {
    absl::StrAppend(
        &text,
        absl::StrFormat("%+9.3f s  %-24s %s\n",
                        absl::ToDoubleSeconds(line->time - origin),
                        TextOf(line->fields, "host"), FormatFields(*line)));
  }
  return text;
}

// Whether a line logs a state change of its host, or of the host's
// configuration, peers or connection to the configuration service.
bool IsHostStateChange(const LogLine& line) {
  static const std::set<std::string> messages = {"configuration in force",
                                                 "configuration refused",
                                                 "store does not answer",
                                                 "store still does not answer",
                                                 "store calls are slow",
                                                 "store calls are fast again",
                                                 "store answers again",
                                                 "limits divided anew",
                                                 "no news from peer",
                                                 "targets fell silent together",
                                                 "partitioned from all targets",
                                                 "targets reached again",
                                                 "peer takes over requests",
                                                 "peer takes over no requests",
                                                 "stopping",
                                                 "started"};
  return messages.count(TextOf(line.fields, "msg")) > 0;
}

// Counts the other requests that the target did not answer at the same time.
// `last` is the last line of the explained request.
int CountOtherRequests(const LogLines& log, const LogLine& last,
                       const std::string& target) {
  return static_cast<int>(std::count_if(
      log.lines().begin(), log.lines().end(), [&](const LogLine& line) {
        if (&line == &last || !line.fields.contains("unanswered") ||
            absl::AbsDuration(line.time - last.time) > kConcurrentWindow) {
          return false;
        }
        const std::vector<UnansweredAttempt> attempts =
            ParseUnansweredAttempts(line);
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const UnansweredAttempt& attempt) {
                             return attempt.target == target;
                           });
      }));
}

std::string FormatUnansweredAttempts(const LogLines& log, const LogLine& last) {
  std::string text;
  for (const UnansweredAttempt& attempt : ParseUnansweredAttempts(last)) {
    absl::StrAppend(
        &text, text.empty() ? "\nunanswered attempts:\n" : "", "  ",
        attempt.target, " of ", attempt.service, ", sent after ",
        attempt.sent_after_ms, " ms: ", DescribeStatus(attempt.status),
        "; also unanswered for ", CountOtherRequests(log, last, attempt.target),
        " other requests within 1 s\n");
  }
  return text;
}

// Formats the state changes around the request: those of its unanswered targets
// logged by any host, and those of the hosts that handled it.
std::string FormatStateChanges(const LogLines& log, const LogLine& last,
                               const std::set<std::string>& hosts) {
  std::set<std::string> targets;
  for (const UnansweredAttempt& attempt : ParseUnansweredAttempts(last)) {
    targets.insert(attempt.target);
  }
  std::vector<const LogLine*> changes;
  for (const LogLine& line : log.lines()) {
    const absl::Duration age = last.time - line.time;
    if (age > kStateChangeLookback || age < -kStateChangeLookahead ||
        IsRequestLine(line))
      continue;
    const bool is_own_host_change =
        IsHostStateChange(line) && hosts.count(TextOf(line.fields, "host")) > 0;
    if (is_own_host_change ||
        targets.count(TextOf(line.fields, "target")) > 0) {
      changes.push_back(&line);
    }
  }
  if (changes.empty()) {
    return "\nno state change from 10 s before to 2 s after\n";
  }
  const size_t omitted =
      changes.size() > kMaxStateChanges ? changes.size() - kMaxStateChanges : 0;
  changes.erase(changes.begin(),
                changes.begin() + static_cast<std::ptrdiff_t>(omitted));
  return absl::StrCat("\nstate changes around that time (", omitted,
                      " earlier ones omitted):\n",
                      FormatLines(changes, last.time));
}

// @return the line that states the outcome: at the last host if the request was
// handed over, otherwise the last line.
const LogLine& OutcomeLine(const std::vector<const LogLine*>& request_lines) {
  const auto found = std::find_if(
      request_lines.rbegin(), request_lines.rend(), [](const LogLine* line) {
        const std::string outcome = TextOf(line->fields, "outcome");
        return !outcome.empty() && outcome != "handed_over";
      });
  return found == request_lines.rend() ? *request_lines.back() : **found;
}

}  // namespace

void LogLines::Read(std::istream& input) {
  std::string text;
  while (std::getline(input, text)) {
    if (text.empty()) continue;
    const size_t brace = text.find('{');
    json fields = brace == std::string::npos
                      ? json()
                      : json::parse(text.substr(brace), nullptr, false);
    if (fields.is_object()) {
      const absl::Time time = ParseLogTime(fields);
      lines_.push_back({time, std::move(fields)});
    } else {
      ++unreadable_count_;
    }
  }
  std::stable_sort(
      lines_.begin(), lines_.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
}

LogExplanation ExplainRequest(const LogLines& log,
                              const std::string& request_id) {
  std::vector<const LogLine*> request_lines;
  std::string reason;
  for (const LogLine& line : log.lines()) {
    if (TextOf(line.fields, "request") != request_id) continue;
    request_lines.push_back(&line);
    if (line.fields.contains("reason")) reason = TextOf(line.fields, "reason");
  }
  if (request_lines.empty()) {
    return {false, absl::StrCat("no log line names request ", request_id, " (",
                                log.lines().size(), " lines read, ",
                                log.unreadable_count(), kRequestNotFoundHint)};
  }
  std::set<std::string> hosts;
  for (const LogLine* line : request_lines) {
    hosts.insert(TextOf(line->fields, "host"));
  }
  const LogLine& last = OutcomeLine(request_lines);
  return {true,
          absl::StrCat("request ", request_id, ": ",
                       DescribeResult(TextOf(last.fields, "outcome"), reason),
                       "\n", FormatLines(request_lines, last.time),
                       FormatUnansweredAttempts(log, last),
                       FormatStateChanges(log, last, hosts))};
}

}  // namespace cherrydyke
