#include "publishing_model.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>

#include "base/ids.h"
#include "tier/compression.h"
#include "tier/transfer_message.h"

namespace cherrydyke {
namespace {

using Reads = PublishingModel::Reads;
using LateCalls = PublishingModel::LateCalls;

constexpr uint32_t kSeed = 20261206;
constexpr int kSeedsInCi = 10;
constexpr int kSeedsOfManyHostsInCi = 2;
constexpr absl::Duration kRunTime = absl::Minutes(2);
constexpr absl::Duration kFaultPeriod = absl::Seconds(3);
constexpr absl::Duration kBoundOfManyHosts = absl::Seconds(5);
/// Half of the bound of 4 s, and seven eighths.
constexpr absl::Duration kTargetOfSmallFleets = absl::Seconds(2);
constexpr absl::Duration kTargetOfTwoFailures = absl::Milliseconds(3500);
/// Tries to let a watch fall silent, or its response trickle, one each second,
/// the hosts in turn.
constexpr int kSilentWatches = 600;
constexpr absl::Duration kSecond = absl::Seconds(1);
constexpr size_t kDomainsWithGroups = 3;
constexpr uint32_t kCalmSeeds = 4;
constexpr uint32_t kLateSeeds = 50;
/// Each way, of slow paths to the store.
constexpr absl::Duration kSlowPath = absl::Seconds(1);
constexpr absl::Duration kSlowPathAfterOutages = absl::Milliseconds(400);
/// Calls a second that the hosts may spend on watches by default.
constexpr int kAllowance = 40;
/// Time between changes of a storm.
constexpr absl::Duration kStorm = absl::Milliseconds(300);
constexpr absl::Duration kDenseStorm = absl::Milliseconds(50);
/// Calls in a second for each failure domain: a reader's, and those of hosts
/// that lost a datagram.
constexpr int kMaxCalmCallsPerReader = 4;
/// Time before each run for figures, each phase of a run for figures, and the
/// time that a fault lasts in it.
constexpr absl::Duration kWarmUp = absl::Seconds(15);
constexpr absl::Duration kPhase = absl::Seconds(30);
constexpr absl::Duration kFault = absl::Seconds(10);
/// How long the store is away before it comes back from an older copy, how old
/// that is, and the time after which all hosts are to be in the new era.
constexpr absl::Duration kAway = absl::Milliseconds(500);
constexpr absl::Duration kCopyAge = absl::Seconds(4);
constexpr absl::Duration kRestored = absl::Seconds(5);
constexpr int kPages = 3;
constexpr uint32_t kRestoreSeeds = 3;

int64_t FromEnvironment(const char* name, int64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

/// Hosts that read by their roles and by evidence.
PublishingModel::Options WithoutAllowance() {
  PublishingModel::Options options;
  options.watch_calls_per_s = 0;
  return options;
}

/// Hosts that all watch the store.
PublishingModel::Options SmallFleet() {
  PublishingModel::Options options;
  options.target = kTargetOfSmallFleets;
  return options;
}

PublishingModel::Options ManyHosts() {
  PublishingModel::Options options = WithoutAllowance();
  options.domains = 6;
  options.hosts = 86;
  options.bound = kBoundOfManyHosts;
  return options;
}

// Each lateness in CHERRYDYKE_MODEL_LATENESS_MS, or this one.
constexpr int64_t kDefaultLatenessMs = 500;

/// The allowance in CHERRYDYKE_MODEL_WATCH_CALLS, or none.
PublishingModel::Options WithAllowanceOfRun() {
  PublishingModel::Options options;
  options.watch_calls_per_s =
      static_cast<double>(FromEnvironment("CHERRYDYKE_MODEL_WATCH_CALLS", 0));
  return options;
}

PublishingModel::Options WithLateness() {
  PublishingModel::Options options = WithAllowanceOfRun();
  options.lateness = absl::Milliseconds(
      FromEnvironment("CHERRYDYKE_MODEL_LATENESS_MS", kDefaultLatenessMs));
  options.counts_transit =
      FromEnvironment("CHERRYDYKE_MODEL_COUNTS_TRANSIT", 1) != 0;
  return options;
}

PublishingModel::Options WithFaults(PublishingModel::Options options) {
  options.fault_period = kFaultPeriod;
  return options;
}

std::string RunSeeds(PublishingModel::Options options, int seeds,
                     absl::Duration duration = kRunTime) {
  const auto first =
      static_cast<uint32_t>(FromEnvironment("CHERRYDYKE_MODEL_SEED", kSeed));
  const int64_t count = FromEnvironment("CHERRYDYKE_MODEL_SEEDS", seeds);
  for (uint32_t seed = first; seed < first + count; ++seed) {
    PublishingModel model(options, seed);
    const std::string violation = model.Run(duration);
    if (violation.empty()) continue;
    return "seed " + std::to_string(seed) + ": " + violation;
  }
  return "";
}

/// @param options of a fleet, with their sizes from the environment.
PublishingModel::Options WithSizeOfRun(PublishingModel::Options options) {
  options.hosts =
      static_cast<int>(FromEnvironment("CHERRYDYKE_MODEL_HOSTS", 8));
  options.domains =
      static_cast<size_t>(FromEnvironment("CHERRYDYKE_MODEL_DOMAINS", 3));
  options.reads =
      static_cast<Reads>(FromEnvironment("CHERRYDYKE_MODEL_READS", 0));
  if (options.hosts >= ManyHosts().hosts) options.bound = kBoundOfManyHosts;
  options.bound = absl::Milliseconds(FromEnvironment(
      "CHERRYDYKE_MODEL_BOUND_MS", absl::ToInt64Milliseconds(options.bound)));
  return options;
}

/// What a store that is away for a moment costs.
struct Restore {
  PublishingModel::Figures figures;
  std::string violation;
};

/// @param copy_age of the copy from which it comes back; nothing if it doesn't.
Restore RunRestore(PublishingModel::Options options, uint32_t seed,
                   std::optional<absl::Duration> copy_age) {
  options.change_period = kStorm;
  PublishingModel model(options, seed);
  Restore restore;
  restore.violation = model.Run(kWarmUp);
  model.SetChangePeriod(absl::InfiniteDuration());
  model.StartMeasuring();
  if (copy_age) {
    model.RestoreStore(kAway, *copy_age);
  } else {
    model.StopStore(kAway, false);
    model.EndWatches();
  }
  if (restore.violation.empty())
    restore.violation = model.Run(kAway + kRestored);
  restore.figures = model.Measured();
  return restore;
}

/// @return the bytes of a snapshot of so many targets, as it is sent.
size_t SnapshotBytes(int targets) {
  TransferMessage message;
  message.config.is_snapshot = message.targets.is_snapshot = true;
  for (int i = 0; i < targets; ++i) {
    const std::string number = std::to_string(i);
    message.targets.items.push_back(
        {"targets/i-" + std::to_string(StableHash(number)),
         R"({"service":"service-)" + std::to_string(i % 20) +
             R"(","address":"10.0.)" + std::to_string(i / 250) + "." +
             std::to_string(i % 250) + R"(:8080","unit":"region-)" +
             std::to_string(i % 6) +
             R"(-a","state":"ready","parallel_slots":8,"seq":)" + number +
             R"(,"cold_time_ms":0,"born":17967)" +
             std::to_string(StableHash(number) % 100'000'000) + "}",
         i + 1, false});
  }
  return Compress(EncodeTransferMessage(message)).size();
}

void PrintQuantiles(const char* name,
                    const std::vector<absl::Duration>& sorted) {
  std::cerr << ", " << name;
  if (sorted.empty()) {
    std::cerr << " none";
    return;
  }
  for (const double quantile : {0.5, 0.99, 0.999, 1.0}) {
    const auto index =
        static_cast<size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::cerr << " " << absl::ToInt64Milliseconds(sorted[index]);
  }
}

void Print(const char* phase, const PublishingModel::Figures& figures) {
  std::cerr << "  " << phase << ": " << figures.calls_per_s << " calls/s, "
            << figures.max_calls_in_a_second << " at most in a second";
  PrintQuantiles("delay ms p50 p99 p99.9 max", figures.delays);
  PrintQuantiles("age of proof ms", figures.proof_ages);
  std::cerr << "\n";
}

/// Prints how many runs miss a change for longer than the bound, or claim to be
/// more current than they are, and the longest delay in those that do not.
void PrintLateRuns(const char* name, const PublishingModel::Options& options,
                   const std::function<void(PublishingModel&)>& prepare) {
  const auto first =
      static_cast<uint32_t>(FromEnvironment("CHERRYDYKE_MODEL_SEED", kSeed));
  const int64_t runs = FromEnvironment("CHERRYDYKE_MODEL_SEEDS", kSeedsInCi);
  int late = 0;
  int false_claims = 0;
  double calls_per_s = 0;
  absl::Duration longest;
  for (uint32_t seed = first; seed < first + runs; ++seed) {
    PublishingModel model(options, seed);
    std::string violation = model.Run(kWarmUp);
    prepare(model);
    model.StartMeasuring();
    if (violation.empty()) violation = model.Run(kRunTime);
    const PublishingModel::Figures figures = model.Measured();
    if (!violation.empty()) {
      ++(violation.find("misses") != std::string::npos ? late : false_claims);
      continue;
    }
    calls_per_s += figures.calls_per_s;
    longest = std::max(longest, figures.delays.empty() ? absl::ZeroDuration()
                                                       : figures.delays.back());
  }
  std::cerr << "  " << name << ": " << late << " of " << runs
            << " runs miss a change, " << false_claims
            << " claim too much; longest delay of the others "
            << absl::ToInt64Milliseconds(longest) << " ms, "
            << calls_per_s / static_cast<double>(std::max<int64_t>(
                                 runs - late - false_claims, 1))
            << " calls/s\n";
}

/// Prints figures of phases with and without changes and faults.
/// @return the first violation, or "".
std::string RunForFigures(PublishingModel::Options options) {
  const auto seed =
      static_cast<uint32_t>(FromEnvironment("CHERRYDYKE_MODEL_SEED", kSeed));
  const absl::Duration phase = absl::Seconds(FromEnvironment(
      "CHERRYDYKE_MODEL_PHASE_S", absl::ToInt64Seconds(kPhase)));
  options.change_period = absl::InfiniteDuration();
  PublishingModel model(options, seed);
  const bool is_store_late = options.lateness > absl::ZeroDuration();
  if (is_store_late) model.DelayStore(absl::InfiniteDuration());
  std::cerr << "\n"
            << options.hosts << " hosts, " << options.domains
            << " domains, reads " << static_cast<int>(options.reads)
            << ", seed " << seed << ", phases of " << phase << ", bound "
            << options.bound << ", paths to the store late by "
            << options.lateness << ", late calls "
            << (options.late_calls == LateCalls::kKept ? "kept" : "closed")
            << "\n";
  std::string violation = model.Run(kWarmUp);
  const auto measure = [&](const char* name, absl::Duration duration) {
    if (violation.empty()) violation = model.Run(duration);
    Print(name, model.Measured());
  };
  model.StartMeasuring();
  measure("calm", phase);
  model.SetChangePeriod(kStorm);
  model.StartMeasuring();
  measure("a change each 0.3 s", phase);
  model.StopStore(kFault, false);
  model.StartMeasuring();
  measure("store refuses calls", kFault);
  model.StartMeasuring();
  measure("10 s after it", kFault);
  model.CutReaders(PublishingModel::Cut::kTransfers, phase);
  model.StartMeasuring();
  measure("transfers from readers cut", phase);
  model.StopStore(kFault, true);
  model.StartMeasuring();
  measure("store is silent", kFault);
  model.StartMeasuring();
  measure("10 s after it", kFault);
  return violation;
}

}  // namespace

/// Checks how current hosts are while they share their reads of the store.
/// CHERRYDYKE_MODEL_SEED, CHERRYDYKE_MODEL_SEEDS (the number of runs),
/// CHERRYDYKE_MODEL_HOSTS, CHERRYDYKE_MODEL_DOMAINS, CHERRYDYKE_MODEL_READS (0
/// to 2), CHERRYDYKE_MODEL_WATCH_CALLS, CHERRYDYKE_MODEL_PHASE_S,
/// CHERRYDYKE_MODEL_BOUND_MS, CHERRYDYKE_MODEL_LATE_STORE_MS (of all paths to
/// the store, each way), CHERRYDYKE_MODEL_LATE_CALLS (1: closed),
/// CHERRYDYKE_MODEL_PAGES and CHERRYDYKE_MODEL_TARGETS (of a listing and of a
/// snapshot) change the runs.
class PublishingModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishingModelTest);
  CPPUNIT_TEST(NoFaults);
  CPPUNIT_TEST(Faults);
  CPPUNIT_TEST(FaultsOfSmallFleet);
  CPPUNIT_TEST(FaultsOfManyHosts);
  CPPUNIT_TEST(FindsHostsThatBelieveTheRolesOfCutOffReaders);
  CPPUNIT_TEST(SmallFleetIgnoresCutTransfers);
  CPPUNIT_TEST(LateDatagramsDoNotHideChanges);
  CPPUNIT_TEST(SmallFleetIgnoresLateDatagrams);
  CPPUNIT_TEST(FindsCallsOnSlowPathsThatAreClosedForEver);
  CPPUNIT_TEST(SlowPathsToTheStoreDoNotHideChanges);
  CPPUNIT_TEST(PathsToTheStoreThatTurnSlowDoNotHideChanges);
  CPPUNIT_TEST(SilentWatchesWhileTransfersAreCut);
  CPPUNIT_TEST(SilentWatchesOfSmallFleetWhileTransfersAreCut);
  CPPUNIT_TEST(PeersServeHostsOfSmallFleetWhoseResponsesTrickle);
  CPPUNIT_TEST(TricklingResponsesOfSmallFleetWhileTransfersAreCut);
  CPPUNIT_TEST(CalmHostsLeaveTheStoreToTheReaders);
  CPPUNIT_TEST(SmallFleetStaysWithinItsAllowanceInStormsAndOutages);
  CPPUNIT_TEST(SmallFleetStaysWithinItsAllowanceOnSlowPaths);
  CPPUNIT_TEST(AllowanceCostsManyHostsNoCalls);
  CPPUNIT_TEST(ProofsAreNeverFresherThanTheTruth);
  CPPUNIT_TEST(ProofsOfSmallFleetAreNeverFresherThanTheTruth);
  CPPUNIT_TEST(RestoresAmongFaultsDoNotHideChanges);
  CPPUNIT_TEST(RestoreCostsAListingAndAWatchAReader);
  CPPUNIT_TEST(Figures);
  CPPUNIT_TEST(FiguresOfRestores);
  CPPUNIT_TEST(FiguresOfLateness);
  CPPUNIT_TEST(FiguresOfSilentWatchesOnSlowPaths);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoFaults() {
    CPPUNIT_ASSERT_EQUAL(std::string(), RunSeeds(WithoutAllowance(), 1));
    CPPUNIT_ASSERT_EQUAL(std::string(), RunSeeds(ManyHosts(), 1));
  }
  void Faults() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunSeeds(WithFaults(WithoutAllowance()), kSeedsInCi));
  }
  void FaultsOfSmallFleet() {
    CPPUNIT_ASSERT_EQUAL(std::string(), RunSeeds(SmallFleet(), 1));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunSeeds(WithFaults(SmallFleet()), kSeedsInCi));
  }
  void FaultsOfManyHosts() {
    CPPUNIT_ASSERT_EQUAL(std::string(), RunSeeds(WithFaults(ManyHosts()),
                                                 kSeedsOfManyHostsInCi));
  }
  void FindsHostsThatBelieveTheRolesOfCutOffReaders() {
    PublishingModel::Options options = WithoutAllowance();
    options.reads = Reads::kByRole;
    CPPUNIT_ASSERT(RunWithCutReaders(options).find("misses a change") !=
                   std::string::npos);
    options.reads = Reads::kByEvidence;
    CPPUNIT_ASSERT_EQUAL(std::string(), RunWithCutReaders(options));
  }
  void SmallFleetIgnoresCutTransfers() {
    CPPUNIT_ASSERT_EQUAL(std::string(), RunWithCutReaders(SmallFleet()));
  }
  // Proofs counted from the arrival of their datagrams.
  void LateDatagramsDoNotHideChanges() {
    PublishingModel::Options options = WithoutAllowance();
    options.lateness = absl::Seconds(2);
    options.counts_transit = false;
    CPPUNIT_ASSERT(RunWithLateLinks(options).find("misses a change") !=
                   std::string::npos);
    options.counts_transit = true;
    CPPUNIT_ASSERT_EQUAL(std::string(), RunWithLateLinks(options));
  }
  void SmallFleetIgnoresLateDatagrams() {
    PublishingModel::Options options = SmallFleet();
    options.lateness = absl::Seconds(2);
    CPPUNIT_ASSERT_EQUAL(std::string(), RunWithLateLinks(options));
    options.counts_transit = false;
    CPPUNIT_ASSERT_EQUAL(std::string(), RunWithLateLinks(options));
  }
  void FindsCallsOnSlowPathsThatAreClosedForEver() {
    for (PublishingModel::Options options : SlowPaths()) {
      options.late_calls = LateCalls::kClosed;
      CPPUNIT_ASSERT(
          RunWithSlowPaths(options, kRunTime).find("misses a change") !=
          std::string::npos);
    }
  }
  void SlowPathsToTheStoreDoNotHideChanges() {
    for (const PublishingModel::Options& options : SlowPaths()) {
      CPPUNIT_ASSERT_EQUAL(std::string(), RunWithSlowPaths(options, kRunTime));
    }
  }
  void PathsToTheStoreThatTurnSlowDoNotHideChanges() {
    for (const PublishingModel::Options& options : SlowPaths()) {
      CPPUNIT_ASSERT_EQUAL(std::string(), RunWithSlowPaths(options, kFault));
    }
  }
  // The pause after the failed watch exceeded the bound.
  void SilentWatchesWhileTransfersAreCut() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunWithSilentWatches(WithoutAllowance()));
  }
  void SilentWatchesOfSmallFleetWhileTransfersAreCut() {
    CPPUNIT_ASSERT_EQUAL(std::string(), RunWithSilentWatches(SmallFleet()));
  }
  void PeersServeHostsOfSmallFleetWhoseResponsesTrickle() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunWithTricklingResponses(SmallFleet(), false));
  }
  void TricklingResponsesOfSmallFleetWhileTransfersAreCut() {
    PublishingModel::Options options = SmallFleet();
    options.target = kTargetOfTwoFailures;
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         RunWithTricklingResponses(options, true));
  }
  // One lost datagram made whole groups call, for as long as the readers'
  // watches ended in an order that let foreign proofs displace the own ones.
  void CalmHostsLeaveTheStoreToTheReaders() {
    PublishingModel::Options options = ManyHosts();
    options.domains = kDomainsWithGroups;
    options.change_period = absl::InfiniteDuration();
    for (uint32_t seed = 1; seed <= kCalmSeeds; ++seed) {
      PublishingModel model(options, seed);
      CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kWarmUp));
      model.StartMeasuring();
      CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kPhase));
      CPPUNIT_ASSERT(model.Measured().max_calls_in_a_second <=
                     kMaxCalmCallsPerReader *
                         static_cast<int>(kDomainsWithGroups));
    }
  }
  // Each second, retries and first calls after a pause included.
  void SmallFleetStaysWithinItsAllowanceInStormsAndOutages() {
    const auto none = [](PublishingModel&) {};
    for (const absl::Duration changes : {kStorm, kDenseStorm}) {
      CPPUNIT_ASSERT(MaxCalls(SmallFleet(), changes, none) <= kAllowance);
      for (const bool is_silent : {false, true}) {
        CPPUNIT_ASSERT(MaxCalls(SmallFleet(), changes,
                                [is_silent](PublishingModel& model) {
                                  model.StopStore(kFault, is_silent);
                                }) <= kAllowance);
      }
    }
  }
  // Second calls beside late ones included.
  void SmallFleetStaysWithinItsAllowanceOnSlowPaths() {
    PublishingModel::Options options = SlowPaths().front();
    for (const absl::Duration changes :
         {absl::InfiniteDuration(), kStorm, kDenseStorm}) {
      options.lateness = kSlowPath;
      CPPUNIT_ASSERT(MaxCalls(options, changes, [](PublishingModel& model) {
                       model.DelayStore(kPhase);
                     }) <= kAllowance);
      options.lateness = kSlowPathAfterOutages;
      for (const bool is_silent : {false, true}) {
        CPPUNIT_ASSERT(
            MaxCalls(options, changes, [is_silent](PublishingModel& model) {
              model.DelayStore(kPhase);
              model.StopStore(kFault, is_silent);
            }) <= kAllowance);
      }
    }
  }
  void AllowanceCostsManyHostsNoCalls() {
    const auto none = [](PublishingModel&) {};
    const auto partition = [](PublishingModel& model) {
      model.CutDomain(0, kPhase);
    };
    for (const absl::Duration changes : {absl::InfiniteDuration(), kStorm}) {
      for (const auto& prepare :
           std::vector<std::function<void(PublishingModel&)>>{none,
                                                              partition}) {
        PublishingModel::Options options = ManyHosts();
        const auto before = RunPhase(options, changes, prepare);
        options.watch_calls_per_s = kAllowance;
        const auto after = RunPhase(options, changes, prepare);
        CPPUNIT_ASSERT_EQUAL(before.calls_per_s, after.calls_per_s);
        CPPUNIT_ASSERT_EQUAL(before.max_calls_in_a_second,
                             after.max_calls_in_a_second);
      }
    }
  }
  void ProofsAreNeverFresherThanTheTruth() {
    CheckProofs(WithoutAllowance(), 12);
  }
  void ProofsOfSmallFleetAreNeverFresherThanTheTruth() {
    CheckProofs(SmallFleet(), 9);
  }
  void RestoresAmongFaultsDoNotHideChanges() {
    for (PublishingModel::Options options :
         {WithoutAllowance(), SmallFleet(), ManyHosts()}) {
      options.restores = true;
      options.pages = kPages;
      const bool is_large = options.hosts >= ManyHosts().hosts;
      CPPUNIT_ASSERT_EQUAL(
          std::string(),
          RunSeeds(WithFaults(options),
                   is_large ? kSeedsOfManyHostsInCi : kSeedsInCi));
    }
  }
  void RestoreCostsAListingAndAWatchAReader() {
    for (PublishingModel::Options options :
         {WithoutAllowance(), SmallFleet(), ManyHosts()}) {
      options.pages = kPages;
      for (uint32_t seed = 1; seed <= kRestoreSeeds; ++seed) {
        const auto outage = CheckedRestore(options, seed, std::nullopt);
        const auto same = CheckedRestore(options, seed, absl::ZeroDuration());
        CheckedRestore(options, seed, kCopyAge);
        // Others fetch a snapshot from their peers.
        CPPUNIT_ASSERT(same.listing_hosts <= outage.calling_hosts);
        // A copy that lacks nothing, so that no change costs a call.
        CPPUNIT_ASSERT(same.calls <=
                       outage.calls + same.listing_hosts * (kPages + 1));
      }
    }
  }
  void Figures() {
    PublishingModel::Options options = WithSizeOfRun(WithAllowanceOfRun());
    options.lateness = absl::Milliseconds(
        FromEnvironment("CHERRYDYKE_MODEL_LATE_STORE_MS", 0));
    options.late_calls = static_cast<LateCalls>(
        FromEnvironment("CHERRYDYKE_MODEL_LATE_CALLS", 0));
    options.checks_delays = options.lateness == absl::ZeroDuration();
    const std::string violation = RunForFigures(options);
    if (options.reads == Reads::kByRole) return;
    CPPUNIT_ASSERT_EQUAL(std::string(), violation);
  }
  // Prints what a restore costs, and the same outage without one.
  void FiguresOfRestores() {
    PublishingModel::Options options = WithSizeOfRun(WithAllowanceOfRun());
    options.pages =
        static_cast<int>(FromEnvironment("CHERRYDYKE_MODEL_PAGES", 1));
    const auto targets = static_cast<int>(
        FromEnvironment("CHERRYDYKE_MODEL_TARGETS", 2L * options.hosts));
    const auto first =
        static_cast<uint32_t>(FromEnvironment("CHERRYDYKE_MODEL_SEED", kSeed));
    const int64_t seeds =
        FromEnvironment("CHERRYDYKE_MODEL_SEEDS", kRestoreSeeds);
    std::cerr << "\n"
              << options.hosts << " hosts, " << options.domains
              << " domains, away for " << kAway << ", copy of " << kCopyAge
              << ", " << options.pages << " pages, bound " << options.bound
              << "; a snapshot of " << targets << " targets takes "
              << SnapshotBytes(targets) << " bytes\n";
    for (uint32_t seed = first; seed < first + seeds; ++seed) {
      const auto outage = CheckedRestore(options, seed, std::nullopt);
      const auto same = CheckedRestore(options, seed, absl::ZeroDuration());
      const auto after = CheckedRestore(options, seed, kCopyAge);
      std::cerr << "  seed " << seed << ": " << after.calls << " calls, "
                << same.calls << " if nothing is lost, " << outage.calls
                << " without restore, at most " << after.max_calls_in_a_second
                << ", " << same.max_calls_in_a_second << ", "
                << outage.max_calls_in_a_second << " in a second, "
                << after.listing_calls << " of listings by "
                << after.listing_hosts << " hosts of " << after.calling_hosts
                << " and " << outage.calling_hosts << " that call, "
                << after.snapshots << " snapshots of " << after.snapshot_items
                << " items, " << after.restore_delays.size() << " hosts";
      PrintQuantiles("in the era after ms p50 p99 p99.9 max",
                     after.restore_delays);
      std::cerr << "\n";
    }
  }
  // Prints how many runs with late links break the bound.
  void FiguresOfLateness() {
    using Model = PublishingModel;
    std::cerr << "\nlate by " << WithLateness().lateness << "\n";
    PrintLateRuns("random faults", WithFaults(WithLateness()), [](Model&) {});
    PrintLateRuns("links late", WithLateness(),
                  [](Model& model) { model.DelayAllLinks(kRunTime); });
    PrintLateRuns("links late, transfers cut", WithLateness(),
                  [](Model& model) {
                    model.DelayAllLinks(kRunTime);
                    model.CutAll(Model::Cut::kTransfers, kRunTime);
                  });
    Model::Options starts_late = WithLateness();
    starts_late.starts_late = true;
    PrintLateRuns(
        "links late from the start, transfers cut", starts_late,
        [](Model& model) { model.CutAll(Model::Cut::kTransfers, kRunTime); });
    PrintLateRuns("paths to the store late", WithLateness(),
                  [](Model& model) { model.DelayStore(kRunTime); });
    PrintLateRuns("paths to the store late, transfers cut", WithLateness(),
                  [](Model& model) {
                    model.DelayStore(kRunTime);
                    model.CutAll(Model::Cut::kTransfers, kRunTime);
                  });
    PrintLateRuns("all late, transfers cut", WithLateness(), [](Model& model) {
      model.DelayAllLinks(kRunTime);
      model.DelayStore(kRunTime);
      model.CutAll(Model::Cut::kTransfers, kRunTime);
    });
  }
  // Prints the longest delays.
  void FiguresOfSilentWatchesOnSlowPaths() {
    for (const int late_ms : {0, 100, 200, 300, 500, 700, 1000}) {
      for (const bool cuts_transfers : {false, true}) {
        PublishingModel::Options options;
        options.lateness = absl::Milliseconds(late_ms);
        options.checks_delays = false;
        PublishingModel model(options, kSeed);
        CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kWarmUp));
        model.DelayStore(absl::InfiniteDuration());
        if (cuts_transfers) {
          model.CutAll(PublishingModel::Cut::kTransfers,
                       absl::InfiniteDuration());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kWarmUp));
        model.StartMeasuring();
        for (int i = 0; i < kSilentWatches; ++i) {
          CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kSecond));
          model.SilenceWatch(static_cast<size_t>(i % options.hosts));
        }
        std::cerr << "\nlate by " << late_ms << " ms"
                  << (cuts_transfers ? ", transfers cut" : "");
        Print("", model.Measured());
      }
    }
  }

 private:
  /// @return the figures of a restore that all hosts have followed in time and
  /// with the calls that it is to cost.
  static PublishingModel::Figures CheckedRestore(
      const PublishingModel::Options& options, uint32_t seed,
      std::optional<absl::Duration> copy_age) {
    const auto [figures, violation] = RunRestore(options, seed, copy_age);
    CPPUNIT_ASSERT_EQUAL(std::string(), violation);
    if (!copy_age) return figures;
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(options.hosts),
                         figures.restore_delays.size());
    CPPUNIT_ASSERT(figures.restore_delays.back() <= options.bound);
    CPPUNIT_ASSERT(figures.listing_hosts > 0);
    CPPUNIT_ASSERT(figures.max_listing_calls <= options.pages);
    // The answer that shows the era, the listing and the watch.
    CPPUNIT_ASSERT(figures.max_calls_until_watch <= 1 + options.pages + 1);
    return figures;
  }
  static PublishingModel::Figures RunPhase(
      PublishingModel::Options options, absl::Duration changes,
      const std::function<void(PublishingModel&)>& prepare) {
    options.change_period = changes;
    PublishingModel model(options, kSeed);
    CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kWarmUp));
    prepare(model);
    model.StartMeasuring();
    CPPUNIT_ASSERT_EQUAL(std::string(), model.Run(kPhase));
    return model.Measured();
  }
  static int MaxCalls(const PublishingModel::Options& options,
                      absl::Duration changes,
                      const std::function<void(PublishingModel&)>& prepare) {
    return RunPhase(options, changes, prepare).max_calls_in_a_second;
  }
  static void CheckProofs(const PublishingModel::Options& of_fleet,
                          int max_hosts) {
    CPPUNIT_ASSERT(rc::check("proofs under any faults", [&] {
      PublishingModel::Options options = WithFaults(of_fleet);
      options.freezes = false;
      options.domains = *rc::gen::inRange<size_t>(1, 4);
      options.hosts = *rc::gen::inRange(1, max_hosts + 1);
      options.change_period = absl::Milliseconds(*rc::gen::inRange(100, 3000));
      PublishingModel model(options, *rc::gen::arbitrary<uint32_t>());
      RC_ASSERT(model.Run(absl::Seconds(40)) == "");
    }));
  }
  static std::string RunWithSilentWatches(
      const PublishingModel::Options& options) {
    PublishingModel model(options, kSeed);
    std::string violation = model.Run(kWarmUp);
    model.CutAll(PublishingModel::Cut::kTransfers, kSilentWatches * kSecond);
    for (int i = 0; i < kSilentWatches && violation.empty(); ++i) {
      violation = model.Run(kSecond);
      model.SilenceWatch(static_cast<size_t>(i % options.hosts));
    }
    return violation;
  }
  static std::string RunWithTricklingResponses(
      const PublishingModel::Options& options, bool cuts_transfers) {
    PublishingModel model(options, kSeed);
    std::string violation = model.Run(kWarmUp);
    if (cuts_transfers) {
      model.CutAll(PublishingModel::Cut::kTransfers, kSilentWatches * kSecond);
    }
    for (int i = 0; i < kSilentWatches && violation.empty(); ++i) {
      violation = model.Run(kSecond);
      model.TrickleResponse(static_cast<size_t>(i % options.hosts));
    }
    return violation;
  }
  /// @return fleets of which each host watches the store, and others.
  static std::vector<PublishingModel::Options> SlowPaths() {
    std::vector<PublishingModel::Options> fleets = {
        PublishingModel::Options(), WithoutAllowance(), ManyHosts()};
    fleets.front().target = kTargetOfTwoFailures;
    for (PublishingModel::Options& options : fleets) {
      options.lateness = kSlowPath;
    }
    return fleets;
  }
  /// @param period for how long paths are slow, and then for how long not.
  static std::string RunWithSlowPaths(const PublishingModel::Options& options,
                                      absl::Duration period) {
    const auto seeds = static_cast<uint32_t>(options.hosts >= ManyHosts().hosts
                                                 ? kSeedsOfManyHostsInCi
                                                 : kSeedsInCi);
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
      PublishingModel model(options, seed);
      std::string violation = model.Run(kWarmUp);
      for (absl::Duration time; time < kRunTime && violation.empty();
           time += 2 * period) {
        model.DelayStore(period);
        violation = model.Run(2 * period);
      }
      if (!violation.empty()) {
        return "seed " + std::to_string(seed) + ": " + violation;
      }
    }
    return "";
  }
  static std::string RunWithLateLinks(const PublishingModel::Options& options) {
    for (uint32_t seed = 1; seed <= kLateSeeds; ++seed) {
      PublishingModel model(options, seed);
      std::string violation = model.Run(kWarmUp);
      model.DelayAllLinks(kRunTime);
      if (violation.empty()) violation = model.Run(kRunTime);
      if (!violation.empty()) return violation;
    }
    return "";
  }
  static std::string RunWithCutReaders(PublishingModel::Options options) {
    PublishingModel model(options, kSeed);
    const std::string violation = model.Run(kWarmUp);
    if (!violation.empty()) return "before the cut: " + violation;
    model.CutReaders(PublishingModel::Cut::kTransfers, kRunTime);
    return model.Run(kRunTime);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishingModelTest);

}  // namespace cherrydyke
