#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "load_model.h"

namespace cherrydyke {
namespace {

constexpr int kSeeds = 3;

LoadResult Play(const LoadScenario& scenario, LoadPolicy policy,
                const std::string& name) {
  LoadResult sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const LoadResult one =
        SimulateLoad(scenario, policy, static_cast<uint32_t>(seed));
    sum.requests += one.requests;
    sum.in_goal += one.in_goal;
    sum.in_goal_after_retry += one.in_goal_after_retry;
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
            << ": credit " << sum.CreditShare() << ", in goal "
            << part(sum.in_goal) << ", late " << part(sum.late) << ", refused "
            << part(sum.refused) << ", failed " << part(sum.failed)
            << ", mean ms " << sum.MeanMs() << ", extra " << sum.ExtraShare()
            << "\n";
  return sum;
}

}  // namespace

/// Plays the loads of heavy days against the decisions and against a naive
/// policy. What counts is what callers get.
class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(PausesAreHedgedAway);
  CPPUNIT_TEST(DarkShardIsLeftOutAtOnce);
  CPPUNIT_TEST(HopelessRequestsAreRefusedAtOnce);
  CPPUNIT_TEST(SlowReplicasAreAvoided);
  CPPUNIT_TEST(SheddingReplicasAreAvoidedWithinTheBudget);
  CPPUNIT_TEST(ScarceRetriesGoWhereTheyCompleteAnAnswer);
  CPPUNIT_TEST(OverloadIsServedUpToWhatTargetsBear);
  CPPUNIT_TEST(LimitCostsNothingBelowWhatTargetsBear);
  CPPUNIT_TEST(RefusedCallersReturnWhenTheyCanBeServed);
  CPPUNIT_TEST(ShortBurstIsServedOverOneConnection);
  CPPUNIT_TEST(LostAnswersAreAvoidedByAllHostsOfALargeFleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PausesAreHedgedAway() {
    const auto [tier, naive] = Compare({}, "pauses");
    CPPUNIT_ASSERT(tier.CreditShare() > 0.97);
    CPPUNIT_ASSERT(tier.CreditShare() > naive.CreditShare());
    CPPUNIT_ASSERT(tier.ExtraShare() < 0.2);
  }

  void DarkShardIsLeftOutAtOnce() {
    LoadScenario scenario;
    scenario.unresponsive_shards = {3};
    const auto [tier, naive] = Compare(scenario, "one shard dark");
    // Nine of ten parts earn 0.81 at most.
    CPPUNIT_ASSERT(tier.CreditShare() > 0.9 * 0.81);
    CPPUNIT_ASSERT(naive.CreditShare() < 0.1);
    CPPUNIT_ASSERT(tier.MeanMs() < 100);
  }

  void HopelessRequestsAreRefusedAtOnce() {
    LoadScenario scenario;
    scenario.unresponsive_shards = {3, 7};
    const auto [tier, naive] = Compare(scenario, "two shards dark");
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
    scenario.shed = 0.6;
    const auto [tier, naive] = Compare(scenario, "two of three shed");
    CPPUNIT_ASSERT(tier.CreditShare() > naive.CreditShare());
    CPPUNIT_ASSERT(tier.ExtraShare() < 0.25);
  }

  void ScarceRetriesGoWhereTheyCompleteAnAnswer() {
    LoadScenario scenario;
    scenario.shed = 0.3;
    scenario.shedding_replicas = 3;
    const auto [tier, naive] = Compare(scenario, "all replicas shed");
    CPPUNIT_ASSERT(tier.CreditShare() > 0.4);
    CPPUNIT_ASSERT(tier.ExtraShare() < 0.25);
  }

  void OverloadIsServedUpToWhatTargetsBear() {
    for (const double rate : {900.0, 1200.0}) {
      LoadScenario scenario;
      scenario.rate = rate;
      scenario.length = absl::Seconds(10);
      const std::string name = "overload " + std::to_string(rate);
      const auto [tier, naive] = Compare(scenario, name);
      scenario.concurrency_limit = false;
      const LoadResult queued =
          Play(scenario, LoadPolicy::kTier, name + " without limit");
      const double borne = scenario.replicas * scenario.slots /
                           absl::ToDoubleSeconds(scenario.work) / rate;
      CPPUNIT_ASSERT(InGoal(tier) > 0.8 * borne);
      CPPUNIT_ASSERT(InGoal(tier) > 2 * InGoal(queued));
      CPPUNIT_ASSERT(InGoal(tier) > 2 * InGoal(naive));
      // What was accepted is not given up for want of room at a second target.
      CPPUNIT_ASSERT(tier.failed < 0.001 * tier.requests);
      // Refusals are given at once.
      CPPUNIT_ASSERT(tier.MeanMs() < absl::ToDoubleMilliseconds(scenario.goal));
    }
  }

  void LimitCostsNothingBelowWhatTargetsBear() {
    for (const double rate : {150.0, 450.0, 600.0}) {
      LoadScenario scenario;
      scenario.rate = rate;
      scenario.length = absl::Seconds(10);
      const std::string name = "rate " + std::to_string(rate);
      const LoadResult limited = Play(scenario, LoadPolicy::kTier, name);
      scenario.concurrency_limit = false;
      const LoadResult queued =
          Play(scenario, LoadPolicy::kTier, name + " without limit");
      CPPUNIT_ASSERT(InGoal(limited) >= InGoal(queued) - 0.005);
    }
  }

  void RefusedCallersReturnWhenTheyCanBeServed() {
    LoadScenario scenario;
    scenario.rate = 300;
    scenario.burst_rate = 1400;
    scenario.burst_length = absl::Seconds(1);
    scenario.length = absl::Seconds(10);
    const LoadResult gone = Play(scenario, LoadPolicy::kTier, "none returns");
    scenario.callers_retry = true;
    const LoadResult scheduled =
        Play(scenario, LoadPolicy::kTier, "burst, returns by the backlog");
    scenario.schedule_retries = false;
    const LoadResult at_once =
        Play(scenario, LoadPolicy::kTier, "burst, returns after 0.1 to 0.3 s");
    CPPUNIT_ASSERT(InGoal(scheduled) > InGoal(at_once));
    CPPUNIT_ASSERT(InGoal(scheduled) > InGoal(gone));
    CPPUNIT_ASSERT(scheduled.refused < at_once.refused);
  }

  void LostAnswersAreAvoidedByAllHostsOfALargeFleet() {
    // The grown deployment: each host asks each shard twice a second, and two
    // of three replicas lose two answers of five.
    LoadScenario scenario = LargeFleet();
    scenario.lost = 0.4;
    const LoadResult told =
        Play(scenario, LoadPolicy::kTier, "lost answers, hosts tell");
    scenario.hosts_gossip = false;
    const LoadResult alone =
        Play(scenario, LoadPolicy::kTier, "lost answers, hosts learn alone");
    CPPUNIT_ASSERT(told.failed < 0.5 * alone.failed);
    CPPUNIT_ASSERT(told.CreditShare() > alone.CreditShare());
  }

  void ShortBurstIsServedOverOneConnection() {
    // All hosts have just started and know few others: one connection to each
    // target, and callers who waited come at once.
    LoadScenario scenario;
    scenario.connections = 1;
    scenario.burst_rate = 600;
    scenario.burst_length = absl::Milliseconds(200);
    scenario.length = absl::Seconds(4);
    const LoadResult limited =
        Play(scenario, LoadPolicy::kTier, "short burst, one connection");
    scenario.concurrency_limit = false;
    const LoadResult queued =
        Play(scenario, LoadPolicy::kTier, "the same without limit");
    CPPUNIT_ASSERT(limited.refused < 0.005 * limited.requests);
    CPPUNIT_ASSERT(InGoal(limited) > InGoal(queued) - 0.01);
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
    scenario.goal = absl::Milliseconds(200);
    scenario.length = absl::Seconds(5);
    return scenario;
  }

  static double InGoal(const LoadResult& result) {
    return static_cast<double>(result.in_goal) / result.requests;
  }

  static std::pair<LoadResult, LoadResult> Compare(const LoadScenario& scenario,
                                                   const std::string& name) {
    return {Play(scenario, LoadPolicy::kTier, name),
            Play(scenario, LoadPolicy::kNaive, name)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace cherrydyke
