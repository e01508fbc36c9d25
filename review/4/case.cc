// A host gets SIGTERM while a caller behind a slow link reads a large answer.

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
constexpr char kZone[] = "medellin-a";
constexpr char kService[] = "trazabilidad";
constexpr int64_t kSteadyMs = 6000;
/// The platform sends new connections until it has asked twice whether the host
/// is ready.
constexpr int64_t kInRotationMs = 1900;
constexpr double kRequestsPerS = 2;
constexpr size_t kResponseBytes = 12'000'000;
/// A link of 40 Mbit/s.
constexpr ReadRate kSlowLink = {5'000'000, 65'536};
constexpr int64_t kDeadlineMs = 3000;

[[noreturn]] void Play(const std::string& record_path,
                       const std::string& folder, bool trouble) {
  Record record(record_path);
  Store store(kTargetsIp, {}, record);
  Targets targets(kTargetsIp, store, record);
  Target::Options options;
  options.slots = 6;
  options.response_bytes = kResponseBytes;
  targets.AddService(kService, 5, {kZone}, options);
  targets.Start();
  store.Put(
      "op/config",
      ConfigJson(1, RouteJson("keg-trace", kService, "idempotent", kDeadlineMs),
                 {kService}));
  auto hosts = MakeHosts({kZone}, store.address(), folder, record);
  TierHost& host = *hosts.front();
  host.Start();
  if (!WaitUntilReady(hosts)) {
    record.Write("the host didn't get ready");
    EndCase(hosts, 2);
  }
  Traffic traffic(record);
  const int64_t stop_at = NowMs() + kSteadyMs;
  std::thread operations([&] {
    SleepUntil(stop_at);
    if (trouble) host.Signal(SIGTERM);
  });
  traffic.Run(stop_at + kInRotationMs, kRequestsPerS, [&](int number) {
    const std::string id = "r" + std::to_string(number);
    return Traffic::Request{
        id,
        host.id(),
        host.callers(),
        RequestText("GET", "/keg-trace/" + id, id, kDeadlineMs),
        kDeadlineMs,
        kSlowLink};
  });
  operations.join();
  traffic.Wait();
  host.IsRunning();
  const auto runs = targets.RunsByRequest();
  int cut = 0;
  int served = 0;
  for (const auto& [id, attempt] : traffic.Attempts()) {
    const HttpResult& result = attempt.result;
    if (result.status == 200 && result.complete) ++served;
    const bool was_cut = result.connected && !result.complete &&
                         result.ended_at_ms < result.sent_at_ms + kDeadlineMs;
    if (!was_cut || runs.count(id) == 0) continue;
    ++cut;
    record.Write("BROKEN: " + id + ", sent " +
                 std::to_string(result.sent_at_ms - stop_at) +
                 " ms after SIGTERM, got " +
                 std::to_string(result.body.size()) + " bytes of " +
                 std::to_string(kResponseBytes) + " in " +
                 std::to_string(result.ended_at_ms - result.sent_at_ms) +
                 " ms, then the connection was closed");
  }
  record.Write(std::to_string(served) + " requests served, " +
               std::to_string(cut) + " cut");
  EndCase(hosts, served == 0 ? 2 : cut > 0 ? 1 : 0);
}

}  // namespace
}  // namespace cherrydyke::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* const trouble = std::getenv("TROUBLE");
  cherrydyke::review::Play(argv[1], argv[2],
                           trouble == nullptr || std::string(trouble) != "0");
}
