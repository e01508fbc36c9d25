#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "adapters/http_client.h"
#include "base/ids.h"
#include "fakes/documents.h"
#include "nlohmann/json.hpp"
#include "support/process.h"

namespace cherrydyke {

/// A service of a test deployment. `slots`, `connections` and the cold limits
/// apply to each target.
struct ServiceSpec {
  ServiceName name;
  OwnerName owner = "cooperative";
  /// Number of targets; they are distributed over the failure domains.
  int targets = 6;
  int shards = 3;
  int replicas = 2;
  int slots = 4;
  int connections = 100;
  int cold_concurrency = 1;
  int cold_successes = 10;
  double service_ms = 2;
  double jitter_ms = 1;
  std::vector<IndexVersion> versions = {41};
};

/// An entry in the catalogue of a test deployment: what callers address.
struct EntrySpec {
  EntryName name;
  ServiceName service;
  OwnerName owner = "cooperative";
  std::string entry_class = "coverage";
  std::string kind = "query";
  double rate_per_s = 2000;
  int concurrency = 128;
  int soft_deadline_ms = 250;
  int hard_deadline_ms = 800;
  std::string merge = "concat";
  std::string canary = "always";
};

struct ClusterSpec {
  std::vector<FailureDomainName> domains = {"Sofia", "Plovdiv", "Varna"};
  int hosts_per_domain = 2;
  std::vector<ServiceSpec> services;
  std::vector<EntrySpec> entries;
  /// TOML text appended to the settings file of every daemon.
  std::string extra_settings;
  double drain_lag_s = 1;
};

/// An HTTP response with its body parsed as JSON.
struct HttpJsonResponse {
  /// HTTP status; 0 if no response was received.
  int status = 0;
  /// A discarded value if the body is not valid JSON, null without a response.
  nlohmann::json body;
  std::string text;
};

/// A complete deployment on loopback addresses, one process per daemon: a fake
/// platform, fake targets, and an entry daemon and a gate daemon on each host.
/// The destructor kills all processes; it also deletes their logs, unless the
/// environment variable CHERRYDYKE_KEEP_LOGS is set.
class Cluster {
 public:
  explicit Cluster(ClusterSpec spec);
  ~Cluster();

  /// Starts all processes and waits until every entry daemon is ready and the
  /// gates together hold a lease on every target.
  /// @return an error message, or "" on success.
  std::string Start();

  std::vector<HostId> hosts() const;
  std::vector<TargetId> targets(const ServiceName& service) const;
  const std::string& domain_of(const std::string& id) const;

  Process& entry(const HostId& host) { return *entries_.at(host); }
  Process& gate(const HostId& host) { return *gates_.at(host); }
  Process& target(const TargetId& id) { return *targets_.at(id); }
  Process& platform() { return *platform_; }

  void StartEntry(const HostId& host);
  void StartGate(const HostId& host);
  void StartTarget(const TargetId& id);

  Endpoint EntryHttp(const HostId& host) const;
  /// @return the HTTP endpoints of the entry daemons of all hosts.
  std::vector<Endpoint> AllEntryHttp() const;
  Endpoint GateHttp(const HostId& host) const;
  Endpoint TargetHttp(const TargetId& id) const;
  const Endpoint& PlatformHttp() const { return platform_endpoint_; }
  std::string AddressOfHost(const HostId& host) const;
  int gate_link_port() const { return base_port_ + 2; }
  int entry_gossip_port() const { return base_port_ + 3; }

  /// The initial catalogue, by item key. It is not updated by
  /// `PublishCatalogue`.
  nlohmann::json& catalogue() { return catalogue_; }
  /// Records of hosts and targets by id; changes take effect with
  /// `PublishHosts`.
  std::map<std::string, nlohmann::json>& host_records() {
    return host_records_;
  }
  /// Publishes the given catalogue items; null retires an item.
  /// @return the new revision, or 0 if the platform did not report one.
  Revision PublishCatalogue(const nlohmann::json& changes);
  /// Publishes `host_records()`.
  /// @return the new revision, or 0 if the platform did not report one.
  Revision PublishHosts();

  HttpJsonResponse Query(const HostId& host, const EntryName& entry,
                         const nlohmann::json& query, int timeout_ms = 0);
  HttpJsonResponse Post(const Endpoint& endpoint, const std::string& path,
                        const nlohmann::json& body,
                        absl::Duration timeout = absl::Seconds(5));
  HttpJsonResponse Get(const Endpoint& endpoint, const std::string& path,
                       absl::Duration timeout = absl::Seconds(5));
  /// Sets fault options of a fake target, by the names that its `/fault` takes.
  void InjectFault(const TargetId& target, const nlohmann::json& faults);
  /// Sets fault options of the fake platform.
  void InjectPlatformFault(const nlohmann::json& faults);
  /// Drops all traffic between the daemons of the hosts in `a` and those of the
  /// hosts in `b`, in both directions. Replaces all earlier partitions,
  /// including those from the platform; empty lists remove all of them.
  void Partition(const std::vector<HostId>& a, const std::vector<HostId>& b);

  /// Partitions the daemons of these hosts from the platform. Replaces the
  /// earlier partitions of these hosts.
  void PartitionFromPlatform(const std::vector<HostId>& hosts);

  /// @return the sum of one `/stats` counter over all targets that respond.
  int64_t SumStats(const std::string& name);

  /// Sends queries to `entry` through every host until every target of the
  /// service is warm.
  /// @return false if that takes longer than the default limit of `WaitUntil`.
  bool WarmUp(const EntryName& entry, const ServiceName& service);

 private:
  void MakeHostRecords();
  void MakeCatalogue();
  std::string WriteConfig(const std::string& name, const std::string& text);
  std::string DaemonConfig(const HostId& host) const;
  std::string LogFile(const std::string& name) const;

  ClusterSpec spec_;
  std::string directory_;
  std::string network_;
  int base_port_ = 21'000;
  Endpoint platform_endpoint_;
  std::map<std::string, nlohmann::json> host_records_;
  std::map<TargetId, ServiceName> service_by_target_;
  std::map<TargetId, std::string> target_model_json_;
  nlohmann::json catalogue_;
  std::unique_ptr<Process> platform_;
  std::map<TargetId, std::unique_ptr<Process>> targets_;
  std::map<HostId, std::unique_ptr<Process>> gates_;
  std::map<HostId, std::unique_ptr<Process>> entries_;
};

/// Polls `condition` until it holds.
/// @return false if it does not hold within `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               absl::Duration limit = absl::Seconds(30));

}  // namespace cherrydyke
