#include "dispatch/request_run.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// Selects targets named after the service until the retry budget is used up.
class FakeTargetSelector : public TargetSelector {
 public:
  std::optional<SelectedTarget> Select(const SelectionCriteria& criteria,
                                       absl::Time /*now*/) override {
    if (unavailable_services_.count(criteria.service) > 0) return std::nullopt;
    if (criteria.retry_priority) {
      priorities_.push_back(*criteria.retry_priority);
      last_chances_ += criteria.is_last_chance ? 1 : 0;
      if (retry_budget_ == 0) return std::nullopt;
      --retry_budget_;
    }
    for (int replica = 0; replica < replicas_; ++replica) {
      const TargetId id = criteria.service + "/" + std::to_string(replica);
      const auto& tried = *criteria.exclude;
      if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
      return SelectedTarget{id, absl::Milliseconds(30), absl::Milliseconds(10),
                            next_best_latency_};
    }
    return std::nullopt;
  }

  int replicas_ = 3;
  int retry_budget_ = 100;
  absl::Duration next_best_latency_ = absl::InfiniteDuration();
  std::set<ServiceName> unavailable_services_;
  std::vector<RetryPriority> priorities_;
  int last_chances_ = 0;
};

RequestPlan Fanout(size_t shards, size_t needed) {
  RequestPlan plan;
  for (size_t i = 0; i < shards; ++i) {
    plan.services.push_back("s" + std::to_string(i));
  }
  plan.is_fanout = true;
  plan.idempotent = true;
  plan.max_attempts = 2;
  plan.min_parts = needed;
  plan.answer_at = kStart + absl::Milliseconds(100);
  plan.deadline = kStart + absl::Milliseconds(1000);
  return plan;
}

RequestPlan Single(bool idempotent) {
  RequestPlan plan = Fanout(1, 1);
  plan.is_fanout = false;
  plan.idempotent = idempotent;
  return plan;
}

}  // namespace

class RequestRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRunTest);
  CPPUNIT_TEST(AnswersImmediatelyWithAllParts);
  CPPUNIT_TEST(WaitsForMissingPartsUntilTheAnswerTime);
  CPPUNIT_TEST(AfterTheAnswerTimeAnswersWithEnoughParts);
  CPPUNIT_TEST(RefusesWithoutSendingWhenTooFewPartsAreAvailable);
  CPPUNIT_TEST(FailsImmediatelyWhenTooManyPartsHaveFailed);
  CPPUNIT_TEST(HedgesAnOverduePartAndCancelsTheLoser);
  CPPUNIT_TEST(HedgesWhileTheNextBestTargetCanAnswerInTime);
  CPPUNIT_TEST(HedgeThatIsDueWithTheAnswerIsNotSent);
  CPPUNIT_TEST(RetryThatIsDueWithTheAnswerIsNotSent);
  CPPUNIT_TEST(NothingOfARefusedRequestIsSent);
  CPPUNIT_TEST(RejectedAttemptsDoNotCountAsRuns);
  CPPUNIT_TEST(AttemptThatWasNotSentIsReplacedWithoutBudget);
  CPPUNIT_TEST(NonIdempotentRequestIsNotRetriedAfterALostAnswer);
  CPPUNIT_TEST(NonIdempotentRequestIsRetriedIfItDidNotRun);
  CPPUNIT_TEST(NonIdempotentRequestIsNotHedged);
  CPPUNIT_TEST(OnlyRequestsThatDidNotRunAreReportedAsNotRun);
  CPPUNIT_TEST(RelaysTheFailureOfASingleTarget);
  CPPUNIT_TEST(MisleadingFailureIsRelayedOnlyIfTheRequestMayRunAgain);
  CPPUNIT_TEST(RequiredRetryIsMarkedAsRequired);
  CPPUNIT_TEST(OnlyARequiredRetryIsALastChance);
  CPPUNIT_TEST(HandedOverRequestGetsItsRemainingAttempts);
  CPPUNIT_TEST(AttemptsCancelledBeforeTheyWereSentDoNotCountAsRuns);
  CPPUNIT_TEST(LostPathEndsIdempotentRequestWithWhatItHas);
  CPPUNIT_TEST(InvariantsHoldUnderRandomEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersImmediatelyWithAllParts() {
    RequestRun run(Fanout(2, 1), target_selector_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, run.Start(kStart).send.size());
    CPPUNIT_ASSERT(!run.OnEnded(0, AttemptResult::kSuccess, kStart).outcome);
    const RunActions last = run.OnEnded(1, AttemptResult::kSuccess, kStart);
    CPPUNIT_ASSERT(last.outcome == RequestOutcome::kAnswer);
  }

  void WaitsForMissingPartsUntilTheAnswerTime() {
    target_selector_.retry_budget_ = 0;
    RequestRun run(Fanout(3, 2), target_selector_);
    run.Start(kStart);
    run.OnEnded(0, AttemptResult::kSuccess, kStart);
    run.OnEnded(1, AttemptResult::kSuccess, kStart);
    CPPUNIT_ASSERT(!run.done());
    const absl::Time just_before = kStart + absl::Milliseconds(99);
    CPPUNIT_ASSERT(!run.OnTimer(just_before).outcome);
    const RunActions due = run.OnTimer(kStart + absl::Milliseconds(100));
    CPPUNIT_ASSERT(due.outcome == RequestOutcome::kAnswer);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, due.cancel.size());
    CPPUNIT_ASSERT(!run.Winners()[2].has_value());
  }

  void AfterTheAnswerTimeAnswersWithEnoughParts() {
    RequestRun run(Fanout(3, 2), target_selector_);
    run.Start(kStart);
    run.OnEnded(0, AttemptResult::kSuccess, kStart);
    run.OnTimer(kStart + absl::Milliseconds(100));
    CPPUNIT_ASSERT(!run.done());
    const RunActions late = run.OnEnded(1, AttemptResult::kSuccess,
                                        kStart + absl::Milliseconds(300));
    CPPUNIT_ASSERT(late.outcome == RequestOutcome::kAnswer);
  }

  void RefusesWithoutSendingWhenTooFewPartsAreAvailable() {
    target_selector_.unavailable_services_ = {"s0", "s1"};
    RequestRun run(Fanout(3, 2), target_selector_);
    const RunActions actions = run.Start(kStart);
    CPPUNIT_ASSERT(actions.send.empty());
    CPPUNIT_ASSERT(actions.outcome == RequestOutcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions.cancel.size());
  }

  void FailsImmediatelyWhenTooManyPartsHaveFailed() {
    target_selector_.retry_budget_ = 0;
    RequestRun run(Fanout(3, 2), target_selector_);
    run.Start(kStart);
    run.OnEnded(0, AttemptResult::kSuccess, kStart);
    run.OnEnded(1, AttemptResult::kUnknown, kStart);
    const RunActions actions = run.OnEnded(2, AttemptResult::kUnknown, kStart);
    CPPUNIT_ASSERT(actions.outcome == RequestOutcome::kFailed);
  }

  void HedgesAnOverduePartAndCancelsTheLoser() {
    RequestRun run(Fanout(1, 1), target_selector_);
    run.Start(kStart);
    CPPUNIT_ASSERT(run.NextTimer() == kStart + absl::Milliseconds(30));
    const RunActions hedge = run.OnTimer(run.NextTimer());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, hedge.overdue.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, hedge.send.size());
    CPPUNIT_ASSERT(hedge.send[0].target != run.target(0));
    const RunActions won = run.OnEnded(1, AttemptResult::kSuccess, kStart);
    CPPUNIT_ASSERT(won.outcome == RequestOutcome::kAnswer);
    CPPUNIT_ASSERT(won.cancel == std::vector<size_t>{0});
  }

  void HedgesWhileTheNextBestTargetCanAnswerInTime() {
    RequestPlan plan = Fanout(1, 1);
    plan.answer_at = kStart + absl::Milliseconds(75);
    target_selector_.next_best_latency_ = absl::Milliseconds(50);
    RequestRun run(plan, target_selector_);
    run.Start(kStart);
    CPPUNIT_ASSERT(run.NextTimer() == kStart + absl::Milliseconds(15));
  }

  // Guards against hedges of a late timer that are sent beside the answer and
  // written with the next request's body (UNASKED).
  void HedgeThatIsDueWithTheAnswerIsNotSent() {
    RequestRun run(Fanout(3, 2), target_selector_);
    run.Start(kStart);
    run.OnEnded(0, AttemptResult::kSuccess, kStart);
    run.OnEnded(1, AttemptResult::kSuccess, kStart);
    const RunActions late = run.OnTimer(kStart + absl::Milliseconds(100));
    CPPUNIT_ASSERT(late.outcome == RequestOutcome::kAnswer);
    CPPUNIT_ASSERT(late.send.empty());
    // What the target's slowness tells holds all the same.
    CPPUNIT_ASSERT(late.overdue == std::vector<size_t>{2});
    CPPUNIT_ASSERT(late.cancel == std::vector<size_t>{2});
    CPPUNIT_ASSERT(target_selector_.priorities_.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, run.sends());
  }

  // As above, with retries of a part that fails when the answer is due.
  void RetryThatIsDueWithTheAnswerIsNotSent() {
    for (const AttemptResult end :
         {AttemptResult::kNotSent, AttemptResult::kNotRun,
          AttemptResult::kWrongTarget, AttemptResult::kFailure,
          AttemptResult::kMisleadingFailure, AttemptResult::kUnknown}) {
      RequestRun run(Fanout(3, 2), target_selector_);
      run.Start(kStart);
      run.OnEnded(0, AttemptResult::kSuccess, kStart);
      run.OnEnded(1, AttemptResult::kSuccess, kStart);
      const RunActions late =
          run.OnEnded(2, end, kStart + absl::Milliseconds(100));
      CPPUNIT_ASSERT(late.outcome == RequestOutcome::kAnswer);
      CPPUNIT_ASSERT(late.send.empty());
      CPPUNIT_ASSERT(late.cancel.empty());
      CPPUNIT_ASSERT_EQUAL(size_t{3}, run.sends());
    }
    CPPUNIT_ASSERT(target_selector_.priorities_.empty());
  }

  // As above, with parts that were chosen before another had no target.
  void NothingOfARefusedRequestIsSent() {
    target_selector_.unavailable_services_ = {"s2"};
    RequestRun run(Fanout(3, 3), target_selector_);
    const RunActions actions = run.Start(kStart);
    CPPUNIT_ASSERT(actions.outcome == RequestOutcome::kNotRun);
    CPPUNIT_ASSERT(actions.send.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, actions.cancel.size());
    CPPUNIT_ASSERT(!run.OnTimer(kStart + absl::Milliseconds(100)).outcome);
  }

  void RejectedAttemptsDoNotCountAsRuns() {
    RequestRun run(Fanout(1, 1), target_selector_);
    run.Start(kStart);
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, run.OnEnded(0, AttemptResult::kNotRun, kStart).send.size());
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, run.OnEnded(1, AttemptResult::kNotRun, kStart).send.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, run.maybe_run());
  }

  void AttemptThatWasNotSentIsReplacedWithoutBudget() {
    // A target refuses the connection, and the host has no retry budget.
    target_selector_.retry_budget_ = 0;
    RequestRun run(Fanout(2, 2), target_selector_);
    run.Start(kStart);
    const RunActions replaced = run.OnEnded(0, AttemptResult::kNotSent, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, replaced.send.size());
    CPPUNIT_ASSERT(!replaced.outcome);
    CPPUNIT_ASSERT(target_selector_.priorities_.empty());
    // A retry after a rejection by the target counts against the budget.
    run.OnEnded(replaced.send[0].attempt, AttemptResult::kNotRun, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, target_selector_.priorities_.size());
    CPPUNIT_ASSERT(run.done());
  }

  void NonIdempotentRequestIsNotRetriedAfterALostAnswer() {
    RequestRun run(Single(false), target_selector_);
    run.Start(kStart);
    const RunActions lost = run.OnEnded(0, AttemptResult::kUnknown, kStart);
    CPPUNIT_ASSERT(lost.send.empty());
    CPPUNIT_ASSERT(lost.outcome == RequestOutcome::kFailed);
  }

  void NonIdempotentRequestIsRetriedIfItDidNotRun() {
    RequestRun run(Single(false), target_selector_);
    run.Start(kStart);
    const RunActions again =
        run.OnEnded(0, AttemptResult::kWrongTarget, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, again.send.size());
  }

  void NonIdempotentRequestIsNotHedged() {
    RequestRun run(Single(false), target_selector_);
    run.Start(kStart);
    const RunActions overdue = run.OnTimer(kStart + absl::Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, overdue.overdue.size());
    CPPUNIT_ASSERT(overdue.send.empty());
  }

  void OnlyRequestsThatDidNotRunAreReportedAsNotRun() {
    target_selector_.replicas_ = 1;
    RequestRun rejected(Single(true), target_selector_);
    rejected.Start(kStart);
    CPPUNIT_ASSERT(
        rejected.OnEnded(0, AttemptResult::kNotRun, kStart).outcome ==
        RequestOutcome::kNotRun);
    RequestRun late(Single(true), target_selector_);
    late.Start(kStart);
    CPPUNIT_ASSERT(late.OnTimer(kStart + absl::Seconds(2)).outcome ==
                   RequestOutcome::kTimedOut);
  }

  void RelaysTheFailureOfASingleTarget() {
    target_selector_.replicas_ = 1;
    RequestRun run(Single(true), target_selector_);
    run.Start(kStart);
    CPPUNIT_ASSERT(run.OnEnded(0, AttemptResult::kFailure, kStart).outcome ==
                   RequestOutcome::kRelayFailure);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, run.relayed());
  }

  // Guards against callers repeating a request that has run (REFUSED).
  void MisleadingFailureIsRelayedOnlyIfTheRequestMayRunAgain() {
    for (const bool idempotent : {false, true}) {
      target_selector_.replicas_ = 1;
      RequestRun run(Single(idempotent), target_selector_);
      run.Start(kStart);
      const RunActions last =
          run.OnEnded(0, AttemptResult::kMisleadingFailure, kStart);
      CPPUNIT_ASSERT(last.send.empty());
      CPPUNIT_ASSERT(last.outcome == (idempotent ? RequestOutcome::kRelayFailure
                                                 : RequestOutcome::kFailed));
    }
  }

  void OnlyARequiredRetryIsALastChance() {
    // One of three parts is unavailable, so both others are required.
    target_selector_.unavailable_services_ = {"s2"};
    RequestRun run(Fanout(3, 2), target_selector_);
    run.Start(kStart);
    // A hedge is not the last chance: the first attempt may still answer.
    run.OnTimer(kStart + absl::Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, target_selector_.priorities_.size());
    CPPUNIT_ASSERT_EQUAL(0, target_selector_.last_chances_);
    RequestRun other(Fanout(3, 2), target_selector_);
    other.Start(kStart);
    other.OnEnded(0, AttemptResult::kUnknown, kStart);
    CPPUNIT_ASSERT_EQUAL(1, target_selector_.last_chances_);
  }

  void RequiredRetryIsMarkedAsRequired() {
    RequestRun run(Fanout(3, 2), target_selector_);
    run.Start(kStart);
    run.OnEnded(0, AttemptResult::kNotRun, kStart);
    CPPUNIT_ASSERT(target_selector_.priorities_.back() ==
                   RetryPriority::kOptional);
    target_selector_.retry_budget_ = 0;
    run.OnEnded(1, AttemptResult::kNotRun, kStart);
    run.OnEnded(2, AttemptResult::kNotRun, kStart);
    CPPUNIT_ASSERT(target_selector_.priorities_.back() ==
                   RetryPriority::kRequired);
  }

  void HandedOverRequestGetsItsRemainingAttempts() {
    RequestPlan plan = Fanout(3, 2);
    plan.tried = {{"s0", {"s0/0", "s0/1"}}, {"s1", {"s1/0"}}};
    RequestRun run(plan, target_selector_);
    const RunActions start = run.Start(kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, start.send.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s1/1"), start.send[0].target);
    CPPUNIT_ASSERT_EQUAL(std::string("s2/0"), start.send[1].target);
    // Only the part that was sent before counts as an extra send.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, target_selector_.priorities_.size());
    RequestPlan unsafe = Single(false);
    unsafe.tried = {{"s0", {"s0/0"}}};
    RequestRun refused(unsafe, target_selector_);
    const RunActions actions = refused.Start(kStart);
    CPPUNIT_ASSERT(actions.send.empty());
    CPPUNIT_ASSERT(actions.outcome == RequestOutcome::kFailed);
  }

  // Guards against reporting requests that waited for connections as run.
  void AttemptsCancelledBeforeTheyWereSentDoNotCountAsRuns() {
    RequestRun run(Fanout(2, 2), target_selector_);
    run.Start(kStart);
    target_selector_.unavailable_services_ = {"s0"};
    const RunActions failed = run.OnEnded(0, AttemptResult::kNotSent, kStart);
    CPPUNIT_ASSERT(failed.outcome == RequestOutcome::kFailed);
    CPPUNIT_ASSERT(failed.cancel == std::vector<size_t>{1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, run.Tried().size());
    run.OnCancelledUnsent(1);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, run.maybe_run());
    CPPUNIT_ASSERT(run.Tried().empty());
  }

  void LostPathEndsIdempotentRequestWithWhatItHas() {
    RequestRun complete(Fanout(3, 2), target_selector_);
    complete.Start(kStart);
    complete.OnEnded(0, AttemptResult::kSuccess, kStart);
    complete.OnEnded(1, AttemptResult::kSuccess, kStart);
    CPPUNIT_ASSERT(complete.OnPathLost().outcome == RequestOutcome::kAnswer);
    RequestRun lacking(Fanout(3, 2), target_selector_);
    lacking.Start(kStart);
    CPPUNIT_ASSERT(lacking.OnPathLost().outcome == RequestOutcome::kFailed);
    RequestRun unsafe(Single(false), target_selector_);
    unsafe.Start(kStart);
    CPPUNIT_ASSERT(!unsafe.OnPathLost().outcome.has_value());
    CPPUNIT_ASSERT(!unsafe.done());
  }

  void InvariantsHoldUnderRandomEvents() {
    CPPUNIT_ASSERT(rc::check("invariants of a run", [] {
      FakeTargetSelector target_selector;
      target_selector.retry_budget_ = *rc::gen::inRange(0, 6);
      const bool idempotent = *rc::gen::arbitrary<bool>();
      const size_t shards = idempotent ? *rc::gen::inRange<size_t>(1, 6) : 1;
      RequestPlan plan =
          Fanout(shards, *rc::gen::inRange<size_t>(1, shards + 1));
      plan.is_fanout = shards > 1;
      plan.idempotent = idempotent;
      std::map<size_t, std::set<TargetId>> maybe_ran;
      size_t ran_or_may = 0;
      for (size_t part = 0; part < shards; ++part) {
        const int tried = *rc::gen::inRange(0, idempotent ? 3 : 2);
        for (int replica = 0; replica < tried; ++replica) {
          const TargetId target =
              plan.services[part] + "/" + std::to_string(replica);
          plan.tried[plan.services[part]].push_back(target);
          maybe_ran[part].insert(target);
          ++ran_or_may;
        }
      }
      RequestRun run(plan, target_selector);
      std::set<size_t> running;
      std::optional<RequestOutcome> outcome;
      absl::Time now = kStart;
      const auto apply = [&](const RunActions& actions) {
        for (const AttemptSend& send : actions.send) {
          running.insert(send.attempt);
          maybe_ran[send.part].insert(send.target);
          ++ran_or_may;
          RC_ASSERT(maybe_ran[send.part].size() <= 2U);
          RC_ASSERT(idempotent || ran_or_may <= 1U);
        }
        for (const size_t attempt : actions.cancel) running.erase(attempt);
        if (actions.outcome) {
          RC_ASSERT(!outcome.has_value());
          outcome = actions.outcome;
          RC_ASSERT(running.empty());
          RC_ASSERT(actions.send.empty());
        }
      };
      apply(run.Start(now));
      for (int step = 0; step < 60 && !outcome; ++step) {
        now += absl::Milliseconds(*rc::gen::inRange(0, 40));
        if (*rc::gen::inRange(0, 30) == 0) {
          apply(run.OnPathLost());
          continue;
        }
        if (running.empty() || *rc::gen::arbitrary<bool>()) {
          now = std::max(now, std::min(run.NextTimer(), plan.deadline));
          apply(run.OnTimer(now));
          continue;
        }
        const size_t attempt = *rc::gen::elementOf(
            std::vector<size_t>(running.begin(), running.end()));
        const auto end = static_cast<AttemptResult>(*rc::gen::inRange(0, 6));
        running.erase(attempt);
        if (end == AttemptResult::kNotSent || end == AttemptResult::kNotRun ||
            end == AttemptResult::kWrongTarget) {
          --ran_or_may;
          for (auto& [part, targets] : maybe_ran) {
            targets.erase(run.target(attempt));
          }
        }
        apply(run.OnEnded(attempt, end, now));
      }
      if (!outcome) apply(run.OnTimer(plan.deadline));
      RC_ASSERT(outcome.has_value());
      RC_ASSERT(outcome != RequestOutcome::kNotRun || ran_or_may == 0);
      const TriedTargets reported = run.Tried();
      for (const auto& [part, targets] : maybe_ran) {
        const auto found = reported.find(plan.services[part]);
        const std::vector<TargetId> none;
        const auto& tried = found == reported.end() ? none : found->second;
        RC_ASSERT(std::set<TargetId>(tried.begin(), tried.end()) == targets);
      }
    }));
  }

 private:
  FakeTargetSelector target_selector_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRunTest);

}  // namespace cherrydyke
