#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "load_model.h"

namespace cherrydyke {
namespace {

constexpr int kSeeds = 3;

LoadResult SimulateSeeds(const LoadScenario& scenario, LoadPolicy policy,
                         const std::string& name) {
  LoadResult sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const LoadResult one =
        SimulateLoad(scenario, policy, static_cast<uint32_t>(seed));
    sum.requests += one.requests;
    sum.in_time += one.in_time;
    sum.in_time_after_retry += one.in_time_after_retry;
    sum.credit += one.credit;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.total_ms += one.total_ms;
    sum.first_sends += one.first_sends;
    sum.extra_sends += one.extra_sends;
  }
  const auto part = [&](int count) {
    return static_cast<double>(count) / sum.requests;
  };
  std::cerr << name << (policy == LoadPolicy::kTier ? " tier " : " naive")
            << ": credit " << sum.CreditShare() << ", in time "
            << part(sum.in_time) << ", late " << part(sum.late) << ", refused "
            << part(sum.refused) << ", failed " << part(sum.failed)
            << ", mean ms " << sum.MeanMs() << ", extra " << sum.ExtraShare()
            << "\n";
  return sum;
}

}  // namespace

/// Compares the algorithms of this library with a naive policy in simulations
/// of faults and overload, by the answers that callers get.
class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(PausesAreHedged);
  CPPUNIT_TEST(UnresponsiveShardIsLeftOut);
  CPPUNIT_TEST(RequestsWithoutEnoughShardsAreRefused);
  CPPUNIT_TEST(SlowReplicasAreAvoided);
  CPPUNIT_TEST(SheddingReplicasAreAvoidedWithinTheBudget);
  CPPUNIT_TEST(RetriesPreferRequestsThatTheyComplete);
  CPPUNIT_TEST(OverloadIsServedUpToTargetCapacity);
  CPPUNIT_TEST(LimitIsNeutralBelowTargetCapacity);
  CPPUNIT_TEST(ScheduledRetriesOfRefusedCallersAreServed);
  CPPUNIT_TEST(ShortBurstIsServedOverOneConnection);
  CPPUNIT_TEST(GossipAvoidsLostAnswersInALargeFleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PausesAreHedged() {
    const auto [tier, naive] = Compare({}, "pauses");
    CPPUNIT_ASSERT(tier.CreditShare() > 0.97);
    CPPUNIT_ASSERT(tier.CreditShare() > naive.CreditShare());
    CPPUNIT_ASSERT(tier.ExtraShare() < 0.2);
  }

  void UnresponsiveShardIsLeftOut() {
    LoadScenario scenario;
    scenario.unresponsive_shards = {3};
    const auto [tier, naive] = Compare(scenario, "one unresponsive shard");
    // Nine of ten parts give a squared coverage of 0.81.
    CPPUNIT_ASSERT(tier.CreditShare() > 0.9 * 0.81);
    CPPUNIT_ASSERT(naive.CreditShare() < 0.1);
    CPPUNIT_ASSERT(tier.MeanMs() < 100);
  }

  void RequestsWithoutEnoughShardsAreRefused() {
    LoadScenario scenario;
    scenario.unresponsive_shards = {3, 7};
    const auto [tier, naive] = Compare(scenario, "two unresponsive shards");
    CPPUNIT_ASSERT(tier.refused > 0.7 * tier.requests);
    CPPUNIT_ASSERT(tier.MeanMs() < 0.3 * naive.MeanMs());
  }

  void SlowReplicasAreAvoided() {
    LoadScenario scenario;
    scenario.slow_factor = 10;
    const auto [tier, naive] = Compare(scenario, "slow replicas");
    CPPUNIT_ASSERT(tier.CreditShare() > 0.9);
    CPPUNIT_ASSERT(tier.CreditShare() > naive.CreditShare() + 0.2);
  }

  void SheddingReplicasAreAvoidedWithinTheBudget() {
    LoadScenario scenario;
    scenario.rejection_rate = 0.6;
    const auto [tier, naive] =
        Compare(scenario, "two of three replicas reject");
    CPPUNIT_ASSERT(tier.CreditShare() > naive.CreditShare());
    CPPUNIT_ASSERT(tier.ExtraShare() < 0.25);
  }

  void RetriesPreferRequestsThatTheyComplete() {
    LoadScenario scenario;
    scenario.rejection_rate = 0.3;
    scenario.rejecting_replicas = 3;
    const auto [tier, naive] = Compare(scenario, "all replicas reject");
    CPPUNIT_ASSERT(tier.CreditShare() > 0.4);
    CPPUNIT_ASSERT(tier.ExtraShare() < 0.25);
  }

  void OverloadIsServedUpToTargetCapacity() {
    for (const double rate : {900.0, 1200.0}) {
      LoadScenario scenario;
      scenario.rate = rate;
      scenario.duration = absl::Seconds(10);
      const std::string name = "overload " + std::to_string(rate);
      const auto [tier, naive] = Compare(scenario, name);
      scenario.concurrency_limit = false;
      const LoadResult queued =
          SimulateSeeds(scenario, LoadPolicy::kTier, name + " without limit");
      const double capacity_share = scenario.replicas * scenario.slots /
                                    absl::ToDoubleSeconds(scenario.work) / rate;
      CPPUNIT_ASSERT(InTimeShare(tier) > 0.8 * capacity_share);
      CPPUNIT_ASSERT(InTimeShare(tier) > 2 * InTimeShare(queued));
      CPPUNIT_ASSERT(InTimeShare(tier) > 2 * InTimeShare(naive));
      // Accepted requests do not fail because a second target is at its limit.
      CPPUNIT_ASSERT(tier.failed < 0.001 * tier.requests);
      // Refusals are immediate.
      CPPUNIT_ASSERT(tier.MeanMs() <
                     absl::ToDoubleMilliseconds(scenario.latency_objective));
    }
  }

  void LimitIsNeutralBelowTargetCapacity() {
    for (const double rate : {150.0, 450.0, 600.0}) {
      LoadScenario scenario;
      scenario.rate = rate;
      scenario.duration = absl::Seconds(10);
      const std::string name = "rate " + std::to_string(rate);
      const LoadResult limited =
          SimulateSeeds(scenario, LoadPolicy::kTier, name);
      scenario.concurrency_limit = false;
      const LoadResult queued =
          SimulateSeeds(scenario, LoadPolicy::kTier, name + " without limit");
      CPPUNIT_ASSERT(InTimeShare(limited) >= InTimeShare(queued) - 0.005);
    }
  }

  void ScheduledRetriesOfRefusedCallersAreServed() {
    LoadScenario scenario;
    scenario.rate = 300;
    scenario.burst_rate = 1400;
    scenario.burst_duration = absl::Seconds(1);
    scenario.duration = absl::Seconds(10);
    const LoadResult no_retries =
        SimulateSeeds(scenario, LoadPolicy::kTier, "burst, no retries");
    scenario.callers_retry = true;
    const LoadResult scheduled =
        SimulateSeeds(scenario, LoadPolicy::kTier, "burst, scheduled retries");
    scenario.schedule_retries = false;
    const LoadResult unscheduled = SimulateSeeds(
        scenario, LoadPolicy::kTier, "burst, retries after 0.1 to 0.3 s");
    CPPUNIT_ASSERT(InTimeShare(scheduled) > InTimeShare(unscheduled));
    CPPUNIT_ASSERT(InTimeShare(scheduled) > InTimeShare(no_retries));
    CPPUNIT_ASSERT(scheduled.refused < unscheduled.refused);
  }

  void GossipAvoidsLostAnswersInALargeFleet() {
    // Large deployment: each host sends about two requests per second to each
    // shard, and two of three replicas lose 40 % of their answers.
    LoadScenario scenario = LargeFleet();
    scenario.loss_rate = 0.4;
    const LoadResult with_gossip =
        SimulateSeeds(scenario, LoadPolicy::kTier, "lost answers, with gossip");
    scenario.hosts_gossip = false;
    const LoadResult without_gossip = SimulateSeeds(
        scenario, LoadPolicy::kTier, "lost answers, without gossip");
    CPPUNIT_ASSERT(with_gossip.failed < 0.5 * without_gossip.failed);
    CPPUNIT_ASSERT(with_gossip.CreditShare() > without_gossip.CreditShare());
  }

  void ShortBurstIsServedOverOneConnection() {
    // Just after the start of all hosts: each has one connection to each
    // target, and waiting callers send their requests at once.
    LoadScenario scenario;
    scenario.connections = 1;
    scenario.burst_rate = 600;
    scenario.burst_duration = absl::Milliseconds(200);
    scenario.duration = absl::Seconds(4);
    const LoadResult limited = SimulateSeeds(scenario, LoadPolicy::kTier,
                                             "short burst, one connection");
    scenario.concurrency_limit = false;
    const LoadResult queued = SimulateSeeds(scenario, LoadPolicy::kTier,
                                            "short burst, without limit");
    CPPUNIT_ASSERT(limited.refused < 0.005 * limited.requests);
    CPPUNIT_ASSERT(InTimeShare(limited) > InTimeShare(queued) - 0.01);
  }

 private:
  static LoadScenario LargeFleet() {
    LoadScenario scenario;
    scenario.hosts = 81;
    scenario.shards = 36;
    scenario.needed = 35;
    scenario.slots = 4;
    scenario.connections = 1;
    scenario.rate = 180;
    scenario.latency_objective = absl::Milliseconds(200);
    scenario.duration = absl::Seconds(5);
    return scenario;
  }

  static double InTimeShare(const LoadResult& result) {
    return static_cast<double>(result.in_time) / result.requests;
  }

  static std::pair<LoadResult, LoadResult> Compare(const LoadScenario& scenario,
                                                   const std::string& name) {
    return {SimulateSeeds(scenario, LoadPolicy::kTier, name),
            SimulateSeeds(scenario, LoadPolicy::kNaive, name)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace cherrydyke
