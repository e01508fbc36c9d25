#include "ctl/fleet.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "adapters/http_client.h"
#include "adapters/platform.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr absl::Duration kRequestTimeout = absl::Seconds(2);

json Fetch(const Endpoint& http, const std::string& path) {
  const HttpClient::Outcome outcome =
      HttpClient(http).Get(path, kRequestTimeout);
  const auto* reply = std::get_if<HttpReply>(&outcome);
  if (reply == nullptr || reply->status != 200) return nullptr;
  return json::parse(reply->body, nullptr, false);
}

std::string DaemonName(const json& daemon) {
  return absl::StrCat(daemon.value("host", ""), "/", daemon.value("kind", ""));
}

}  // namespace

Result<std::vector<DaemonAddress>> ListDaemons(const FleetAddress& fleet) {
  const Result<HostList> read =
      MakeHttpPlatform(fleet.platform, "")->ReadHosts(0, absl::ZeroDuration());
  if (const Error* error = GetError(read)) return *error;
  std::vector<DaemonAddress> daemons;
  for (const Host& host : GetValue(read).hosts) {
    if (host.kind != HostKind::kEntry) continue;
    daemons.push_back({host.id, host.failure_domain, "entry",
                       MakeEndpoint(host.address, fleet.entry_port)});
    daemons.push_back({host.id, host.failure_domain, "gate",
                       MakeEndpoint(host.address, fleet.gate_port)});
  }
  return daemons;
}

json ReadStatuses(const std::vector<DaemonAddress>& daemons) {
  json statuses = json::array();
  for (const DaemonAddress& daemon : daemons) {
    const json status = Fetch(daemon.http, "/v1/status");
    statuses.push_back({{"host", daemon.host},
                        {"failure_domain", daemon.failure_domain},
                        {"kind", daemon.kind},
                        {"reachable", status.is_object()},
                        {"status", status}});
  }
  return statuses;
}

std::string RevisionTable(const json& statuses) {
  std::string table = absl::StrFormat("%-24s %-14s %10s %10s %10s %7s  %s\n",
                                      "daemon", "domain", "catalogue", "age s",
                                      "hosts", "peers", "state");
  std::string refused;
  for (const json& daemon : statuses) {
    const json& status = daemon["status"];
    if (!status.is_object()) {
      absl::StrAppend(
          &table,
          absl::StrFormat("%-24s %-14s unreachable\n", DaemonName(daemon),
                          daemon.value("failure_domain", "")));
      continue;
    }
    const bool draining = status.value("draining", false);
    const bool in_service = status.value("in_service", true);
    const bool fenced = status.value("fenced", false);
    const char* state = draining      ? "draining"
                        : !in_service ? "out of service"
                        : fenced      ? "fenced"
                                      : "serving";
    absl::StrAppend(
        &table,
        absl::StrFormat(
            "%-24s %-14s %10d %10.1f %10d %7d  %s\n", DaemonName(daemon),
            status.value("failure_domain", ""),
            status.value("catalogue_revision", int64_t{0}),
            static_cast<double>(status.value("catalogue_age_ms", int64_t{0})) /
                1000,
            status.value("hosts_revision", int64_t{0}),
            status.value("peers", int64_t{0}), state));
    for (const json& change : status.value("refused_changes", json::array())) {
      absl::StrAppend(&refused, DaemonName(daemon), " refused revision ",
                      change.value("revision", int64_t{0}), " of ",
                      change.value("key", ""), ": ", change.value("reason", ""),
                      "\n");
    }
  }
  return table + refused;
}

std::string TargetTable(const json& statuses) {
  std::string table = absl::StrFormat(
      "%-20s %-18s %-9s %6s %8s %7s %10s  %s\n", "target", "gate", "state",
      "limit", "running", "queued", "latency ms", "index versions");
  for (const json& daemon : statuses) {
    const json& status = daemon["status"];
    if (!status.is_object()) continue;
    for (const json& target : status.value("targets", json::array())) {
      absl::StrAppend(
          &table,
          absl::StrFormat(
              "%-20s %-18s %-9s %6d %8d %7d %10.2f  %s\n",
              target.value("target", ""), daemon.value("host", ""),
              target.value("state", ""), target.value("limit", 0),
              target.value("in_flight", 0), target.value("queued", 0),
              static_cast<double>(target.value("latency_us", int64_t{0})) /
                  1000,
              target.value("index_versions", json::array()).dump()));
    }
  }
  return table;
}

json CollectSpans(const std::vector<DaemonAddress>& daemons,
                  const std::string& request_id) {
  json spans = json::array();
  for (const DaemonAddress& daemon : daemons) {
    json found = Fetch(daemon.http, "/v1/spans?request_id=" + request_id);
    if (!found.is_array()) continue;
    for (json& span : found) {
      span["attributes"]["at"] = daemon.host;
      spans.push_back(std::move(span));
    }
  }
  return spans;
}

bool RequestDrain(const DaemonAddress& daemon) {
  const HttpClient::Outcome outcome =
      HttpClient(daemon.http).Post("/v1/drain", "{}", {}, kRequestTimeout);
  const auto* reply = std::get_if<HttpReply>(&outcome);
  return reply != nullptr && reply->status == 202;
}

}  // namespace cherrydyke
