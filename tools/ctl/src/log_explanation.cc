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

/// Beliefs older than this no longer explain a request: ten seconds are the
/// longest that a target is tried again after, or that a window counts.
constexpr absl::Duration kStateChangeLookback = absl::Seconds(10);
/// What shows a moment later, as a refused connection that tells a crash.
constexpr absl::Duration kStateChangeLookahead = absl::Seconds(2);
/// Other requests in this time on both sides met the same trouble.
constexpr absl::Duration kConcurrentWindow = absl::Seconds(1);
constexpr size_t kMaxStateChanges = 40;
constexpr char kRequestNotFoundHint[] =
    " unreadable).\nFew answers are written a second; lines_left_out of the "
    "load"
    " lines counts the others.\n";

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

/// One attempt for a part that was not answered.
struct UnansweredAttempt {
  std::string service;
  std::string target;
  std::string sent_after_ms;
  std::string status;
};

// Reads `service/target+12ms:503 ...` as the tier writes it.
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
  if (status == "0") return "no answer";
  if (status == "503" || status == "429") return status + ", rejected, not run";
  if (status == "421") return "421, another target has the address";
  return status + ", a failure of the target's own";
}

// Why a request ended as it did, in one sentence; a reason says more than an
// outcome.
std::string DescribeResult(const std::string& outcome,
                           const std::string& reason) {
  static const std::map<std::string, std::string> descriptions = {
      {"answered", "answered whole"},
      {"answered_in_part", "answered, some parts were left out"},
      {"target_failure", "the target's own failure was passed on"},
      {"not_run", "refused: nothing was sent, as too few parts had a target"},
      {"targets_failed", "failed: enough answers could no longer be had"},
      {"deadline", "its time limit passed before enough answers were in"},
      {"caller_left", "the caller left before the answer"},
      {"no_configuration", "refused: this host had no configuration yet"},
      {"no_route", "refused: no route of the configuration has its path"},
      {"malformed", "refused: it could not be read as a request"},
      {"quarantined", "refused: it had crashed several targets"},
      {"no_target", "refused: too few parts had a target that may be used"},
      {"overloaded", "refused: targets had as much as they answer in time"}};
  for (const std::string& word : {reason, outcome}) {
    const auto found = descriptions.find(word);
    if (found != descriptions.end()) return found->second;
  }
  return "no line tells how it ended";
}

bool IsRequestLine(const LogLine& line) {
  return line.fields.contains("request");
}

// Everything but what each line repeats.
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

// Draws lines with their time from an origin.
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

/// Lines that change what a host believes of its surroundings.
bool IsHostStateChange(const LogLine& line) {
  static const std::set<std::string> messages = {"configuration in force",
                                                 "configuration refused",
                                                 "store does not answer",
                                                 "store answers again",
                                                 "limits divided anew",
                                                 "no news from peer",
                                                 "stopping",
                                                 "started"};
  return messages.count(TextOf(line.fields, "msg")) > 0;
}

// How many other requests lacked an answer of the target at the same time.
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
    absl::StrAppend(&text, text.empty() ? "\nsends without an answer:\n" : "",
                    "  ", attempt.target, " of ", attempt.service,
                    ", sent after ", attempt.sent_after_ms,
                    " ms: ", DescribeStatus(attempt.status), "; so for ",
                    CountOtherRequests(log, last, attempt.target),
                    " other requests within a second\n");
  }
  return text;
}

// What any host came to believe of the targets, and the request's own
// host of its surroundings.
std::string FormatStateChanges(const LogLines& log, const LogLine& last) {
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
        IsHostStateChange(line) &&
        TextOf(line.fields, "host") == TextOf(last.fields, "host");
    if (is_own_host_change ||
        targets.count(TextOf(line.fields, "target")) > 0) {
      changes.push_back(&line);
    }
  }
  if (changes.empty()) {
    return "\nno belief changed from 10 s before to 2 s after\n";
  }
  const size_t omitted =
      changes.size() > kMaxStateChanges ? changes.size() - kMaxStateChanges : 0;
  changes.erase(changes.begin(),
                changes.begin() + static_cast<std::ptrdiff_t>(omitted));
  return absl::StrCat("\nbeliefs that changed about then (", omitted,
                      " earlier ones left out):\n",
                      FormatLines(changes, last.time));
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
    return {false, absl::StrCat("no line names ", request_id, " (",
                                log.lines().size(), " lines read, ",
                                log.unreadable_count(), kRequestNotFoundHint)};
  }
  const LogLine& last = *request_lines.back();
  return {true,
          absl::StrCat("request ", request_id, ": ",
                       DescribeResult(TextOf(last.fields, "outcome"), reason),
                       "\n", FormatLines(request_lines, last.time),
                       FormatUnansweredAttempts(log, last),
                       FormatStateChanges(log, last))};
}

}  // namespace cherrydyke
