#include "absl/strings/str_cat.h"
#include "adapters/http_client.h"
#include "adapters/platform.h"
#include "nlohmann/json.hpp"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Response timeout in addition to the time for which the platform may delay
/// its response.
constexpr absl::Duration kResponseTimeout = absl::Seconds(2);

Result<json> Fetch(HttpClient& client, const std::string& path, Revision since,
                   absl::Duration wait) {
  const std::string query = absl::StrCat(
      path, "?since=", since, "&wait_ms=", absl::ToInt64Milliseconds(wait));
  const HttpClient::Outcome outcome =
      client.Get(query, wait + kResponseTimeout);
  const auto* reply = std::get_if<HttpReply>(&outcome);
  if (reply == nullptr) {
    client.Close();
    return Error{ErrorCode::kUnavailable,
                 path + ": no response from the platform"};
  }
  if (reply->status != 200) {
    return Error{
        ErrorCode::kUnavailable,
        absl::StrCat(path, ": expected status 200, got ", reply->status)};
  }
  json body = json::parse(reply->body, nullptr, false);
  if (!body.is_object()) {
    return Error{ErrorCode::kInvalidInput, path + ": expected a JSON object"};
  }
  return body;
}

ConfigChange ParseChange(const json& change) {
  const json& value = change.at("value");
  return {change.at("key").get<std::string>(),
          change.at("revision").get<Revision>(),
          value.is_null() ? "" : value.dump()};
}

Host ParseHost(const json& host) {
  Host read;
  read.id = host.at("id").get<std::string>();
  read.kind =
      host.at("kind") == "target" ? HostKind::kTarget : HostKind::kEntry;
  read.failure_domain = host.at("failure_domain").get<std::string>();
  read.address = host.at("address").get<std::string>();
  read.state = host.value("state", "live") == "leaving" ? HostState::kLeaving
                                                        : HostState::kLive;
  return read;
}

class HttpPlatform : public Platform {
 public:
  HttpPlatform(const Endpoint& endpoint, const std::string& source)
      : config_client_(endpoint, source), hosts_client_(endpoint, source) {}

  Result<PlatformConfig> ReadConfig(Revision since,
                                    absl::Duration wait) override {
    Result<json> fetched = Fetch(config_client_, "/v1/config", since, wait);
    if (const Error* error = GetError(fetched)) return *error;
    const json& body = GetValue(fetched);
    try {
      PlatformConfig config{since, body.at("revision").get<Revision>(), {}};
      for (const json& change : body.at("changes")) {
        config.changes.push_back(ParseChange(change));
      }
      return config;
    } catch (const json::exception& error) {
      return Error{ErrorCode::kInvalidInput,
                   absl::StrCat("/v1/config: ", error.what())};
    }
  }

  Result<HostList> ReadHosts(Revision since, absl::Duration wait) override {
    Result<json> fetched = Fetch(hosts_client_, "/v1/hosts", since, wait);
    if (const Error* error = GetError(fetched)) return *error;
    const json& body = GetValue(fetched);
    try {
      HostList list{body.at("revision").get<Revision>(), {}};
      for (const json& host : body.at("hosts")) {
        list.hosts.push_back(ParseHost(host));
      }
      return list;
    } catch (const json::exception& error) {
      return Error{ErrorCode::kInvalidInput,
                   absl::StrCat("/v1/hosts: ", error.what())};
    }
  }

 private:
  HttpClient config_client_;
  HttpClient hosts_client_;
};

class PartitionedPlatform : public Platform {
 public:
  PartitionedPlatform(std::unique_ptr<Platform> inner, std::string address,
                      const PartitionedAddresses& cuts)
      : inner_(std::move(inner)), address_(std::move(address)), cuts_(cuts) {}

  Result<PlatformConfig> ReadConfig(Revision since,
                                    absl::Duration wait) override {
    if (cuts_.Contains(address_)) return Unreachable();
    Result<PlatformConfig> read = inner_->ReadConfig(since, wait);
    if (cuts_.Contains(address_)) return Unreachable();
    return read;
  }

  Result<HostList> ReadHosts(Revision since, absl::Duration wait) override {
    if (cuts_.Contains(address_)) return Unreachable();
    Result<HostList> read = inner_->ReadHosts(since, wait);
    if (cuts_.Contains(address_)) return Unreachable();
    return read;
  }

 private:
  static Error Unreachable() {
    return {ErrorCode::kUnavailable,
            "platform unreachable: simulated network partition"};
  }

  std::unique_ptr<Platform> inner_;
  const std::string address_;
  const PartitionedAddresses& cuts_;
};

}  // namespace

std::unique_ptr<Platform> MakePartitionedPlatform(
    std::unique_ptr<Platform> inner, const Endpoint& endpoint,
    const PartitionedAddresses& cuts) {
  return std::make_unique<PartitionedPlatform>(std::move(inner),
                                               AddressOf(endpoint), cuts);
}

std::unique_ptr<Platform> MakeHttpPlatform(const Endpoint& endpoint,
                                           const std::string& source) {
  return std::make_unique<HttpPlatform>(endpoint, source);
}

}  // namespace cherrydyke
