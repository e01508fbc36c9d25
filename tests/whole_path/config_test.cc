#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Users require a change to be in effect on all daemons within this time.
constexpr absl::Duration kPropagationTimeout = absl::Seconds(12);

}  // namespace

// A published change is in effect on all daemons within seconds and no daemon
// reverts to an older revision, despite restarts, partitions, stale platform
// reads and invalid changes (promise 9).
class ConfigWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigWholePathTest);
  CPPUNIT_TEST(ChangesReachEveryDaemonAndNeverRevert);
  CPPUNIT_TEST(PartitionAndStalePlatformDoNotRevert);
  CPPUNIT_TEST(InvalidChangeRetireAndRecreate);
  CPPUNIT_TEST(DaemonStartedDuringOutageGetsPeerRevision);
  CPPUNIT_TEST(PlatformCallsDoNotGrowWithDaemons);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangesReachEveryDaemonAndNeverRevert() {
    const auto cluster = StartCluster(DeskSpec());
    std::atomic<bool> stop{false};
    std::string reverted;
    std::thread watcher([&] { reverted = DetectReverts(*cluster, stop); });
    // Two operators publish concurrently while daemons are restarted.
    std::thread one([&] { Publish(*cluster, "one", 8); });
    std::thread two([&] { Publish(*cluster, "two", 8); });
    cluster->gate("sofia-1").Kill();
    cluster->StartGate("sofia-1");
    cluster->entry("varna-2").Kill();
    cluster->StartEntry("varna-2");
    one.join();
    two.join();
    const Revision last = PublishEntry(*cluster, "last", 77);
    CPPUNIT_ASSERT(WaitUntil([&] { return IsInEffect(*cluster, last); },
                             kPropagationTimeout));
    stop = true;
    watcher.join();
    CPPUNIT_ASSERT_EQUAL(std::string(), reverted);
  }

  void PartitionAndStalePlatformDoNotRevert() {
    const auto cluster = StartCluster(DeskSpec());
    std::atomic<bool> stop{false};
    std::string reverted;
    std::thread watcher([&] { reverted = DetectReverts(*cluster, stop); });
    cluster->InjectPlatformFault({{"stale", true}});
    const Revision hidden = PublishEntry(*cluster, "hidden", 5);
    cluster->Partition({"varna-1", "varna-2"},
                       {"sofia-1", "sofia-2", "plovdiv-1", "plovdiv-2"});
    cluster->InjectPlatformFault({{"stale", false}});
    CPPUNIT_ASSERT(WaitUntil([&] { return IsInEffect(*cluster, hidden); },
                             kPropagationTimeout));
    // The platform serves stale data again, to a restarted gate too; no daemon
    // may revert to it.
    cluster->InjectPlatformFault({{"stale", true}});
    cluster->gate("sofia-2").Kill();
    cluster->StartGate("sofia-2");
    cluster->Partition({}, {});
    CPPUNIT_ASSERT(WaitUntil([&] { return IsInEffect(*cluster, hidden); },
                             kPropagationTimeout));
    stop = true;
    watcher.join();
    CPPUNIT_ASSERT_EQUAL(std::string(), reverted);
  }

  void InvalidChangeRetireAndRecreate() {
    const auto cluster = StartCluster(DeskSpec());
    const Revision accepted = PublishEntry(*cluster, "fair", 10);
    // The platform keeps only the latest value, so a value that no daemon read
    // before it was replaced is lost. A value that is in effect on one daemon
    // reaches all others.
    CPPUNIT_ASSERT(
        WaitUntil([&] { return IsInEffectOnAnyEntry(*cluster, accepted); }));
    json invalid = cluster->catalogue()["entries/desk"];
    invalid["class"] = "quick";
    const Revision invalid_revision =
        cluster->PublishCatalogue({{"entries/fair", invalid}});
    CPPUNIT_ASSERT(
        WaitUntil([&] { return IsInEffect(*cluster, invalid_revision); },
                  kPropagationTimeout));
    for (const HostId& host : cluster->hosts()) {
      const HttpJsonResponse status =
          cluster->Get(cluster->GateHttp(host), "/v1/status");
      CPPUNIT_ASSERT_EQUAL(size_t{1}, status.body["refused_changes"].size());
      CPPUNIT_ASSERT(WaitUntil(
          [&] {
            return cluster->Query(host, "fair", {{"term", "a"}}).status == 200;
          },
          kPropagationTimeout));
    }
    const Revision retired =
        cluster->PublishCatalogue({{"entries/fair", nullptr}});
    CPPUNIT_ASSERT(WaitUntil([&] { return IsInEffect(*cluster, retired); },
                             kPropagationTimeout));
    CPPUNIT_ASSERT_EQUAL(
        410, cluster->Query("sofia-1", "fair", {{"term", "a"}}).status);
    CPPUNIT_ASSERT_EQUAL(
        404, cluster->Query("sofia-1", "never", {{"term", "a"}}).status);
    const Revision again = PublishEntry(*cluster, "fair", 10);
    CPPUNIT_ASSERT(WaitUntil([&] { return IsInEffect(*cluster, again); },
                             kPropagationTimeout));
    const HttpJsonResponse first =
        cluster->Query("sofia-1", "fair", {{"term", "a"}});
    const json limits =
        cluster->Get(cluster->EntryHttp("sofia-1"), "/v1/status")
            .body["limits"];
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body.dump() + " " + limits.dump(), 200,
                                 first.status);
  }

  void DaemonStartedDuringOutageGetsPeerRevision() {
    const auto cluster = StartCluster(DeskSpec());
    const Revision last = PublishEntry(*cluster, "last", 7);
    CPPUNIT_ASSERT(WaitUntil([&] { return IsInEffect(*cluster, last); },
                             kPropagationTimeout));
    cluster->InjectPlatformFault({{"down", true}});
    cluster->entry("plovdiv-1").Kill();
    cluster->StartEntry("plovdiv-1");
    CPPUNIT_ASSERT(WaitUntil([&] {
      return cluster->Get(cluster->EntryHttp("plovdiv-1"), "/readyz").status ==
             200;
    }));
    CPPUNIT_ASSERT(IsCompleteAndCorrect(
        cluster->Query("plovdiv-1", "last", {{"term", "a"}, {"every", 16}}),
        {"a", 16}));
  }

  void PlatformCallsDoNotGrowWithDaemons() {
    int64_t calls[2] = {0, 0};
    for (const int hosts : {2, 6}) {
      ClusterSpec spec = DeskSpec();
      spec.domains = {"Sofia"};
      spec.hosts_per_domain = hosts;
      const auto cluster = StartCluster(spec);
      const int64_t before = PlatformCallCount(*cluster);
      Publish(*cluster, "many", 20);
      calls[hosts == 6] = PlatformCallCount(*cluster) - before;
    }
    // Each failure domain has two watchers, each with one platform call per
    // change.
    CPPUNIT_ASSERT(calls[0] > 0 && calls[1] > 0);
    CPPUNIT_ASSERT(calls[0] <= 2 * 20 + 12);
    CPPUNIT_ASSERT(calls[1] <= 2 * 20 + 12);
  }

 private:
  static Revision PublishEntry(Cluster& cluster, const std::string& name,
                               int concurrency) {
    json entry = cluster.catalogue()["entries/desk"];
    entry["limits"]["concurrency"] = concurrency;
    return cluster.PublishCatalogue({{"entries/" + name, entry}});
  }

  static void Publish(Cluster& cluster, const std::string& name, int changes) {
    for (int i = 0; i < changes; ++i) {
      PublishEntry(cluster, name, 10 + i);
      absl::SleepFor(absl::Milliseconds(100));
    }
  }

  static int64_t PlatformCallCount(Cluster& cluster) {
    return cluster.Get(cluster.PlatformHttp(), "/stats")
        .body.value("calls", int64_t{0});
  }

  static Revision RevisionAt(Cluster& cluster, const Endpoint& http) {
    const HttpJsonResponse status = cluster.Get(http, "/v1/status");
    return status.status == 200
               ? status.body.value("catalogue_revision", Revision{0})
               : 0;
  }

  static bool IsInEffect(Cluster& cluster, Revision revision) {
    for (const HostId& host : cluster.hosts()) {
      if (RevisionAt(cluster, cluster.EntryHttp(host)) < revision) return false;
      if (RevisionAt(cluster, cluster.GateHttp(host)) < revision) return false;
    }
    return true;
  }

  static bool IsInEffectOnAnyEntry(Cluster& cluster, Revision revision) {
    for (const HostId& host : cluster.hosts()) {
      if (RevisionAt(cluster, cluster.EntryHttp(host)) >= revision) return true;
    }
    return false;
  }

  // Polls the revisions of all daemons until `stop` is set and returns an error
  // message if one decreased. Daemons that do not respond or are not ready are
  // skipped: they serve no requests and may report revision 0.
  static std::string DetectReverts(Cluster& cluster,
                                   const std::atomic<bool>& stop) {
    std::map<Endpoint, Revision> highest_revisions;
    std::string error;
    while (!stop) {
      for (const HostId& host : cluster.hosts()) {
        for (const Endpoint& http :
             {cluster.EntryHttp(host), cluster.GateHttp(host)}) {
          const bool ready = cluster.Get(http, "/readyz").status == 200;
          const Revision revision = RevisionAt(cluster, http);
          if (!ready || revision == 0) continue;
          if (revision < highest_revisions[http]) error = host + " reverted";
          highest_revisions[http] = std::max(highest_revisions[http], revision);
        }
      }
      absl::SleepFor(absl::Milliseconds(20));
    }
    return error;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigWholePathTest);

}  // namespace cherrydyke
