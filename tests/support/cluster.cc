#include "support/cluster.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr int kTargetPort = 9000;
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
constexpr int kMaxDomains = 8;

// Prefix of the loopback addresses of a failure domain. It depends on the
// process id, so that tests running in parallel use different addresses.
std::string LoopbackPrefix(int domain) {
  const int pid = getpid();
  return absl::StrCat("127.", 10 + pid % 200, ".",
                      (pid / 200 % 16) * kMaxDomains + domain, ".");
}

std::string ShardBoundary(int shard, int shards) {
  if (shard == shards) return "";
  return absl::StrFormat("%04x", shard * 65'536 / shards);
}

json ShardJson(const ServiceSpec& service, int shard) {
  return {{"shard", absl::StrCat(service.name, "-s", shard)},
          {"range",
           {ShardBoundary(shard, service.shards),
            ShardBoundary(shard + 1, service.shards)}},
          {"index_versions", service.versions}};
}

TargetId TargetName(const ServiceSpec& service, int index) {
  return absl::StrCat(service.name, "-t", index);
}

// Distance between the target indices of two replicas of a shard. With enough
// targets it is the number of shards, so that each target holds one shard at
// most; otherwise replicas are on consecutive targets, which hold several.
int ReplicaStride(const ServiceSpec& service) {
  return service.shards * service.replicas <= service.targets ? service.shards
                                                              : 1;
}

int TargetIndexOf(const ServiceSpec& service, int shard, int replica) {
  return (shard + replica * ReplicaStride(service)) % service.targets;
}

// Places the replicas of a shard in different failure domains if there are
// enough domains.
int DomainIndexOf(const ServiceSpec& service, int target, int domains) {
  const int step = ReplicaStride(service);
  return step == 1 ? target % domains
                   : (target % step + target / step) % domains;
}

std::vector<int> ShardsOfTarget(const ServiceSpec& service, int target) {
  std::vector<int> shards;
  for (int shard = 0; shard < service.shards; ++shard) {
    for (int replica = 0; replica < service.replicas; ++replica) {
      if (TargetIndexOf(service, shard, replica) == target)
        shards.push_back(shard);
    }
  }
  return shards;
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, absl::Duration limit) {
  const absl::Time deadline = absl::Now() + limit;
  while (!condition()) {
    if (absl::Now() > deadline) return false;
    absl::SleepFor(kPollInterval);
  }
  return true;
}

Cluster::Cluster(ClusterSpec spec) : spec_(std::move(spec)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "cherrydyke-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  network_ = LoopbackPrefix(0);
  platform_endpoint_ = network_ + "250:7000";
  MakeHostRecords();
  MakeCatalogue();
}

Cluster::~Cluster() {
  entries_.clear();
  gates_.clear();
  targets_.clear();
  platform_.reset();
  if (std::getenv("CHERRYDYKE_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

void Cluster::MakeHostRecords() {
  const auto domains = static_cast<int>(spec_.domains.size());
  std::vector<int> next_address(spec_.domains.size(), 100);
  for (int d = 0; d < domains; ++d) {
    for (int h = 0; h < spec_.hosts_per_domain; ++h) {
      const HostId id =
          absl::AsciiStrToLower(spec_.domains[d]) + "-" + absl::StrCat(h + 1);
      host_records_[id] = {{"id", id},
                           {"kind", "entry"},
                           {"failure_domain", spec_.domains[d]},
                           {"address", absl::StrCat(LoopbackPrefix(d), h + 1)},
                           {"state", "live"}};
    }
  }
  for (const ServiceSpec& service : spec_.services) {
    for (int t = 0; t < service.targets; ++t) {
      const TargetId id = TargetName(service, t);
      const int d = DomainIndexOf(service, t, domains);
      host_records_[id] = {
          {"id", id},
          {"kind", "target"},
          {"failure_domain", spec_.domains[d]},
          {"address", absl::StrCat(LoopbackPrefix(d), next_address[d]++, ":",
                                   kTargetPort)},
          {"state", "live"}};
      service_by_target_[id] = service.name;
      json shards = json::array();
      for (const int shard : ShardsOfTarget(service, t)) {
        shards.push_back(ShardJson(service, shard));
      }
      target_model_json_[id] = json{
          {"slots", service.slots},
          {"cold_concurrency", service.cold_concurrency},
          {"cold_successes", service.cold_successes},
          {"service_ms", service.service_ms},
          {"jitter_ms", service.jitter_ms},
          {"shards", shards}}.dump();
    }
  }
}

void Cluster::MakeCatalogue() {
  catalogue_ = json::object();
  for (const FailureDomainName& domain : spec_.domains) {
    catalogue_["failure_domains/" + domain] = {{"state", "in"},
                                               {"region", "bg"}};
  }
  for (const ServiceSpec& service : spec_.services) {
    json shards = json::array();
    for (int s = 0; s < service.shards; ++s) {
      json shard = ShardJson(service, s);
      shard.erase("index_versions");
      shard["replicas"] = json::array();
      for (int r = 0; r < service.replicas; ++r) {
        shard["replicas"].push_back(
            TargetName(service, TargetIndexOf(service, s, r)));
      }
      shards.push_back(shard);
    }
    catalogue_["services/" + service.name] = {
        {"shard_map", {{"version", 7}, {"shards", shards}}},
        {"index_versions", service.versions},
        {"slots", service.slots},
        {"connections", service.connections},
        {"cold",
         {{"concurrency", service.cold_concurrency},
          {"successes", service.cold_successes}}}};
  }
  for (const EntrySpec& entry : spec_.entries) {
    catalogue_["entries/" + entry.name] = {
        {"owner", entry.owner},
        {"class", entry.entry_class},
        {"kind", entry.kind},
        {"service", entry.service},
        {"limits",
         {{"rate_per_s", entry.rate_per_s},
          {"concurrency", entry.concurrency}}},
        {"soft_deadline_ms", entry.soft_deadline_ms},
        {"hard_deadline_ms", entry.hard_deadline_ms},
        {"merge", entry.merge},
        {"canary", entry.canary}};
  }
}

std::string Cluster::WriteConfig(const std::string& name,
                                 const std::string& text) {
  const std::string file = directory_ + "/" + name + ".toml";
  std::ofstream(file) << text;
  return file;
}

std::string Cluster::LogFile(const std::string& name) const {
  return directory_ + "/" + name + ".log";
}

std::string Cluster::DaemonConfig(const HostId& host) const {
  const json& record = host_records_.at(host);
  return absl::StrCat(
      "[host]\nid = \"", host, "\"\nfailure_domain = \"",
      record["failure_domain"].get<std::string>(), "\"\naddress = \"",
      record["address"].get<std::string>(),
      "\"\n[ports]\nentry_http = ", base_port_,
      "\ngate_http = ", base_port_ + 1, "\ngate_link = ", base_port_ + 2,
      "\nentry_gossip = ", base_port_ + 3, "\ngate_gossip = ", base_port_ + 4,
      "\n[platform]\naddress = \"", platform_endpoint_,
      "\"\n[shutdown]\ndrain_lag_s = ", spec_.drain_lag_s,
      "\n[testing]\nallow_faults = true\n", spec_.extra_settings);
}

void Cluster::StartEntry(const HostId& host) {
  entries_[host] = std::make_unique<Process>(
      "cherrydyke-entry", WriteConfig(host, DaemonConfig(host)),
      LogFile(host + "-entry"));
}

void Cluster::StartGate(const HostId& host) {
  gates_[host] = std::make_unique<Process>(
      "cherrydyke-gate", WriteConfig(host, DaemonConfig(host)),
      LogFile(host + "-gate"));
}

void Cluster::StartTarget(const TargetId& id) {
  const Endpoint endpoint = TargetHttp(id);
  targets_[id] = std::make_unique<Process>(
      "fake-target",
      WriteConfig(id, absl::StrCat("[listen]\nid = \"", id, "\"\naddress = \"",
                                   AddressOf(endpoint), "\"\nport = ",
                                   PortOf(endpoint), "\n[model]\njson = '",
                                   target_model_json_.at(id), "'\n")),
      LogFile(id));
}

std::string Cluster::Start() {
  platform_ = std::make_unique<Process>(
      "fake-platform",
      WriteConfig(
          "platform",
          absl::StrCat("[listen]\naddress = \"", AddressOf(platform_endpoint_),
                       "\"\nport = ", PortOf(platform_endpoint_), "\n")),
      LogFile("platform"));
  if (!platform_->ready()) return "fake platform did not become ready";
  PublishCatalogue(catalogue_);
  PublishHosts();
  for (const auto& [id, service] : service_by_target_) {
    StartTarget(id);
    if (!target(id).ready()) return id + " (fake target) did not become ready";
  }
  for (const HostId& host : hosts()) {
    StartGate(host);
    StartEntry(host);
    if (!gate(host).ready() || !entry(host).ready()) {
      return host + ": gate or entry daemon did not become ready";
    }
  }
  const bool ready = WaitUntil([this] {
    size_t leased_targets = 0;
    for (const HostId& host : hosts()) {
      if (Get(EntryHttp(host), "/readyz").status != 200) return false;
      const HttpJsonResponse status = Get(GateHttp(host), "/v1/status");
      if (status.status != 200) return false;
      for (const json& target : status.body["targets"]) {
        if (target["state"] != "gone") ++leased_targets;
      }
      const HttpJsonResponse entry = Get(EntryHttp(host), "/v1/status");
      if (entry.body.value("gates_connected", size_t{0}) != hosts().size()) {
        return false;
      }
    }
    return leased_targets == service_by_target_.size();
  });
  // Gates report their leases to the entry daemons periodically; this allows
  // for the next reports to arrive.
  absl::SleepFor(absl::Milliseconds(250));
  return ready ? ""
               : "timed out waiting for ready entry daemons and for gates to "
                 "hold all targets";
}

std::vector<HostId> Cluster::hosts() const {
  std::vector<HostId> ids;
  for (const auto& [id, record] : host_records_) {
    if (record["kind"] == "entry") ids.push_back(id);
  }
  return ids;
}

std::vector<TargetId> Cluster::targets(const ServiceName& service) const {
  std::vector<TargetId> ids;
  for (const auto& [id, name] : service_by_target_) {
    if (name == service) ids.push_back(id);
  }
  return ids;
}

const std::string& Cluster::domain_of(const std::string& id) const {
  return host_records_.at(id)["failure_domain"].get_ref<const std::string&>();
}

std::string Cluster::AddressOfHost(const HostId& host) const {
  return host_records_.at(host)["address"].get<std::string>();
}

Endpoint Cluster::EntryHttp(const HostId& host) const {
  return MakeEndpoint(AddressOfHost(host), base_port_);
}

std::vector<Endpoint> Cluster::AllEntryHttp() const {
  std::vector<Endpoint> endpoints;
  for (const HostId& host : hosts()) endpoints.push_back(EntryHttp(host));
  return endpoints;
}

Endpoint Cluster::GateHttp(const HostId& host) const {
  return MakeEndpoint(AddressOfHost(host), base_port_ + 1);
}

Endpoint Cluster::TargetHttp(const TargetId& id) const {
  return host_records_.at(id)["address"].get<std::string>();
}

Revision Cluster::PublishCatalogue(const json& changes) {
  return Post(platform_endpoint_, "/admin/config", changes)
      .body.value("revision", Revision{0});
}

Revision Cluster::PublishHosts() {
  json hosts = json::array();
  for (const auto& [id, record] : host_records_) hosts.push_back(record);
  return Post(platform_endpoint_, "/admin/hosts", {{"hosts", hosts}})
      .body.value("revision", Revision{0});
}

namespace {

HttpJsonResponse ToHttpJsonResponse(const HttpClient::Outcome& outcome) {
  const auto* reply = std::get_if<HttpReply>(&outcome);
  if (reply == nullptr) return {};
  return {reply->status, json::parse(reply->body, nullptr, false), reply->body};
}

}  // namespace

HttpJsonResponse Cluster::Post(const Endpoint& endpoint,
                               const std::string& path, const json& body,
                               absl::Duration timeout) {
  return ToHttpJsonResponse(
      HttpClient(endpoint).Post(path, body.dump(), {}, timeout));
}

HttpJsonResponse Cluster::Get(const Endpoint& endpoint, const std::string& path,
                              absl::Duration timeout) {
  return ToHttpJsonResponse(HttpClient(endpoint).Get(path, timeout));
}

HttpJsonResponse Cluster::Query(const HostId& host, const EntryName& entry,
                                const json& query, int timeout_ms) {
  json body = {{"entry", entry}, {"query", query}};
  if (timeout_ms > 0) body["timeout_ms"] = timeout_ms;
  return Post(EntryHttp(host), "/v1/query", body);
}

void Cluster::InjectFault(const TargetId& target, const json& faults) {
  Post(TargetHttp(target), "/fault", faults);
}

void Cluster::InjectPlatformFault(const json& faults) {
  Post(platform_endpoint_, "/fault", faults);
}

void Cluster::Partition(const std::vector<HostId>& a,
                        const std::vector<HostId>& b) {
  std::map<HostId, std::vector<std::string>> partitioned_addresses;
  for (const HostId& host : hosts()) partitioned_addresses[host];
  for (const HostId& one : a) {
    for (const HostId& other : b) {
      partitioned_addresses[one].push_back(AddressOfHost(other));
      partitioned_addresses[other].push_back(AddressOfHost(one));
    }
  }
  for (const auto& [host, addresses] : partitioned_addresses) {
    const json body = {{"addresses", addresses}};
    Post(EntryHttp(host), "/debug/cut", body);
    Post(GateHttp(host), "/debug/cut", body);
  }
}

void Cluster::PartitionFromPlatform(const std::vector<HostId>& hosts) {
  const json body = {{"addresses", {AddressOf(platform_endpoint_)}}};
  for (const HostId& host : hosts) {
    Post(EntryHttp(host), "/debug/cut", body);
    Post(GateHttp(host), "/debug/cut", body);
  }
}

int64_t Cluster::SumStats(const std::string& name) {
  int64_t sum = 0;
  for (const auto& [id, process] : targets_) {
    if (!process->IsRunning()) continue;
    const HttpJsonResponse stats = Get(TargetHttp(id), "/stats");
    if (stats.status == 200) sum += stats.body.value(name, int64_t{0});
  }
  return sum;
}

bool Cluster::WarmUp(const EntryName& entry, const ServiceName& service) {
  int sent = 0;
  return WaitUntil([&] {
    for (const HostId& host : hosts()) {
      Query(host, entry, {{"term", absl::StrCat("warm", ++sent)}});
    }
    for (const TargetId& id : targets(service)) {
      if (Get(TargetHttp(id), "/stats").body.value("cold", true)) return false;
    }
    return true;
  });
}

}  // namespace cherrydyke
