#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <random>

#include "dispatch/cold_send_limiter.h"
#include "dispatch/retry_budget.h"
#include "membership/fleet_shares.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kLongAgo = kStart - absl::Hours(1);

FleetLimits Bounds() {
  FleetLimits bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_window = absl::Seconds(10);
  bounds.retry_slack = 54;
  bounds.warmup_overage = 1.5;
  bounds.warmup_slack = 5;
  return bounds;
}

}  // namespace

class FleetLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLimitsTest);
  CPPUNIT_TEST(ExtraSendsOfTheFleetStayWithinTheBudget);
  CPPUNIT_TEST(OptionalSendsLeaveBudgetForRequiredOnes);
  CPPUNIT_TEST(SlackIsNotAvailableInTheFirstWindow);
  CPPUNIT_TEST(SharesAddUpToTheTotal);
  CPPUNIT_TEST(ColdSendsInAnySecondStayWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExtraSendsOfTheFleetStayWithinTheBudget() {
    CPPUNIT_ASSERT(rc::check("sum of extra sends in any window", [] {
      const int hosts = *rc::gen::inRange(1, 12);
      std::vector<RetryBudget> fleet(hosts, RetryBudget(Bounds(), kLongAgo));
      for (RetryBudget& budget : fleet) budget.SetHostCount(hosts);
      std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
      std::deque<absl::Time> requests;
      std::deque<absl::Time> extra_sends;
      absl::Time now = kStart;
      for (int step = 0; step < 4000; ++step) {
        now += absl::Milliseconds(random() % 20);
        RetryBudget& budget = fleet[random() % fleet.size()];
        if (random() % 3 == 0) {
          budget.OnRequest("s", now);
          requests.push_back(now);
        } else if (budget.TryAcquire("s", RetryPriority::kRequired, now)) {
          extra_sends.push_back(now);
        }
        const absl::Time begin = now - absl::Seconds(10);
        while (!requests.empty() && requests.front() < begin) {
          requests.pop_front();
        }
        while (!extra_sends.empty() && extra_sends.front() < begin)
          extra_sends.pop_front();
        RC_ASSERT(static_cast<double>(extra_sends.size()) <=
                  0.2 * static_cast<double>(requests.size()) + 54);
      }
    }));
  }

  void OptionalSendsLeaveBudgetForRequiredOnes() {
    RetryBudget budget(Bounds(), kLongAgo);
    while (budget.TryAcquire("s", RetryPriority::kOptional, kStart)) {
    }
    CPPUNIT_ASSERT(budget.TryAcquire("s", RetryPriority::kRequired, kStart));
  }

  void SlackIsNotAvailableInTheFirstWindow() {
    RetryBudget budget(Bounds(), kStart);
    CPPUNIT_ASSERT(!budget.TryAcquire("s", RetryPriority::kRequired, kStart));
    const absl::Time last = kStart + absl::Milliseconds(9900);
    CPPUNIT_ASSERT(!budget.TryAcquire("s", RetryPriority::kRequired, last));
    // Half of the ratio of the host's own requests is available from the start.
    for (int i = 0; i < 20; ++i) budget.OnRequest("s", last);
    CPPUNIT_ASSERT(budget.TryAcquire("s", RetryPriority::kRequired, last));
    CPPUNIT_ASSERT(!budget.TryAcquire("s", RetryPriority::kRequired, last));
    CPPUNIT_ASSERT(budget.TryAcquire("s", RetryPriority::kRequired,
                                     kStart + absl::Seconds(10)));
  }

  void SharesAddUpToTheTotal() {
    CPPUNIT_ASSERT(rc::check("sum of shares", [] {
      const int total = *rc::gen::inRange(0, 60);
      const int hosts = *rc::gen::inRange(1, 90);
      int sum = 0;
      for (int rank = 0; rank < hosts; ++rank) {
        sum += DivideShare(total + 0.9, hosts, rank);
      }
      RC_ASSERT(sum == total);
    }));
  }

  void ColdSendsInAnySecondStayWithinTheLimit() {
    CPPUNIT_ASSERT(rc::check("sends in any second", [] {
      const int hosts = *rc::gen::inRange(1, 10);
      std::vector<ColdSendLimiter> fleet(hosts);
      std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
      std::deque<absl::Time> sends;
      absl::Time now = kStart;
      for (int step = 0; step < 2000; ++step) {
        now += absl::Milliseconds(random() % 30);
        const size_t host = random() % hosts;
        const int quota = DivideShare(9, hosts, host);
        if (!fleet[host].MaySend(quota, now)) continue;
        fleet[host].OnSent(now);
        sends.push_back(now);
        while (sends.front() <= now - absl::Seconds(1)) sends.pop_front();
        RC_ASSERT(sends.size() <= 9U);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLimitsTest);

}  // namespace cherrydyke
