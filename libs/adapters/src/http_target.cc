#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/http_client.h"
#include "adapters/target_protocol.h"
#include "kernel/registry.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

struct RefusalCode {
  const char* name;
  AttemptOutcome outcome;
};

constexpr RefusalCode kRefusals[] = {
    {"shed", AttemptOutcome::kShed},
    {"cold", AttemptOutcome::kCold},
    {"draining", AttemptOutcome::kDraining},
    {"wrong_version", AttemptOutcome::kWrongVersion},
    {"wrong_shard", AttemptOutcome::kWrongShard},
    {"expired", AttemptOutcome::kDeadlineExceeded},
};

AttemptOutcome RefusalOutcome(const std::string& name) {
  for (const RefusalCode& refusal : kRefusals) {
    if (name == refusal.name) return refusal.outcome;
  }
  return AttemptOutcome::kInvalidResponse;
}

TargetReply FailedReply(AttemptOutcome outcome, bool not_run = false) {
  TargetReply reply;
  reply.outcome = outcome;
  reply.not_run = not_run;
  return reply;
}

TargetReply FromFailure(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNotConnected:
      return FailedReply(AttemptOutcome::kUnreachable, true);
    case HttpFailure::kConnectionLost:
      return FailedReply(AttemptOutcome::kConnectionLost);
    case HttpFailure::kTimeout:
      return FailedReply(AttemptOutcome::kUnresponsive);
    case HttpFailure::kMalformed:
      return FailedReply(AttemptOutcome::kInvalidResponse);
  }
  return FailedReply(AttemptOutcome::kInvalidResponse);
}

std::vector<IndexVersion> ParseVersions(const json& object, const char* name) {
  std::vector<IndexVersion> versions;
  const auto found = object.find(name);
  if (found == object.end() || !found->is_array()) return versions;
  for (const json& version : *found) {
    if (version.is_number_integer()) {
      versions.push_back(version.get<IndexVersion>());
    }
  }
  return versions;
}

TargetReply FromRefusal(const json& body) {
  TargetReply reply = FailedReply(RefusalOutcome(body.value("error", "")),
                                  body.value("not_run", false));
  reply.versions = ParseVersions(body, "versions");
  reply.retry_after_ms = body.value("retry_after_ms", int64_t{0});
  return reply;
}

SearchHit ParseHit(const json& hit) {
  return {hit.value("key", ""), hit.value("score", 0.0), hit.dump()};
}

// Parses a response body. Exceptions of `parse_body` for values of wrong types
// become `kInvalidResponse`.
template <typename BodyParser>
TargetReply ParseBody(const HttpReply& reply, const TargetCall& call,
                      const BodyParser& parse_body) {
  const json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object()) return FailedReply(AttemptOutcome::kInvalidResponse);
  try {
    if (reply.status != 200) return FromRefusal(body);
    if (body.value("attempt_id", "") != call.attempt.ToString()) {
      return FailedReply(AttemptOutcome::kInvalidResponse);
    }
    return parse_body(body);
  } catch (const json::exception&) {
    return FailedReply(AttemptOutcome::kInvalidResponse);
  }
}

TargetReply ParseSearchBody(const json& body) {
  TargetReply reply;
  reply.shard = body.value("shard", "");
  reply.index_version = body.value("index_version", IndexVersion{0});
  reply.complete = body.value("complete", false);
  for (const json& hit : body.value("results", json::array())) {
    reply.hits.push_back(ParseHit(hit));
  }
  return reply;
}

TargetReply ParseActionBody(const json& body) {
  TargetReply reply;
  reply.result_json = body.value("result", json()).dump();
  return reply;
}

// Returns the index versions that all shards of the target have; none if the
// target has no shards.
std::vector<IndexVersion> CommonVersions(const json& shards) {
  std::vector<IndexVersion> common;
  bool first = true;
  for (const json& shard : shards) {
    const std::vector<IndexVersion> held =
        ParseVersions(shard, "index_versions");
    if (first) {
      common = held;
      first = false;
      continue;
    }
    std::vector<IndexVersion> common_and_held;
    for (const IndexVersion version : common) {
      if (std::find(held.begin(), held.end(), version) != held.end()) {
        common_and_held.push_back(version);
      }
    }
    common = std::move(common_and_held);
  }
  return common;
}

HttpClient::Headers BuildHeaders(const TargetCall& call) {
  HttpClient::Headers headers = {
      {"X-Attempt-Id", call.attempt.ToString()},
      {"X-Deadline-Ms",
       absl::StrCat(absl::ToInt64Milliseconds(call.time_left))},
      {"X-Shard", call.shard},
      {"X-Shard-Range", call.range.begin + "-" + call.range.end},
      {"X-Shard-Map", absl::StrCat(call.shard_map)},
      {"X-Index-Version", absl::StrCat(call.index_version)},
      {"traceparent", call.traceparent}};
  if (!call.ticket.empty()) headers["X-Ticket"] = call.ticket;
  return headers;
}

class HttpTargetConnection : public TargetConnection {
 public:
  HttpTargetConnection(const Endpoint& target, const std::string& source)
      : client_(target, source) {}

  TargetReply Search(const TargetCall& call, absl::Duration wait) override {
    return PostCall("/search", R"({"query":)" + call.body_json + "}", call,
                    wait, ParseSearchBody);
  }

  TargetReply Act(const TargetCall& call, absl::Duration wait) override {
    return PostCall("/act", R"({"payload":)" + call.body_json + "}", call, wait,
                    ParseActionBody);
  }

  std::optional<TargetHealth> Health(absl::Duration wait) override {
    const HttpClient::Outcome outcome = client_.Get("/health", wait);
    const auto* reply = std::get_if<HttpReply>(&outcome);
    if (reply == nullptr || reply->status != 200) return std::nullopt;
    const json body = json::parse(reply->body, nullptr, false);
    if (!body.is_object()) return std::nullopt;
    try {
      return TargetHealth{body.value("incarnation", ""),
                          body.value("state", ""),
                          CommonVersions(body.value("shards", json::array()))};
    } catch (const json::exception&) {
      return std::nullopt;
    }
  }

  bool IsOpen() const override { return client_.IsOpen(); }

  void Cancel(const AttemptId& attempt, absl::Duration wait) override {
    client_.Post("/cancel", R"({"attempt_id":")" + attempt.ToString() + R"("})",
                 {}, wait);
  }

 private:
  template <typename BodyParser>
  TargetReply PostCall(const std::string& path, const std::string& body,
                       const TargetCall& call, absl::Duration wait,
                       const BodyParser& parse_body) {
    const HttpClient::Outcome outcome =
        client_.Post(path, body, BuildHeaders(call), wait);
    if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
      client_.Close();
      return FromFailure(*failure);
    }
    return ParseBody(std::get<HttpReply>(outcome), call, parse_body);
  }

  HttpClient client_;
};

class HttpTargetProtocol : public TargetProtocol {
 public:
  std::unique_ptr<TargetConnection> Open(const Endpoint& target,
                                         const std::string& source) override {
    return std::make_unique<HttpTargetConnection>(target, source);
  }
};

}  // namespace

void RegisterHttpTargetProtocol() {
  static const Registration<TargetProtocol, HttpTargetProtocol> http("http");
}

}  // namespace cherrydyke
