// Two of the three hosts of a zone get SIGTERM in turn, a second apart. As
// fewer than half of the zone's hosts are then in rotation, the platform sends
// new connections to all of them, also to those that are stopping.

#include <signal.h>
#include <unistd.h>

#include <array>
#include <atomic>
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
constexpr size_t kHosts = 3;
constexpr size_t kStoppedHosts = 2;
/// Pause between the SIGTERMs of the hosts.
constexpr int64_t kGapMs = 1000;
/// How long before a round of the platform's questions the SIGTERMs come.
constexpr int64_t kBeforeQuestionMs = 100;
constexpr int64_t kSteadyMs = 6000;
constexpr int64_t kObservedMs = 10'000;
constexpr int64_t kRestartAfterMs = 500;
constexpr int64_t kReadinessPeriodMs = 1000;
constexpr int kMissesUntilOut = 2;
/// Requests of the zone; the small site has 83.6 a second there.
constexpr double kRequestsPerS = 30;
constexpr int64_t kWorkMs = 300;
constexpr int64_t kDeadlineMs = 3000;
/// A request sent this long after SIGTERM has no excuse for being cut.
constexpr int64_t kExcusedMs = 3000;
constexpr char kService[] = "trazabilidad";

/// The platform's choice of hosts: asks each one once a second whether it is
/// ready.
class Rotation {
 public:
  Rotation(const std::vector<std::unique_ptr<TierHost>>& hosts, Record& record)
      : hosts_(hosts), record_(record) {
    for (auto& is_in : in_rotation_) is_in = true;
  }

  /// Asks the hosts from now on, in threads that run until the process ends.
  void Start() {
    for (size_t index = 0; index < kHosts; ++index) {
      std::thread([this, index] { Ask(index); }).detach();
    }
  }

  /// @return the host that gets a new connection.
  size_t Choose(int number) const {
    std::vector<size_t> used;
    for (size_t index = 0; index < kHosts; ++index) {
      if (in_rotation_[index]) used.push_back(index);
    }
    if (used.size() * 2 < kHosts) used = {0, 1, 2};
    return used[static_cast<size_t>(number) % used.size()];
  }

 private:
  void Ask(size_t index) {
    int misses = 0;
    while (true) {
      const int64_t asked_at = NowMs();
      misses = hosts_[index]->IsReady() ? 0 : misses + 1;
      const bool is_in = misses < kMissesUntilOut;
      if (is_in != in_rotation_[index]) {
        record_.Write("platform: " + hosts_[index]->id() +
                      (is_in ? " is in rotation" : " is out of rotation"));
      }
      in_rotation_[index] = is_in;
      SleepUntil(asked_at + kReadinessPeriodMs);
    }
  }

  const std::vector<std::unique_ptr<TierHost>>& hosts_;
  Record& record_;
  std::array<std::atomic<bool>, kHosts> in_rotation_;
};

void StopAndRestart(TierHost& host, int64_t at_ms, int64_t until_ms) {
  SleepUntil(at_ms);
  host.Signal(SIGTERM);
  const int64_t kill_at = at_ms + Bounds().grace_s * 1000;
  while (host.IsRunning()) {
    if (NowMs() >= kill_at) host.Signal(SIGKILL);
    SleepUntil(NowMs() + 20);
  }
  SleepUntil(NowMs() + kRestartAfterMs);
  if (NowMs() < until_ms) host.Start();
}

[[noreturn]] void Play(const std::string& record_path,
                       const std::string& folder, bool trouble) {
  Record record(record_path);
  Store store(kTargetsIp, {}, record);
  Targets targets(kTargetsIp, store, record);
  Target::Options options;
  options.slots = 6;
  options.work_ms = kWorkMs;
  targets.AddService(kService, 5, {kZone}, options);
  targets.Start();
  store.Put(
      "op/config",
      ConfigJson(1, RouteJson("keg-trace", kService, "idempotent", kDeadlineMs),
                 {kService}));
  auto hosts = MakeHosts(std::vector<std::string>(kHosts, kZone),
                         store.address(), folder, record);
  for (const auto& host : hosts) host->Start();
  if (!WaitUntilReady(hosts)) {
    record.Write("the hosts didn't get ready");
    EndCase(hosts, 2);
  }
  Rotation rotation(hosts, record);
  rotation.Start();
  Traffic traffic(record);
  const int64_t stop_at = NowMs() + kSteadyMs - kBeforeQuestionMs;
  const auto stop_time = [&](size_t index) {
    return stop_at + static_cast<int64_t>(index) * kGapMs;
  };
  const int64_t end = stop_at + kObservedMs;
  std::vector<std::thread> operations;
  for (size_t index = 0; trouble && index < kStoppedHosts; ++index) {
    operations.emplace_back(
        [&, index] { StopAndRestart(*hosts[index], stop_time(index), end); });
  }
  traffic.Run(end, kRequestsPerS, [&](int number) {
    const std::string id = "r" + std::to_string(number);
    const TierHost& host = *hosts[rotation.Choose(number)];
    return Traffic::Request{
        id,
        host.id(),
        host.callers(),
        RequestText("GET", "/keg-trace/" + id, id, kDeadlineMs),
        kDeadlineMs,
        ReadRate{}};
  });
  for (std::thread& operation : operations) operation.join();
  traffic.Wait();
  const auto runs = targets.RunsByRequest();
  int cut = 0;
  int served = 0;
  for (const auto& [id, attempt] : traffic.Attempts()) {
    const HttpResult& result = attempt.result;
    if (result.status == 200 && result.complete) ++served;
    const bool was_cut = result.connected && !result.complete &&
                         result.ended_at_ms < result.sent_at_ms + kDeadlineMs;
    if (!was_cut || runs.count(id) == 0) continue;
    for (size_t index = 0; index < kStoppedHosts; ++index) {
      const int64_t sent_after = result.sent_at_ms - stop_time(index);
      if (hosts[index]->id() != attempt.host || sent_after <= kExcusedMs) {
        continue;
      }
      ++cut;
      record.Write("BROKEN: " + id + ", sent " + std::to_string(sent_after) +
                   " ms after SIGTERM to " + attempt.host +
                   " and run by a searcher, was cut after " +
                   std::to_string(result.ended_at_ms - result.sent_at_ms) +
                   " ms");
    }
  }
  record.Write(std::to_string(served) + " requests served, " +
               std::to_string(cut) + " cut without an excuse");
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
