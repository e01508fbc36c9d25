#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace cherrydyke::review {

/// Bounds of a deployment as the users' pages give them, in milliseconds where
/// the name says so.
struct Bounds {
  int64_t contact_ms = 5000;
  int64_t drain_ms = 4000;
  int64_t grace_s = 6;
  int64_t loss_slack_ms = 200;
  int64_t config_apply_ms = 4000;
  int64_t evacuate_ms = 5000;
};

/// A host that runs the tier as the deploy file says, in a process of its own.
class TierHost {
 public:
  struct Options {
    std::string id;
    std::string zone;
    std::string ip;
    uint16_t first_port = 0;
    std::vector<std::string> seeds;
    std::string store;
    /// Folder of the settings file and the log.
    std::string folder;
  };

  TierHost(Options options, Record& record);
  ~TierHost();

  const std::string& id() const { return options_.id; }
  Address callers() const { return PortAddress(2); }
  Address readiness() const { return PortAddress(3); }
  void Start();
  void Signal(int signal);
  /// @return whether the process runs.
  bool IsRunning();
  /// @return whether it answers the readiness question with 200.
  bool IsReady() const;

 private:
  Address PortAddress(uint16_t offset) const {
    return {options_.ip, static_cast<uint16_t>(options_.first_port + offset)};
  }
  std::string SettingsPath() const;
  void WriteSettings() const;

  const Options options_;
  Record& record_;
  pid_t process_ = 0;
};

/// Chooses loopback addresses for the hosts and ports that are free on all.
/// @param zones zone of each host.
std::vector<std::unique_ptr<TierHost>> MakeHosts(
    const std::vector<std::string>& zones, const Address& store,
    const std::string& folder, Record& record);

/// Waits until all hosts are ready.
/// @return false if they aren't in time.
bool WaitUntilReady(const std::vector<std::unique_ptr<TierHost>>& hosts);

/// Ends the processes of the hosts, and then this process with the case's
/// result. The threads of the stand-ins run until then.
[[noreturn]] void EndCase(std::vector<std::unique_ptr<TierHost>>& hosts,
                          int result);

/// @return the configuration as the operator writes it.
/// @param routes JSON objects of the routes, separated by commas.
/// @param services names of the services.
std::string ConfigJson(int version, const std::string& routes,
                       const std::vector<std::string>& services);

/// @return a route to one service as JSON.
/// @param type `idempotent` or `non_idempotent`.
std::string RouteJson(const std::string& name, const std::string& service,
                      const std::string& type, int64_t timeout_ms);

/// @return a caller's request on a connection that is closed after it.
std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int64_t deadline_ms);

}  // namespace cherrydyke::review
