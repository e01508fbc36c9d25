#include <iostream>
#include "absl/time/clock.h"
#include "fakes/answer_check.h"
#include "support/cluster.h"
using namespace cherrydyke;
int main() {
  ClusterSpec spec;
  spec.services = {{"desk"}};
  spec.entries = {{"desk", "desk"}, {"refund", "desk", "cooperative", "coverage", "action"}};
  Cluster c(spec);
  auto t0 = absl::Now();
  std::cout << "start: " << c.Start() << " " << absl::Now() - t0 << "\n";
  for (int i = 0; i < 5; ++i) {
    auto t = absl::Now();
    auto a = c.Query("sofia-1", "desk", {{"term", "a"}, {"every", 16}});
    std::cout << a.status << " " << absl::Now() - t << " " << a.text.substr(0, 400) << "\n  check: " << CheckAnswer(a.text, {"a", 16}) << "\n";
  }
  auto ticket = c.Post(c.EntryHttp("sofia-1"), "/v1/tickets", {{"entry", "refund"}, {"key", "a0"}});
  std::cout << ticket.status << ticket.text << "\n";
  nlohmann::json act = {{"entry", "refund"}, {"key", "a0"}, {"ticket", ticket.body.value("ticket", "")}, {"payload", {{"n", 1}}}};
  for (auto h : {"sofia-1", "varna-2"}) { auto r = c.Post(c.EntryHttp(h), "/v1/actions", act); std::cout << r.status << r.text << "\n"; }
  std::cout << "warm " << c.WarmUp("desk", "desk") << "\n";
  std::cout << c.Get(c.GateHttp("sofia-1"), "/v1/status").text << "\n" << c.Get(c.EntryHttp("sofia-1"), "/v1/status").text << "\n";
  std::cout << c.Get(c.EntryHttp("sofia-1"), "/metrics").text << "\n";
  for (auto h : c.hosts()) std::cout << h << " " << c.gate(h).Stop().value_or(-1) << c.entry(h).Stop().value_or(-1) << "\n";
}
