#include "routing/query_run.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "absl/strings/str_format.h"
#include "kernel/registry.h"

namespace cherrydyke {
namespace {

constexpr IndexVersion kVersion = 41;

class FakeReplicaDirectory : public ReplicaDirectory {
 public:
  ReplicaView View(const TargetId& target) const override {
    ReplicaView view;
    view.target = target;
    view.reachable = unreachable.count(target) == 0;
    return view;
  }
  std::set<TargetId> unreachable;
};

ShardMap MakeShardMap(int shards, int replicas) {
  ShardMap map;
  map.version = 7;
  for (int s = 0; s < shards; ++s) {
    Shard shard;
    shard.id = absl::StrFormat("s%d", s);
    shard.range.begin = absl::StrFormat("%02x", s * 256 / shards);
    if (s + 1 < shards) {
      shard.range.end = absl::StrFormat("%02x", (s + 1) * 256 / shards);
    }
    for (int r = 0; r < replicas; ++r) {
      shard.replicas.push_back(absl::StrFormat("t%d-%d", s, r));
    }
    map.shards.push_back(shard);
  }
  return map;
}

/// A `QueryRun` with a fake replica directory and a manual clock.
class QueryHarness {
 public:
  explicit QueryHarness(int shards,
                        EntryClass entry_class = EntryClass::kCoverage,
                        CanaryMode canary = CanaryMode::kNever,
                        int replicas = 2)
      : picker_((RegisterReplicaPickers(),
                 Registry<ReplicaPicker>::Get().Create("random"))),
        plan_{{7, kVersion},
              MakeShardMap(shards, replicas),
              entry_class,
              canary,
              now + absl::Milliseconds(100),
              now + absl::Milliseconds(400)},
        run(plan_,
            {directory, *picker_, hedge_budget, retry_budget,
             absl::Milliseconds(20),
             [this] {
               return AttemptId{1, ++attempts};
             }},
            1) {}

  SubRequestReply ValidAnswer(const Dispatch& dispatch) const {
    const Shard& shard = plan_.shard_map.shards[dispatch.shard_index];
    SubRequestReply answer;
    answer.attempt = dispatch.attempt;
    answer.shard = shard.id;
    answer.index_version = kVersion;
    answer.complete = true;
    answer.hits = {{shard.range.begin, 1, "{}"}};
    return answer;
  }

  static SubRequestReply FailedAnswer(const Dispatch& dispatch,
                                      AttemptOutcome outcome,
                                      bool not_run = true) {
    SubRequestReply answer;
    answer.attempt = dispatch.attempt;
    answer.outcome = outcome;
    answer.not_run = not_run;
    return answer;
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  FakeReplicaDirectory directory;
  RatioBudget hedge_budget{0.05, 10};
  RatioBudget retry_budget{0.1, 50};
  uint64_t attempts = 0;

 private:
  std::unique_ptr<ReplicaPicker> picker_;
  QueryPlan plan_;

 public:
  QueryRun run;
};

}  // namespace

class QueryRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueryRunTest);
  CPPUNIT_TEST(CoverageMatchesValidAnswersInRandomRuns);
  CPPUNIT_TEST(ExpiredAttemptKeepsEarlierReason);
  CPPUNIT_TEST(HitsOfOtherVersionAreDiscarded);
  CPPUNIT_TEST(KeysOutsideRangeAreWrongShard);
  CPPUNIT_TEST(AnsweredHedgeCancelsFirstAttempt);
  CPPUNIT_TEST(LatencyClassAnswersAtTheSoftDeadline);
  CPPUNIT_TEST(CanaryLimitsCrashingQueryToTwoTargets);
  CPPUNIT_TEST(ConnectionLossAfterCanaryDoesNotQuarantine);
  CPPUNIT_TEST(ShardTruncatedByEveryReplicaIsGivenUp);
  CPPUNIT_TEST(BudgetsBoundAttemptsWhenNothingAnswers);
  CPPUNIT_TEST(ProvedNotRunNeedsProofForEveryAttempt);
  CPPUNIT_TEST(TwoChoicesPicksColdReplicaAndAvoidsSlowOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Delivers answers that are valid, refused, of another version or shard,
  // truncated, late, duplicated or lost. A shard must count as answered exactly
  // if a valid answer arrived before the deadline.
  void CoverageMatchesValidAnswersInRandomRuns() {
    CPPUNIT_ASSERT(rc::check("coverage matches the valid answers", [] {
      const int shards = *rc::gen::inRange(1, 8);
      const auto entry_class = static_cast<EntryClass>(*rc::gen::inRange(0, 2));
      const auto canary = static_cast<CanaryMode>(*rc::gen::inRange(0, 2));
      QueryHarness harness(shards, entry_class, canary);
      std::vector<Dispatch> open_attempts;
      std::vector<SubRequestReply> delivered;
      std::set<size_t> answered_shards;
      const auto apply = [&](const QueryActions& actions) {
        for (const Dispatch& d : actions.send) open_attempts.push_back(d);
        for (const AttemptId& id : actions.cancel) {
          const auto matches = [&](const Dispatch& d) {
            return d.attempt == id;
          };
          open_attempts.erase(std::remove_if(open_attempts.begin(),
                                             open_attempts.end(), matches),
                              open_attempts.end());
        }
      };
      apply(harness.run.Start(harness.now));
      for (int step = 0; step < 400 && !harness.run.done(); ++step) {
        harness.now += absl::Milliseconds(*rc::gen::inRange(0, 6));
        if (harness.now >= harness.run.NextTimer()) {
          apply(harness.run.OnTimer(harness.now));
          continue;
        }
        if (open_attempts.empty()) continue;
        const auto at = *rc::gen::inRange<size_t>(0, open_attempts.size());
        const Dispatch dispatch = open_attempts[at];
        const int kind = *rc::gen::inRange(0, 12);
        if (kind == 7 && delivered.empty()) continue;
        SubRequestReply answer = harness.ValidAnswer(dispatch);
        bool valid = false;
        if (kind == 0) answer.index_version = kVersion + 1;
        if (kind == 1) answer.shard = "other";
        if (kind == 2) answer.complete = false;
        if (kind == 3) answer.hits.push_back({"", 1, "{}"});
        if (kind == 4)
          answer = QueryHarness::FailedAnswer(dispatch, AttemptOutcome::kShed);
        if (kind == 5) {
          answer = QueryHarness::FailedAnswer(
              dispatch, AttemptOutcome::kConnectionLost, false);
        }
        if (kind == 6) answer.attempt.incarnation = 2;
        if (kind == 7) answer = delivered.back();
        if (kind >= 8) valid = true;
        if (kind == 11) continue;
        if (kind != 6 && kind != 7) {
          open_attempts.erase(open_attempts.begin() +
                              static_cast<ptrdiff_t>(at));
        }
        delivered.push_back(answer);
        if (valid) answered_shards.insert(dispatch.shard_index);
        apply(harness.run.OnAnswer(answer, harness.now));
      }
      if (!harness.run.done()) return;
      const QueryResult result = harness.run.TakeResult();
      RC_ASSERT(result.coverage.answered ==
                static_cast<int>(answered_shards.size()));
      RC_ASSERT(result.coverage.complete ==
                (answered_shards.size() == static_cast<size_t>(shards)));
    }));
  }

  // A retry shortly before the deadline expires, which does not show why the
  // shard is missing: the reason of the earlier attempt has to be reported.
  void ExpiredAttemptKeepsEarlierReason() {
    QueryHarness harness(1, EntryClass::kCoverage, CanaryMode::kNever, 1);
    const QueryActions first = harness.run.Start(harness.now);
    harness.run.OnAnswer(QueryHarness::FailedAnswer(
                             first.send.at(0), AttemptOutcome::kUnreachable),
                         harness.now);
    harness.now = harness.run.NextTimer();
    const QueryActions second = harness.run.OnTimer(harness.now);
    harness.run.OnAnswer(
        QueryHarness::FailedAnswer(second.send.at(0),
                                   AttemptOutcome::kDeadlineExceeded),
        harness.now);
    while (!harness.run.done()) {
      harness.now = harness.run.NextTimer();
      harness.run.OnTimer(harness.now);
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("unreachable"),
        harness.run.TakeResult().coverage.missing.at(0).reason);
  }

  void HitsOfOtherVersionAreDiscarded() {
    QueryHarness harness(1);
    for (const Dispatch& d : harness.run.Start(harness.now).send) {
      SubRequestReply answer = harness.ValidAnswer(d);
      answer.index_version = kVersion + 1;
      harness.run.OnAnswer(answer, harness.now);
    }
    RunUntilDone(harness);
    const QueryResult result = harness.run.TakeResult();
    CPPUNIT_ASSERT(result.hits.empty());
    CPPUNIT_ASSERT(result.version_gone);
  }

  void KeysOutsideRangeAreWrongShard() {
    QueryHarness harness(2);
    for (const Dispatch& d : harness.run.Start(harness.now).send) {
      SubRequestReply answer = harness.ValidAnswer(d);
      if (d.shard_index == 0) answer.hits.push_back({"ff", 1, "{}"});
      harness.run.OnAnswer(answer, harness.now);
    }
    RunUntilDone(harness);
    const QueryResult result = harness.run.TakeResult();
    CPPUNIT_ASSERT(!result.coverage.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_shard"),
                         result.coverage.missing[0].reason);
  }

  void AnsweredHedgeCancelsFirstAttempt() {
    QueryHarness harness(1);
    const Dispatch first = harness.run.Start(harness.now).send.at(0);
    harness.now += absl::Milliseconds(20);
    const Dispatch hedge = harness.run.OnTimer(harness.now).send.at(0);
    CPPUNIT_ASSERT(hedge.hedge);
    CPPUNIT_ASSERT(hedge.target != first.target);
    const QueryActions end =
        harness.run.OnAnswer(harness.ValidAnswer(hedge), harness.now);
    CPPUNIT_ASSERT(harness.run.done());
    CPPUNIT_ASSERT(end.cancel.at(0) == first.attempt);
    harness.run.OnAnswer(harness.ValidAnswer(first), harness.now);
    CPPUNIT_ASSERT_EQUAL(1, harness.run.dropped_answers());
  }

  void LatencyClassAnswersAtTheSoftDeadline() {
    for (const auto entry_class :
         {EntryClass::kLatency, EntryClass::kCoverage}) {
      QueryHarness harness(2, entry_class);
      const QueryActions start = harness.run.Start(harness.now);
      harness.run.OnAnswer(harness.ValidAnswer(start.send.at(0)), harness.now);
      harness.now += absl::Milliseconds(100);
      harness.run.OnTimer(harness.now);
      CPPUNIT_ASSERT_EQUAL(entry_class == EntryClass::kLatency,
                           harness.run.done());
    }
  }

  void CanaryLimitsCrashingQueryToTwoTargets() {
    QueryHarness harness(140, EntryClass::kCoverage, CanaryMode::kAlways, 3);
    QueryActions actions = harness.run.Start(harness.now);
    int crashed = 0;
    while (!actions.send.empty()) {
      const std::vector<Dispatch> sent = actions.send;
      actions = {};
      for (const Dispatch& d : sent) {
        ++crashed;
        const QueryActions next =
            harness.run.OnAnswer(QueryHarness::FailedAnswer(
                                     d, AttemptOutcome::kConnectionLost, false),
                                 harness.now);
        actions.send.insert(actions.send.end(), next.send.begin(),
                            next.send.end());
      }
    }
    CPPUNIT_ASSERT_EQUAL(2, crashed);
    CPPUNIT_ASSERT(harness.run.done());
    CPPUNIT_ASSERT(harness.run.TakeResult().quarantined);
  }

  void ConnectionLossAfterCanaryDoesNotQuarantine() {
    QueryHarness harness(3, EntryClass::kCoverage, CanaryMode::kAlways);
    const Dispatch canary = harness.run.Start(harness.now).send.at(0);
    const QueryActions rest =
        harness.run.OnAnswer(harness.ValidAnswer(canary), harness.now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, rest.send.size());
    for (const Dispatch& d : rest.send) {
      const QueryActions retry = harness.run.OnAnswer(
          QueryHarness::FailedAnswer(d, AttemptOutcome::kConnectionLost, false),
          harness.now);
      harness.run.OnAnswer(harness.ValidAnswer(retry.send.at(0)), harness.now);
    }
    const QueryResult result = harness.run.TakeResult();
    CPPUNIT_ASSERT(result.coverage.complete);
    CPPUNIT_ASSERT(!result.quarantined);
  }

  void ShardTruncatedByEveryReplicaIsGivenUp() {
    QueryHarness harness(1);
    QueryActions actions = harness.run.Start(harness.now);
    for (int i = 0; i < 2; ++i) {
      SubRequestReply answer = harness.ValidAnswer(actions.send.at(0));
      answer.complete = false;
      actions = harness.run.OnAnswer(answer, harness.now);
    }
    CPPUNIT_ASSERT(harness.run.done());
    const QueryResult result = harness.run.TakeResult();
    CPPUNIT_ASSERT_EQUAL(std::string("truncated"),
                         result.coverage.missing.at(0).reason);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, result.hits.size());
  }

  // No replica answers: hedges and retries must stay within the budgets.
  void BudgetsBoundAttemptsWhenNothingAnswers() {
    QueryHarness first(100);
    RatioBudget hedge_budget(0.05, 10);
    RatioBudget retry_budget(0.1, 50);
    RegisterReplicaPickers();
    const auto picker = Registry<ReplicaPicker>::Get().Create("random");
    uint64_t sent = 0;
    constexpr int kQueries = 50;
    constexpr int kShards = 100;
    for (int q = 0; q < kQueries; ++q) {
      absl::Time now = first.now;
      QueryPlan plan{{7, kVersion},          MakeShardMap(kShards, 3),
                     EntryClass::kCoverage,  CanaryMode::kNever,
                     now + absl::Seconds(1), now + absl::Seconds(1)};
      QueryRun run(plan,
                   {first.directory, *picker, hedge_budget, retry_budget,
                    absl::Milliseconds(20),
                    [&sent] {
                      return AttemptId{1, ++sent};
                    }},
                   static_cast<uint64_t>(q));
      run.Start(now);
      while (!run.done()) {
        now = std::max(now + absl::Milliseconds(1), run.NextTimer());
        run.OnTimer(now);
      }
    }
    const double primary = kQueries * kShards;
    CPPUNIT_ASSERT(static_cast<double>(sent) <= primary * 1.15 + 60);
  }

  void ProvedNotRunNeedsProofForEveryAttempt() {
    for (const bool proved : {true, false}) {
      QueryHarness harness(1, EntryClass::kLatency, CanaryMode::kNever, 1);
      const Dispatch d = harness.run.Start(harness.now).send.at(0);
      harness.run.OnAnswer(
          QueryHarness::FailedAnswer(d, AttemptOutcome::kShed, proved),
          harness.now);
      harness.now += absl::Milliseconds(100);
      harness.run.OnTimer(harness.now);
      CPPUNIT_ASSERT_EQUAL(proved, harness.run.TakeResult().proved_not_run);
    }
  }

  void TwoChoicesPicksColdReplicaAndAvoidsSlowOne() {
    RegisterReplicaPickers();
    const auto picker = Registry<ReplicaPicker>::Get().Create("pick_of_two");
    ReplicaView warm;
    warm.latency = absl::Milliseconds(3);
    warm.limit = 4;
    warm.same_domain = true;
    ReplicaView cold = warm;
    cold.latency = absl::ZeroDuration();
    cold.limit = 1;
    ReplicaView slow = warm;
    slow.latency = absl::Milliseconds(60);
    std::mt19937_64 random(1);
    int to_cold = 0;
    int to_slow = 0;
    for (int i = 0; i < 10'000; ++i) {
      to_cold += static_cast<int>(picker->Pick({warm, cold}, random));
      to_slow += static_cast<int>(picker->Pick({warm, slow}, random));
    }
    CPPUNIT_ASSERT(to_cold > 500);
    CPPUNIT_ASSERT(to_slow < 10);
  }

 private:
  static void RunUntilDone(QueryHarness& harness) {
    for (int i = 0; i < 1000 && !harness.run.done(); ++i) {
      harness.now = std::max(harness.now, harness.run.NextTimer());
      harness.run.OnTimer(harness.now);
    }
    CPPUNIT_ASSERT(harness.run.done());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueryRunTest);

}  // namespace cherrydyke
