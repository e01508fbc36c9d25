#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/http_client.h"
#include "adapters/target_protocol.h"
#include "kernel/registry.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

struct NamedRefusal {
  const char* name;
  AttemptOutcome outcome;
};

constexpr NamedRefusal kRefusals[] = {
    {"shed", AttemptOutcome::kShed},
    {"cold", AttemptOutcome::kCold},
    {"draining", AttemptOutcome::kDraining},
    {"wrong_version", AttemptOutcome::kWrongVersion},
    {"wrong_shard", AttemptOutcome::kWrongShard},
    {"expired", AttemptOutcome::kDeadlineExceeded},
};

AttemptOutcome RefusalOutcome(const std::string& name) {
  for (const NamedRefusal& refusal : kRefusals) {
    if (name == refusal.name) return refusal.outcome;
  }
  return AttemptOutcome::kInvalidResponse;
}

TargetReply Failed(AttemptOutcome outcome, bool not_run = false) {
  TargetReply reply;
  reply.outcome = outcome;
  reply.not_run = not_run;
  return reply;
}

TargetReply FromFailure(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNotConnected:
      return Failed(AttemptOutcome::kUnreachable, true);
    case HttpFailure::kConnectionLost:
      return Failed(AttemptOutcome::kConnectionLost);
    case HttpFailure::kTimeout:
      return Failed(AttemptOutcome::kUnresponsive);
  }
  return Failed(AttemptOutcome::kInvalidResponse);
}

std::vector<IndexVersion> ReadVersions(const json& object, const char* name) {
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
  TargetReply reply = Failed(RefusalOutcome(body.value("error", "")),
                             body.value("not_run", false));
  reply.versions = ReadVersions(body, "versions");
  reply.retry_after_ms = body.value("retry_after_ms", int64_t{0});
  return reply;
}

SearchHit ReadHit(const json& hit) {
  return {hit.value("key", ""), hit.value("score", 0.0), hit.dump()};
}

// Reads a body with a reader that may meet wrong types; those end here.
template <typename Reader>
TargetReply ReadBody(const HttpReply& reply, const TargetCall& call,
                     const Reader& reader) {
  const json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object()) return Failed(AttemptOutcome::kInvalidResponse);
  try {
    if (reply.status != 200) return FromRefusal(body);
    if (body.value("attempt_id", "") != call.attempt.ToString()) {
      return Failed(AttemptOutcome::kInvalidResponse);
    }
    return reader(body);
  } catch (const json::exception&) {
    return Failed(AttemptOutcome::kInvalidResponse);
  }
}

TargetReply ReadSearch(const json& body) {
  TargetReply reply;
  reply.shard = body.value("shard", "");
  reply.index_version = body.value("index_version", IndexVersion{0});
  reply.complete = body.value("complete", false);
  for (const json& hit : body.value("results", json::array())) {
    reply.hits.push_back(ReadHit(hit));
  }
  return reply;
}

TargetReply ReadAct(const json& body) {
  TargetReply reply;
  reply.result_json = body.value("result", json()).dump();
  return reply;
}

// Versions that every shard of the target has; a target without shards has
// none.
std::vector<IndexVersion> CommonVersions(const json& shards) {
  std::vector<IndexVersion> common;
  bool first = true;
  for (const json& shard : shards) {
    const std::vector<IndexVersion> held =
        ReadVersions(shard, "index_versions");
    if (first) {
      common = held;
      first = false;
      continue;
    }
    std::vector<IndexVersion> both;
    for (const IndexVersion version : common) {
      if (std::find(held.begin(), held.end(), version) != held.end()) {
        both.push_back(version);
      }
    }
    common = std::move(both);
  }
  return common;
}

HttpClient::Headers HeadersOf(const TargetCall& call) {
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
    return Perform("/search", R"({"query":)" + call.body_json + "}", call, wait,
                   ReadSearch);
  }

  TargetReply Act(const TargetCall& call, absl::Duration wait) override {
    return Perform("/act", R"({"payload":)" + call.body_json + "}", call, wait,
                   ReadAct);
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
  template <typename Reader>
  TargetReply Perform(const std::string& path, const std::string& body,
                      const TargetCall& call, absl::Duration wait,
                      const Reader& reader) {
    const HttpClient::Outcome outcome =
        client_.Post(path, body, HeadersOf(call), wait);
    if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
      client_.Close();
      return FromFailure(*failure);
    }
    return ReadBody(std::get<HttpReply>(outcome), call, reader);
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
