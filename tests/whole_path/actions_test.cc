#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr absl::Duration kActionTimeout = absl::Seconds(8);

struct IssuedTicket {
  std::string text;
  HostId gate;
};

}  // namespace

// An action runs at most once per ticket, and an action reported as `not_run`
// never runs, despite retries through several hosts, gate crashes, frozen
// gates, lost responses and load shedding (promises 6 and 7).
class ActionsWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ActionsWholePathTest);
  CPPUNIT_TEST(ResendThroughAnotherEntryRunsOnce);
  CPPUNIT_TEST(GateKilledBeforeDuringAndAfterTheRun);
  CPPUNIT_TEST(GateFrozenWhileCallerRetries);
  CPPUNIT_TEST(LostResponseIsUnknownOnEveryRetry);
  CPPUNIT_TEST(NotRunHoldsUnderLoadShedding);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResendThroughAnotherEntryRunsOnce() {
    const auto cluster = StartCluster(DeskSpec());
    const IssuedTicket ticket = IssueTicket(*cluster, "a0");
    std::vector<std::thread> callers;
    std::atomic<int> done_count{0};
    for (const HostId& host : cluster->hosts()) {
      callers.emplace_back([&, host] {
        for (int i = 0; i < 3; ++i) {
          if (Act(*cluster, host, ticket, "a0") == "done") ++done_count;
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    CPPUNIT_ASSERT_EQUAL(18, done_count.load());
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, cluster->SumStats("actions"));
    CPPUNIT_ASSERT(MaxRunsPerTicket(*cluster) <= 1);
  }

  void GateKilledBeforeDuringAndAfterTheRun() {
    const auto cluster = StartCluster(DeskSpec());
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->InjectFault(target, {{"straggle_ms", 150}});
    }
    // Kills the gate before the action is sent (-1), while it runs, or after it
    // has ended.
    for (const int delay_ms : {-1, 60, 400}) {
      const std::string key = "a0";
      const IssuedTicket ticket = IssueTicket(*cluster, key);
      if (delay_ms < 0) cluster->gate(ticket.gate).Kill();
      std::string outcome;
      std::thread caller([&] {
        outcome = Act(*cluster, OtherHost(*cluster, ticket.gate), ticket, key);
      });
      if (delay_ms >= 0) {
        absl::SleepFor(absl::Milliseconds(delay_ms));
        cluster->gate(ticket.gate).Kill();
      }
      caller.join();
      cluster->StartGate(ticket.gate);
      WaitForGates(*cluster);
      // The restarted gate numbers its tickets from one again. Waits until it
      // has issued one, so that the old ticket's number may be in use again.
      CPPUNIT_ASSERT(WaitUntil(
          [&] { return IssueTicket(*cluster, key).gate == ticket.gate; }));
      for (const HostId& host : cluster->hosts()) {
        const std::string retry_outcome = Act(*cluster, host, ticket, key);
        // The new incarnation has no record of the ticket and must not run it.
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), retry_outcome);
      }
      if (delay_ms < 0) CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcome);
      if (delay_ms == 400) CPPUNIT_ASSERT_EQUAL(std::string("done"), outcome);
      CPPUNIT_ASSERT(MaxRunsPerTicket(*cluster) <= 1);
    }
  }

  void GateFrozenWhileCallerRetries() {
    const auto cluster = StartCluster(DeskSpec());
    const IssuedTicket ticket = IssueTicket(*cluster, "a0");
    cluster->gate(ticket.gate).Freeze();
    const HostId other = OtherHost(*cluster, ticket.gate);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                           Act(*cluster, other, ticket, "a0"));
    }
    // After resuming, the gate reads the requests that arrived while it was
    // frozen; it must run the action at most once.
    cluster->gate(ticket.gate).Resume();
    WaitForGates(*cluster);
    std::string outcome;
    CPPUNIT_ASSERT(WaitUntil([&] {
      outcome = Act(*cluster, other, ticket, "a0");
      return outcome != "unknown";
    }));
    const int64_t runs = cluster->SumStats("actions");
    CPPUNIT_ASSERT_EQUAL(outcome == "done" ? int64_t{1} : int64_t{0}, runs);
    CPPUNIT_ASSERT(MaxRunsPerTicket(*cluster) <= 1);
  }

  void LostResponseIsUnknownOnEveryRetry() {
    const auto cluster = StartCluster(DeskSpec());
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->InjectFault(target, {{"drop_on", "lose-me"}});
    }
    const IssuedTicket ticket = IssueTicket(*cluster, "a0");
    for (const HostId& host : cluster->hosts()) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                           Act(*cluster, host, ticket, "a0", "lose-me"));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, cluster->SumStats("actions"));
  }

  void NotRunHoldsUnderLoadShedding() {
    const auto cluster = StartCluster(DeskSpec());
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->InjectFault(target, {{"shed", true}});
    }
    std::vector<std::string> not_run_tickets;
    for (int i = 0; i < 3; ++i) {
      const IssuedTicket ticket = IssueTicket(*cluster, "a0");
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                           Act(*cluster, "sofia-1", ticket, "a0"));
      not_run_tickets.push_back(ticket.text);
    }
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->InjectFault(target, {{"shed", false}});
    }
    // A ticket whose action was reported as `not_run` must stay void, also once
    // the targets accept work again.
    for (const std::string& text : not_run_tickets) {
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                           Act(*cluster, "varna-1", {text, ""}, "a0"));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, cluster->SumStats("actions"));
  }

 private:
  static IssuedTicket IssueTicket(Cluster& cluster, const std::string& key) {
    IssuedTicket issued;
    CPPUNIT_ASSERT(WaitUntil([&] {
      const HttpJsonResponse answer =
          cluster.Post(cluster.EntryHttp("sofia-1"), "/v1/tickets",
                       {{"entry", "refund"}, {"key", key}});
      issued.text = answer.body.value("ticket", "");
      return answer.status == 200;
    }));
    issued.gate = issued.text.substr(0, issued.text.find('.'));
    return issued;
  }

  static std::string Act(Cluster& cluster, const HostId& host,
                         const IssuedTicket& ticket, const std::string& key,
                         const std::string& note = "") {
    const HttpJsonResponse answer =
        cluster.Post(cluster.EntryHttp(host), "/v1/actions",
                     {{"ticket", ticket.text},
                      {"entry", "refund"},
                      {"key", key},
                      {"payload", {{"note", note}}}},
                     kActionTimeout);
    return answer.body.is_object() ? answer.body.value("outcome", "") : "";
  }

  static HostId OtherHost(const Cluster& cluster, const HostId& host) {
    for (const HostId& other : cluster.hosts()) {
      if (other != host) return other;
    }
    return "";
  }

  static void WaitForGates(Cluster& cluster) {
    CPPUNIT_ASSERT(WaitUntil([&] {
      for (const HostId& host : cluster.hosts()) {
        const HttpJsonResponse status =
            cluster.Get(cluster.EntryHttp(host), "/v1/status");
        if (status.body.value("gates_connected", size_t{0}) !=
            cluster.hosts().size()) {
          return false;
        }
      }
      return true;
    }));
  }

  static int64_t MaxRunsPerTicket(Cluster& cluster) {
    int64_t max_runs = 0;
    for (const TargetId& target : cluster.targets("desk")) {
      const HttpJsonResponse stats =
          cluster.Get(cluster.TargetHttp(target), "/stats");
      max_runs = std::max(
          max_runs, stats.body.value("most_runs_of_a_ticket", int64_t{0}));
    }
    return max_runs;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActionsWholePathTest);

}  // namespace cherrydyke
