#include "adapters/caller_json.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int64_t kMaxTimeoutMs = 60'000;
constexpr int kMaxNestingDepth = 64;

Error Expected(const std::string& key, const std::string& what) {
  return {ErrorCode::kInvalidInput, key + ": expected " + what};
}

Result<json> ParseObject(const std::string& body) {
  // Deep nesting could overflow the stack of recursive JSON readers. Real
  // queries are nested much less deeply than the limit.
  bool too_deep = false;
  const auto check_depth = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxNestingDepth;
    return !too_deep;
  };
  json object = json::parse(body, check_depth, false);
  if (too_deep) return Expected("body", "nesting of at most 64 levels");
  if (!object.is_object()) return Expected("body", "a JSON object");
  return object;
}

Result<std::string> ReadNonEmptyString(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string() ||
      found->get_ref<const std::string&>().empty()) {
    return Expected(key, "a string that is not empty");
  }
  return found->get<std::string>();
}

std::string DumpReplacingInvalidUtf8(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ordered_json CoverageJson(const Coverage& coverage) {
  ordered_json missing = ordered_json::array();
  for (const MissingRange& range : coverage.missing) {
    missing.push_back({{"shard", range.shard},
                       {"range", {range.range.begin, range.range.end}},
                       {"reason", range.reason}});
  }
  return {{"complete", coverage.complete},
          {"fraction", coverage.fraction},
          {"shards", coverage.shards},
          {"answered", coverage.answered},
          {"missing", std::move(missing)}};
}

}  // namespace

Result<QueryCall> ParseQueryCall(const std::string& body) {
  const Result<json> parsed = ParseObject(body);
  if (const Error* error = GetError(parsed)) return *error;
  const json& object = GetValue(parsed);
  const Result<std::string> entry = ReadNonEmptyString(object, "entry");
  if (const Error* error = GetError(entry)) return *error;
  const auto query = object.find("query");
  if (query == object.end() || !query->is_object()) {
    return Expected("query", "an object");
  }
  QueryCall call{GetValue(entry), DumpReplacingInvalidUtf8(*query),
                 absl::ZeroDuration()};
  const auto timeout = object.find("timeout_ms");
  if (timeout != object.end()) {
    if (!timeout->is_number_integer() || timeout->get<int64_t>() < 1 ||
        timeout->get<int64_t>() > kMaxTimeoutMs) {
      return Expected("timeout_ms", "an integer from 1 to 60000");
    }
    call.timeout = absl::Milliseconds(timeout->get<int64_t>());
  }
  return call;
}

Result<TicketCall> ParseTicketCall(const std::string& body) {
  const Result<json> parsed = ParseObject(body);
  if (const Error* error = GetError(parsed)) return *error;
  const Result<std::string> entry =
      ReadNonEmptyString(GetValue(parsed), "entry");
  if (const Error* error = GetError(entry)) return *error;
  const Result<std::string> key = ReadNonEmptyString(GetValue(parsed), "key");
  if (const Error* error = GetError(key)) return *error;
  return TicketCall{GetValue(entry), GetValue(key)};
}

Result<ActionCall> ParseActionCall(const std::string& body) {
  const Result<TicketCall> common = ParseTicketCall(body);
  if (const Error* error = GetError(common)) return *error;
  const Result<json> parsed = ParseObject(body);
  const json& object = GetValue(parsed);
  const Result<std::string> ticket = ReadNonEmptyString(object, "ticket");
  if (const Error* error = GetError(ticket)) return *error;
  const auto payload = object.find("payload");
  if (payload != object.end() && !payload->is_object()) {
    return Expected("payload", "an object");
  }
  const std::string payload_json =
      payload == object.end() ? "{}" : DumpReplacingInvalidUtf8(*payload);
  return ActionCall{GetValue(ticket), GetValue(common).entry,
                    GetValue(common).key, payload_json};
}

std::string FormatQueryResponse(const std::string& request_id,
                                const QueryResult& result) {
  const ordered_json head = {
      {"request_id", request_id},
      {"snapshot",
       {{"shard_map", result.snapshot.shard_map},
        {"index_version", result.snapshot.index_version}}},
      {"coverage", CoverageJson(result.coverage)}};
  std::string body = head.dump();
  body.pop_back();
  // Hits are already JSON text and are not parsed again.
  absl::StrAppend(&body, R"(,"results":[)");
  const char* separator = "";
  for (const SearchHit& hit : result.hits) {
    absl::StrAppend(&body, separator, hit.json);
    separator = ",";
  }
  absl::StrAppend(&body, R"(],"retry_after_ms":0})");
  return body;
}

std::string FormatTicket(const std::string& ticket, int64_t expires_in_ms) {
  return ordered_json{{"ticket", ticket}, {"expires_in_ms", expires_in_ms}}
      .dump();
}

std::string FormatActionResult(const std::string& request_id,
                               const std::string& result_json) {
  ordered_json body = {{"request_id", request_id}, {"outcome", "done"}};
  body["result"] = ordered_json::parse(result_json, nullptr, false);
  return body.dump();
}

std::string FormatRefusal(const std::string& request_id,
                          const std::string& outcome, const std::string& reason,
                          const std::string& message,
                          absl::Duration retry_after) {
  const ordered_json body = {
      {"request_id", request_id},
      {"outcome", outcome},
      {"reason", reason},
      {"message", message},
      {"retry_after_ms", absl::ToInt64Milliseconds(retry_after)}};
  return body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace cherrydyke
