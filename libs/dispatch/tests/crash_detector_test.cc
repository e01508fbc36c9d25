#include "dispatch/crash_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace cherrydyke {
namespace {

const absl::Time kSent = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kLost = kSent + absl::Milliseconds(20);
const absl::Time kAbandoned = kSent + absl::Seconds(1);

}  // namespace

class CrashDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashDetectorTest);
  CPPUNIT_TEST(RefusedConnectionIsACrashIfThePathStillWorks);
  CPPUNIT_TEST(RefusedConnectionWhileAllTargetsAreLostIsNoCrash);
  CPPUNIT_TEST(RefusedConnectionBesideAnOpenOneIsNoCrash);
  CPPUNIT_TEST(ProcessThatAcceptsAfterItRefusedHasRestarted);
  CPPUNIT_TEST(TimeoutIsACrashOnlyIfThePathWorks);
  CPPUNIT_TEST(TimeoutBeforeTheAttemptWasAbandonedIsEnough);
  CPPUNIT_TEST(SilentConnectionIsNoSignOfLife);
  CPPUNIT_TEST(RequestSentToSilentTargetIsNotBlamed);
  CPPUNIT_TEST(ResponsiveTargetSurvived);
  CPPUNIT_TEST(LaterCrashIsNotBlamedOnLostAnswers);
  CPPUNIT_TEST(RestartedProcessIsACrash);
  CPPUNIT_TEST(AnnouncedShutdownIsNoCrash);
  CPPUNIT_TEST(RemovedTargetThatStillRespondsSurvived);
  CPPUNIT_TEST(InstanceListedAgainCanCrash);
  CPPUNIT_TEST(UndecidedAttemptsExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusedConnectionIsACrashIfThePathStillWorks() {
    Lose(AttemptLoss::kConnectionLost, kLost);
    CPPUNIT_ASSERT(detector_.NeedsProbe());
    detector_.OnConnectFailed(true, false, kLost + absl::Milliseconds(1));
    detector_.OnPoll(false, true, kLost + absl::Milliseconds(100));
    CPPUNIT_ASSERT(verdicts_.empty());
    detector_.OnPoll(false, true, kLost + absl::Milliseconds(101));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void RefusedConnectionWhileAllTargetsAreLostIsNoCrash() {
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnConnectFailed(true, true, kLost + absl::Milliseconds(1));
    detector_.OnPoll(false, false, kLost + absl::Milliseconds(150));
    CPPUNIT_ASSERT(detector_.NeedsProbe());
    // The path is back: the earlier refusal proves nothing.
    detector_.OnPoll(false, true, kLost + absl::Milliseconds(300));
    CPPUNIT_ASSERT(verdicts_.empty());
    detector_.OnConnected(kLost + absl::Milliseconds(301));
    detector_.OnPoll(true, true, kLost + absl::Milliseconds(450));
    detector_.OnPoll(true, true, kLost + absl::Seconds(6));
    CheckVerdict(CrashVerdict::kSurvived);
  }

  // A partition can refuse new connections and leave the open ones.
  void RefusedConnectionBesideAnOpenOneIsNoCrash() {
    detector_.OnConnected(kSent);
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnConnectFailed(true, true, kLost + absl::Milliseconds(1));
    detector_.OnPoll(true, true, kLost + absl::Milliseconds(150));
    detector_.OnPoll(true, true, kLost + absl::Seconds(6));
    CheckVerdict(CrashVerdict::kSurvived);
  }

  void ProcessThatAcceptsAfterItRefusedHasRestarted() {
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnConnectFailed(true, true, kLost + absl::Milliseconds(1));
    detector_.OnConnected(kLost + absl::Milliseconds(50));
    detector_.OnPoll(true, true, kLost + absl::Milliseconds(150));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void TimeoutIsACrashOnlyIfThePathWorks() {
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    detector_.OnConnectFailed(false, false, kAbandoned + absl::Seconds(1));
    CPPUNIT_ASSERT(verdicts_.empty());
    detector_.OnConnectFailed(false, true, kAbandoned + absl::Seconds(2));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void TimeoutBeforeTheAttemptWasAbandonedIsEnough() {
    detector_.OnConnectFailed(false, true, kAbandoned - absl::Milliseconds(1));
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void SilentConnectionIsNoSignOfLife() {
    detector_.OnConnected(kSent);
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    detector_.OnPoll(true, true, kAbandoned + absl::Seconds(1));
    CPPUNIT_ASSERT(detector_.NeedsProbe());
    detector_.OnConnectFailed(false, true, kAbandoned + absl::Seconds(1));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void RequestSentToSilentTargetIsNotBlamed() {
    silent_since_ = kSent - absl::Milliseconds(1500);
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    CheckVerdict(CrashVerdict::kUnexplained);
    silent_since_ = kSent - absl::Milliseconds(500);
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    detector_.OnConnectFailed(false, true, kAbandoned + absl::Seconds(1));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void ResponsiveTargetSurvived() {
    detector_.OnResponse(kAbandoned - absl::Milliseconds(100));
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    CheckVerdict(CrashVerdict::kSurvived);
    Lose(AttemptLoss::kConnectionLost, kAbandoned);
    // It may have been sent before the connection was lost.
    detector_.OnResponse(kAbandoned + absl::Milliseconds(1));
    CPPUNIT_ASSERT(verdicts_.empty());
    detector_.OnResponse(kAbandoned + absl::Milliseconds(200));
    CheckVerdict(CrashVerdict::kSurvived);
  }

  void LaterCrashIsNotBlamedOnLostAnswers() {
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnConnected(kLost + absl::Milliseconds(1));
    detector_.OnPoll(true, true, kLost + absl::Milliseconds(150));
    CPPUNIT_ASSERT(!detector_.NeedsProbe());
    detector_.OnConnectFailed(true, true, kLost + absl::Seconds(1));
    CPPUNIT_ASSERT(verdicts_.empty());
    detector_.OnInstanceEnded(false, false, kLost + absl::Seconds(3));
    CheckVerdict(CrashVerdict::kUnexplained);
  }

  void RestartedProcessIsACrash() {
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnConnected(kLost + absl::Milliseconds(1));
    detector_.OnPoll(true, true, kLost + absl::Milliseconds(150));
    detector_.OnInstanceEnded(false, true, kLost + absl::Seconds(1));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void AnnouncedShutdownIsNoCrash() {
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnInstanceEnded(true, false, kLost + absl::Seconds(1));
    CheckVerdict(CrashVerdict::kUnexplained);
  }

  void RemovedTargetThatStillRespondsSurvived() {
    detector_.OnInstanceEnded(false, true, kSent);
    detector_.OnResponse(kSent + absl::Milliseconds(5));
    Lose(AttemptLoss::kConnectionLost, kLost);
    CheckVerdict(CrashVerdict::kSurvived);
  }

  void InstanceListedAgainCanCrash() {
    detector_.OnInstanceEnded(false, true, kSent - absl::Seconds(2));
    detector_.OnListedAgain();
    detector_.OnResponse(kSent - absl::Seconds(1));
    Lose(AttemptLoss::kConnectionLost, kLost);
    detector_.OnConnectFailed(true, true, kLost + absl::Milliseconds(1));
    detector_.OnPoll(false, true, kLost + absl::Milliseconds(150));
    CheckVerdict(CrashVerdict::kCrashed);
  }

  void UndecidedAttemptsExpire() {
    Lose(AttemptLoss::kAbandoned, kAbandoned);
    detector_.OnPoll(false, true, kAbandoned + absl::Seconds(5));
    CPPUNIT_ASSERT(detector_.HasPending());
    detector_.OnPoll(false, true, kAbandoned + absl::Seconds(6));
    CheckVerdict(CrashVerdict::kUnexplained);
    CPPUNIT_ASSERT(!detector_.HasPending());
  }

 private:
  void Lose(AttemptLoss loss, absl::Time at) {
    detector_.OnUnanswered(
        {loss, kSent, silent_since_}, at,
        [this](CrashVerdict verdict) { verdicts_.push_back(verdict); });
  }

  // Checks for exactly one verdict since the last check.
  void CheckVerdict(CrashVerdict expected) {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, verdicts_.size());
    CPPUNIT_ASSERT(expected == verdicts_.front());
    verdicts_.clear();
  }

  CrashDetector detector_;
  absl::Time silent_since_ = absl::InfiniteFuture();
  std::vector<CrashVerdict> verdicts_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);

}  // namespace cherrydyke
