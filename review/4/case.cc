// A searcher leaves without reporting that it drains. Shortly after, the hosts'
// processes are killed together, start again and list the store's items.

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <thread>

#include "../stand_ins/record.h"
#include "../stand_ins/store.h"
#include "../stand_ins/target.h"
#include "../stand_ins/tier.h"
#include "../stand_ins/traffic.h"

namespace cherrydyke::review {
namespace {

constexpr char kTargetsIp[] = "127.0.0.1";
/// Size of a page as in the site file, and age of the stale reads: "may be
/// seconds old".
constexpr size_t kItemsPerPage = 50;
constexpr int64_t kReplicaLagMs = 3000;
constexpr int64_t kSteadyMs = 4000;
/// From the removal of the entry to the kill, and from that to the new start.
constexpr int64_t kKillAfterMs = 300;
constexpr int64_t kRestartAfterMs = 500;
/// How long the searcher goes on serving after the removal.
constexpr int64_t kServesOnMs = 14'000;
constexpr double kRequestsPerS = 45;
constexpr int64_t kDeadlineMs = 3000;
constexpr char kService[] = "trazabilidad";
constexpr char kRoute[] = "keg-trace";
const std::vector<std::string> kZones = {"medellin-a", "bogota-a", "cali-a"};

void AddTargets(Targets& targets, std::vector<std::string>& services) {
  const auto add = [&](const std::string& service, int count, int slots) {
    Target::Options options;
    options.slots = slots;
    targets.AddService(service, count, kZones, options);
    services.push_back(service);
  };
  for (int shard = 1; shard <= 15; ++shard) {
    if (shard <= 10) add("ruta-app~" + std::to_string(shard), 3, 2);
    add("franquicia-portal~" + std::to_string(shard), 3, 2);
  }
  add("cervecera-link", 3, 6);
  add(kService, 5, 6);
}

[[noreturn]] void Play(const std::string& record_path,
                       const std::string& folder, bool trouble) {
  const Bounds bounds;
  Record record(record_path);
  Store store(kTargetsIp, {kItemsPerPage, kReplicaLagMs}, record);
  Targets targets(kTargetsIp, store, record);
  std::vector<std::string> services;
  AddTargets(targets, services);
  targets.Start();
  store.Put(
      "op/config",
      ConfigJson(1, RouteJson(kRoute, kService, "idempotent", kDeadlineMs),
                 services));
  SleepUntil(NowMs() + kReplicaLagMs);
  auto hosts = MakeHosts(kZones, store.address(), folder, record);
  for (const auto& host : hosts) host->Start();
  if (!WaitUntilReady(hosts)) {
    record.Write("the hosts didn't get ready");
    EndCase(hosts, 2);
  }
  Traffic traffic(record);
  int64_t started_at = NowMs();
  const int64_t removed_at = NowMs() + kSteadyMs;
  const Target& leaving = *targets.OfService(kService)[1];
  std::thread operations([&] {
    SleepUntil(removed_at);
    targets.StopHeartbeats(leaving.id());
    store.Remove(leaving.StoreKey());
    record.Write("store: confirmed the removal of " + leaving.StoreKey());
    if (!trouble) return;
    SleepUntil(removed_at + kKillAfterMs);
    for (const auto& host : hosts) host->Signal(SIGKILL);
    SleepUntil(removed_at + kKillAfterMs + kRestartAfterMs);
    for (const auto& host : hosts) {
      host->IsRunning();
      host->Start();
    }
    started_at = NowMs();
  });
  traffic.Run(removed_at + kServesOnMs, kRequestsPerS, [&](int number) {
    const std::string id = "r" + std::to_string(number);
    const TierHost& host = *hosts[static_cast<size_t>(number) % hosts.size()];
    return Traffic::Request{
        id,
        host.id(),
        host.callers(),
        RequestText("GET", "/keg-trace/" + id, id, kDeadlineMs),
        kDeadlineMs,
        ReadRate{}};
  });
  operations.join();
  traffic.Wait();
  const int64_t judged_from =
      std::max(removed_at + bounds.drain_ms, started_at + bounds.contact_ms);
  int late = 0;
  int sent = 0;
  int served = 0;
  const auto attempts = traffic.Attempts();
  for (const auto& [id, attempt] : attempts) {
    if (attempt.result.sent_at_ms < judged_from) continue;
    ++sent;
    if (attempt.result.status == 200) ++served;
  }
  for (const auto& run : leaving.Runs()) {
    const auto found = attempts.find(run.request_id);
    if (found == attempts.end()) continue;
    if (found->second.result.sent_at_ms < judged_from) continue;
    ++late;
    record.Write("BROKEN: " + leaving.id() + " ran " + run.request_id + " " +
                 std::to_string(run.arrived_at_ms - removed_at) +
                 " ms after the store had confirmed that it is gone");
  }
  record.Write("from " + std::to_string(judged_from) +
               " ms on: " + std::to_string(sent) + " requests, " +
               std::to_string(served) + " served, " + std::to_string(late) +
               " run by the searcher that is gone");
  EndCase(hosts, served == 0 ? 2 : late > 0 ? 1 : 0);
}

}  // namespace
}  // namespace cherrydyke::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* const trouble = std::getenv("TROUBLE");
  cherrydyke::review::Play(argv[1], argv[2],
                           trouble == nullptr || std::string(trouble) != "0");
}
