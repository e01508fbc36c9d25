// Searchers of a route that isn't idempotent fail part of the requests that
// they have run, with 503 and without saying that they did not run them.

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <string>

#include "../stand_ins/record.h"
#include "../stand_ins/store.h"
#include "../stand_ins/target.h"
#include "../stand_ins/tier.h"
#include "../stand_ins/traffic.h"

namespace cherrydyke::review {
namespace {

constexpr char kTargetsIp[] = "127.0.0.1";
constexpr char kZone[] = "medellin-a";
constexpr char kService[] = "cervecera-link";
constexpr int64_t kSteadyMs = 6000;
constexpr int64_t kTroubleMs = 6500;
constexpr double kRequestsPerS = 20;
constexpr int64_t kDeadlineMs = 3000;
constexpr int kPromiseStatus = 503;
/// One of the three searchers fails each third of its requests. In the bench's
/// list a share of 0.15 of the searchers fails 0.4 of their requests.
constexpr size_t kFailingTargets = 1;
constexpr int kFailEvery = 3;

[[noreturn]] void Play(const std::string& record_path,
                       const std::string& folder, bool trouble) {
  Record record(record_path);
  Store store(kTargetsIp, {}, record);
  Targets targets(kTargetsIp, store, record);
  Target::Options options;
  options.slots = 6;
  options.work_ms = 60;
  targets.AddService(kService, 3, {kZone}, options);
  targets.Start();
  store.Put("op/config", ConfigJson(1,
                                    RouteJson("collect", kService,
                                              "non_idempotent", kDeadlineMs),
                                    {kService}));
  auto hosts = MakeHosts({kZone}, store.address(), folder, record);
  hosts.front()->Start();
  if (!WaitUntilReady(hosts)) {
    record.Write("the host didn't get ready");
    EndCase(hosts, 2);
  }
  const TierHost& host = *hosts.front();
  Traffic traffic(record);
  const auto make = [&](const std::string& prefix) {
    return [&host, prefix](int number) {
      const std::string id = prefix + std::to_string(number);
      return Traffic::Request{
          id,
          host.id(),
          host.callers(),
          RequestText("POST", "/collect/" + id, id, kDeadlineMs),
          kDeadlineMs,
          ReadRate{}};
    };
  };
  traffic.Run(NowMs() + kSteadyMs, kRequestsPerS, make("a"));
  for (size_t index = 0; trouble && index < kFailingTargets; ++index) {
    Target& failing = *targets.OfService(kService)[index];
    record.Write(failing.id() + " fails requests from now on");
    failing.FailRequests(kPromiseStatus, kFailEvery);
  }
  traffic.Run(NowMs() + kTroubleMs, kRequestsPerS, make("b"));
  traffic.Wait();
  const auto runs = targets.RunsByRequest();
  int false_promises = 0;
  int served = 0;
  for (const auto& [id, attempt] : traffic.Attempts()) {
    if (attempt.result.status == 200) ++served;
    if (attempt.result.status != kPromiseStatus || runs.count(id) == 0) {
      continue;
    }
    ++false_promises;
    record.Write("BROKEN: " + id + " has run and was answered 503");
  }
  record.Write(std::to_string(served) + " requests served, " +
               std::to_string(false_promises) +
               " answered 503 although they had run");
  EndCase(hosts, served == 0 ? 2 : false_promises > 0 ? 1 : 0);
}

}  // namespace
}  // namespace cherrydyke::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* const trouble = std::getenv("TROUBLE");
  cherrydyke::review::Play(argv[1], argv[2],
                           trouble == nullptr || std::string(trouble) != "0");
}
