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

/// A service of a test deployment.
struct ServiceSpec {
  ServiceName name;
  OwnerName owner = "cooperative";
  /// Targets; spread over the failure domains in turn.
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

/// An entry of the catalogue of a test deployment.
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
  /// Lines added to every daemon's settings.
  std::string extra_settings;
  double drain_lag_s = 1;
};

/// An HTTP answer with its body read as JSON.
struct HttpJsonResponse {
  /// 0 if there was no answer.
  int status = 0;
  nlohmann::json body;
  std::string text;
};

/// A whole deployment of processes over loopback addresses: stand-ins for
/// platform and targets, and an entry and a gate on each host.
class Cluster {
 public:
  explicit Cluster(ClusterSpec spec);
  ~Cluster();

  /// Starts everything and waits until every entry is ready and every target is
  /// held by its gate. @return what failed, or "".
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
  /// @return `EntryHttp` of every host.
  std::vector<Endpoint> AllEntryHttp() const;
  Endpoint GateHttp(const HostId& host) const;
  Endpoint TargetHttp(const TargetId& id) const;
  const Endpoint& PlatformHttp() const { return platform_endpoint_; }
  std::string AddressOfHost(const HostId& host) const;
  int gate_link_port() const { return base_port_ + 2; }
  int entry_gossip_port() const { return base_port_ + 3; }

  /// The catalogue as published; change it and publish again.
  nlohmann::json& catalogue() { return catalogue_; }
  /// Host records by id as published.
  std::map<std::string, nlohmann::json>& host_records() {
    return host_records_;
  }
  Revision PublishCatalogue(const nlohmann::json& changes);
  Revision PublishHosts();

  HttpJsonResponse Query(const HostId& host, const EntryName& entry,
                         const nlohmann::json& query, int timeout_ms = 0);
  HttpJsonResponse Post(const Endpoint& endpoint, const std::string& path,
                        const nlohmann::json& body,
                        absl::Duration timeout = absl::Seconds(5));
  HttpJsonResponse Get(const Endpoint& endpoint, const std::string& path,
                       absl::Duration timeout = absl::Seconds(5));
  void InjectFault(const TargetId& target, const nlohmann::json& faults);
  void InjectPlatformFault(const nlohmann::json& faults);
  /// Cuts the daemons of the hosts in `a` off from those in `b`, both ways;
  /// empty lists heal everything.
  void Partition(const std::vector<HostId>& a, const std::vector<HostId>& b);

  /// Cuts the daemons of the hosts off from the platform, beside nothing else.
  void PartitionFromPlatform(const std::vector<HostId>& hosts);

  /// Sum of one counter of `/stats` over all targets that answer.
  int64_t SumStats(const std::string& name);

  /// Sends queries until every target of the service is warm.
  /// @return false if that takes too long.
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

/// Waits until `condition` holds. @return false if `limit` passes first.
bool WaitUntil(const std::function<bool()>& condition,
               absl::Duration limit = absl::Seconds(30));

}  // namespace cherrydyke
