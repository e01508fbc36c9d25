#include "tier/policy_file.h"

namespace cherrydyke {
namespace {

/// Reads a number of milliseconds into a duration.
void Milliseconds(SettingsReader& reader, const std::string& section,
                  const std::string& key, absl::Duration& value, double min_ms,
                  double max_ms) {
  double number = absl::ToDoubleMilliseconds(value);
  reader.Number(section, key, number, min_ms, max_ms);
  value = absl::Milliseconds(number);
}

}  // namespace

std::variant<Policy, SettingsErrors> ReadPolicy(const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (const auto* errors = std::get_if<SettingsErrors>(&text)) return *errors;
  return ParsePolicy(std::get<std::string>(text), path);
}

std::variant<Policy, SettingsErrors> ParsePolicy(const std::string& text,
                                                 const std::string& file) {
  const auto parsed = ParseToml(text, file);
  if (const auto* errors = std::get_if<SettingsErrors>(&parsed)) return *errors;
  Policy policy;
  SettingsErrors errors;
  SettingsReader reader(file, std::get<toml::table>(parsed), errors);
  Milliseconds(reader, "answers", "answer_margin_ms", policy.answer_margin, 0,
               100);
  Milliseconds(reader, "answers", "answer_spare_ms", policy.answer_spare, 0,
               100);
  reader.Boolean("answers", "wait_for_parts", policy.wait_for_parts);
  Milliseconds(reader, "answers", "deadline_margin_ms", policy.deadline_margin,
               1, 100);
  // A caller's disconnect must reach targets within half a second.
  Milliseconds(reader, "answers", "cancel_grace_ms", policy.cancel_grace, 0,
               400);
  Milliseconds(reader, "refusals", "retry_after_ms", policy.retry_after, 10,
               60'000);
  reader.Number("refusals", "retry_after_spread", policy.retry_after_spread, 0,
                1);
  reader.Boolean("extra_sends", "hedges", policy.hedges);
  reader.Number("extra_sends", "hedge_deviations", policy.hedge_deviations, 0,
                100);
  // More than the whole budget would exceed the fleet-wide limit; the rest
  // covers extra sends that arrive in the next window.
  reader.Number("extra_sends", "budget_part", policy.budget_part, 0, 0.95);
  reader.Number("extra_sends", "helpful_part", policy.helpful_part, 0, 1);
  Milliseconds(reader, "placement", "failure_cost_ms", policy.failure_cost, 0,
               5000);
  reader.Integer("placement", "warm_targets", policy.warm_targets, 0, 10);
  reader.Boolean("placement", "prefer_near", policy.prefer_near);
  reader.Boolean("placement", "limit_concurrency", policy.limit_concurrency);
  reader.Number("published", "watch_calls_per_s", policy.watch_calls_per_s, 0,
                10'000);
  reader.Integer("log", "lines_per_s", policy.log_lines, 0, 1000);
  reader.Integer("log", "answer_lines_per_s", policy.answer_log_lines, 0, 1000);
  reader.RejectUnknownKeys();
  if (!errors.empty()) return errors;
  return policy;
}

}  // namespace cherrydyke
