#include "engine/connection_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <vector>

namespace cherrydyke::engine {

class ConnectionBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
  CPPUNIT_TEST(ChoosesNothingWithinTheLimits);
  CPPUNIT_TEST(ChoosesThoseThatHoldMost);
  CPPUNIT_TEST(ChoosesThoseThatHoldForLongest);
  CPPUNIT_TEST(RunningRequestsAreNeverChosen);
  CPPUNIT_TEST(ThoseThatHoldNoMoreThanTheirShareAreNotChosen);
  CPPUNIT_TEST(ClosesSlowRequestsBeforeIdleConnections);
  CPPUNIT_TEST(ANewConnectionIsKeptWhileOlderOnesAreIdle);
  CPPUNIT_TEST(AccountFollowsChangesAndRemovals);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChoosesNothingWithinTheLimits() {
    Update(1, Stage::kReceiving, kMaxBytes);
    CPPUNIT_ASSERT(!budget_.HasTooManyBytes());
    for (uint64_t id = 2; id <= kMaxConnections; ++id) Update(id, Stage::kIdle);
    CPPUNIT_ASSERT(!budget_.HasTooManyConnections());
  }

  void ChoosesThoseThatHoldMost() {
    Update(1, Stage::kReceiving, 300);
    Update(2, Stage::kSending, 600);
    Update(3, Stage::kReceiving, 400);
    CPPUNIT_ASSERT(budget_.HasTooManyBytes());
    CPPUNIT_ASSERT(budget_.ChooseByBytes(now_) == Ids{2});
  }

  void ChoosesThoseThatHoldForLongest() {
    Update(1, Stage::kReceiving, 600, absl::Milliseconds(10));
    Update(2, Stage::kReceiving, 300, absl::Seconds(10));
    Update(3, Stage::kReceiving, 300, absl::Seconds(9));
    CPPUNIT_ASSERT(budget_.ChooseByBytes(now_) == Ids{2});
  }

  void RunningRequestsAreNeverChosen() {
    Update(1, Stage::kRunning, 2 * kMaxBytes, absl::Seconds(10));
    Update(2, Stage::kReceiving, 100);
    Update(3, Stage::kIdle, 100);
    CPPUNIT_ASSERT((budget_.ChooseByBytes(now_) == Ids{2}));
    for (uint64_t id = 1; id <= 2 * kMaxConnections; ++id) {
      Update(id, Stage::kRunning);
    }
    CPPUNIT_ASSERT(budget_.HasTooManyConnections());
    CPPUNIT_ASSERT(budget_.ChooseByAge(now_).empty());
  }

  void ThoseThatHoldNoMoreThanTheirShareAreNotChosen() {
    constexpr size_t kShare = kMaxBytes / kMaxConnections;
    Update(1, Stage::kRunning, 2 * kMaxBytes);
    Update(2, Stage::kReceiving, kShare, absl::Seconds(10));
    Update(3, Stage::kSending, kShare, absl::Seconds(10));
    Update(4, Stage::kReceiving, kShare + 1);
    CPPUNIT_ASSERT(budget_.ChooseByBytes(now_) == Ids{4});
  }

  void ClosesSlowRequestsBeforeIdleConnections() {
    for (uint64_t id = 1; id <= kMaxConnections; ++id) {
      Update(id, Stage::kIdle, 0, absl::Seconds(14) - absl::Milliseconds(id));
    }
    Update(100, Stage::kReceiving, 0, absl::Seconds(2));
    Update(101, Stage::kSending, 0, absl::Seconds(3));
    CPPUNIT_ASSERT(budget_.HasTooManyConnections());
    const Ids chosen = budget_.ChooseByAge(now_);
    CPPUNIT_ASSERT(chosen.size() > 2);
    CPPUNIT_ASSERT(
        (Ids(chosen.begin(), chosen.begin() + 3) == Ids{101, 100, 1}));
  }

  void ANewConnectionIsKeptWhileOlderOnesAreIdle() {
    for (uint64_t id = 1; id <= kMaxConnections; ++id) {
      Update(id, Stage::kIdle, 0, absl::Milliseconds(id));
    }
    Update(100, Stage::kIdle);
    const Ids chosen = budget_.ChooseByAge(now_);
    CPPUNIT_ASSERT(!chosen.empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{kMaxConnections}, chosen.front());
    for (const uint64_t id : chosen) CPPUNIT_ASSERT(id != 100);
  }

  void AccountFollowsChangesAndRemovals() {
    Update(1, Stage::kReceiving, 700);
    Update(2, Stage::kReceiving, 700);
    CPPUNIT_ASSERT(budget_.HasTooManyBytes());
    Update(1, Stage::kSending, 50);
    CPPUNIT_ASSERT_EQUAL(size_t{750}, budget_.bytes());
    budget_.Remove(2);
    budget_.Remove(2);
    CPPUNIT_ASSERT_EQUAL(size_t{50}, budget_.bytes());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, budget_.connections());
  }

 private:
  using Stage = HeldConnection::Stage;
  using Ids = std::vector<uint64_t>;
  static constexpr size_t kMaxBytes = 1000;
  static constexpr size_t kMaxConnections = 32;

  void Update(uint64_t id, Stage stage, size_t bytes = 0,
              absl::Duration age = absl::ZeroDuration()) {
    HeldConnection connection;
    connection.id = id;
    connection.stage = stage;
    connection.bytes = bytes;
    connection.since = now_ - age;
    budget_.Update(connection);
  }

  const absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  ConnectionBudget budget_{{kMaxBytes, kMaxConnections}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

}  // namespace cherrydyke::engine
