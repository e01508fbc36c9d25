#include "routing/query_run.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "absl/strings/str_format.h"
#include "kernel/registry.h"

namespace cherrydyke {
namespace {

constexpr IndexVersion kVersion = 41;

class EveryReplica : public ReplicaDirectory {
 public:
  ReplicaView View(const TargetId& target) const override {
    ReplicaView view;
    view.target = target;
    view.reachable = down.count(target) == 0;
    return view;
  }
  std::set<TargetId> down;
};

ShardMap MapOf(int shards, int replicas) {
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

/// A query over fakes, driven by hand.
class Bench {
 public:
  explicit Bench(int shards, EntryClass entry_class = EntryClass::kCoverage,
                 CanaryMode canary = CanaryMode::kNever, int replicas = 2)
      : picker_((RegisterReplicaPickers(),
                 Registry<ReplicaPicker>::Get().Create("random"))),
        plan_{{7, kVersion},
              MapOf(shards, replicas),
              entry_class,
              canary,
              now + absl::Milliseconds(100),
              now + absl::Milliseconds(400)},
        run(plan_,
            {directory, *picker_, hedges, retries, absl::Milliseconds(20),
             [this] {
               return AttemptId{1, ++attempts};
             }},
            1) {}

  SubAnswer Good(const Dispatch& dispatch) const {
    const Shard& shard = plan_.shard_map.shards[dispatch.shard_index];
    SubAnswer answer;
    answer.attempt = dispatch.attempt;
    answer.shard = shard.id;
    answer.index_version = kVersion;
    answer.complete = true;
    answer.hits = {{shard.range.begin, 1, "{}"}};
    return answer;
  }

  static SubAnswer Bad(const Dispatch& dispatch, AttemptOutcome outcome,
                       bool not_run = true) {
    SubAnswer answer;
    answer.attempt = dispatch.attempt;
    answer.outcome = outcome;
    answer.not_run = not_run;
    return answer;
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  EveryReplica directory;
  RatioBudget hedges{0.05, 10};
  RatioBudget retries{0.1, 50};
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
  CPPUNIT_TEST(CoverageIsTrueInAnyRun);
  CPPUNIT_TEST(LateSendDoesNotHideWhyAShardIsMissing);
  CPPUNIT_TEST(OtherVersionIsNeverMerged);
  CPPUNIT_TEST(ForeignKeysAreAMovedRange);
  CPPUNIT_TEST(HedgeWinsAndLoserIsCancelled);
  CPPUNIT_TEST(LatencyClassAnswersAtTheSoftDeadline);
  CPPUNIT_TEST(CrashingRequestMeetsTwoTargets);
  CPPUNIT_TEST(LostTargetAfterCanaryIsNotTheRequestsFault);
  CPPUNIT_TEST(TruncatedByAllIsGivenUp);
  CPPUNIT_TEST(ExtraLoadIsBoundedWhenAllIsSlow);
  CPPUNIT_TEST(NotRunNeedsAProofForEachAttempt);
  CPPUNIT_TEST(ColdReplicaGetsSomeAndStragglerHardlyAny);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Answers come good, refused, of other versions or shards, truncated, late,
  // doubled or never; a shard counts exactly if a good one came in time.
  void CoverageIsTrueInAnyRun() {
    CPPUNIT_ASSERT(rc::check("coverage is true in any run", [] {
      const int shards = *rc::gen::inRange(1, 8);
      const auto entry_class = static_cast<EntryClass>(*rc::gen::inRange(0, 2));
      const auto canary = static_cast<CanaryMode>(*rc::gen::inRange(0, 2));
      Bench bench(shards, entry_class, canary);
      std::vector<Dispatch> open;
      std::vector<SubAnswer> sent_answers;
      std::set<size_t> good_in_time;
      const auto take = [&](const QueryActions& actions) {
        for (const Dispatch& d : actions.send) open.push_back(d);
        for (const AttemptId& id : actions.cancel) {
          const auto is = [&](const Dispatch& d) { return d.attempt == id; };
          open.erase(std::remove_if(open.begin(), open.end(), is), open.end());
        }
      };
      take(bench.run.Start(bench.now));
      for (int step = 0; step < 400 && !bench.run.done(); ++step) {
        bench.now += absl::Milliseconds(*rc::gen::inRange(0, 6));
        if (bench.now >= bench.run.NextTimer()) {
          take(bench.run.OnTimer(bench.now));
          continue;
        }
        if (open.empty()) continue;
        const auto at = *rc::gen::inRange<size_t>(0, open.size());
        const Dispatch dispatch = open[at];
        const int kind = *rc::gen::inRange(0, 12);
        if (kind == 7 && sent_answers.empty()) continue;
        SubAnswer answer = bench.Good(dispatch);
        bool good = false;
        if (kind == 0) answer.index_version = kVersion + 1;
        if (kind == 1) answer.shard = "other";
        if (kind == 2) answer.complete = false;
        if (kind == 3) answer.hits.push_back({"", 1, "{}"});
        if (kind == 4) answer = Bench::Bad(dispatch, AttemptOutcome::kShed);
        if (kind == 5) {
          answer = Bench::Bad(dispatch, AttemptOutcome::kConnectionLost, false);
        }
        if (kind == 6) answer.attempt.incarnation = 2;
        if (kind == 7) answer = sent_answers.back();
        if (kind >= 8) good = true;
        if (kind == 11) continue;
        if (kind != 6 && kind != 7) {
          open.erase(open.begin() + static_cast<ptrdiff_t>(at));
        }
        sent_answers.push_back(answer);
        if (good) good_in_time.insert(dispatch.shard_index);
        take(bench.run.OnAnswer(answer, bench.now));
      }
      if (!bench.run.done()) return;
      const QueryResult result = bench.run.TakeResult();
      RC_ASSERT(result.coverage.answered ==
                static_cast<int>(good_in_time.size()));
      RC_ASSERT(result.coverage.complete ==
                (good_in_time.size() == static_cast<size_t>(shards)));
    }));
  }

  // A retry just before the deadline comes back as expired, which says nothing
  // of the shard; what its replicas said before does.
  void LateSendDoesNotHideWhyAShardIsMissing() {
    Bench bench(1, EntryClass::kCoverage, CanaryMode::kNever, 1);
    const QueryActions first = bench.run.Start(bench.now);
    bench.run.OnAnswer(
        Bench::Bad(first.send.at(0), AttemptOutcome::kUnreachable), bench.now);
    bench.now = bench.run.NextTimer();
    const QueryActions second = bench.run.OnTimer(bench.now);
    bench.run.OnAnswer(Bench::Bad(second.send.at(0), AttemptOutcome::kExpired),
                       bench.now);
    while (!bench.run.done()) {
      bench.now = bench.run.NextTimer();
      bench.run.OnTimer(bench.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unreachable"),
                         bench.run.TakeResult().coverage.missing.at(0).reason);
  }

  void OtherVersionIsNeverMerged() {
    Bench bench(1);
    for (const Dispatch& d : bench.run.Start(bench.now).send) {
      SubAnswer answer = bench.Good(d);
      answer.index_version = kVersion + 1;
      bench.run.OnAnswer(answer, bench.now);
    }
    FinishByTime(bench);
    const QueryResult result = bench.run.TakeResult();
    CPPUNIT_ASSERT(result.hits.empty());
    CPPUNIT_ASSERT(result.version_gone);
  }

  void ForeignKeysAreAMovedRange() {
    Bench bench(2);
    for (const Dispatch& d : bench.run.Start(bench.now).send) {
      SubAnswer answer = bench.Good(d);
      if (d.shard_index == 0) answer.hits.push_back({"ff", 1, "{}"});
      bench.run.OnAnswer(answer, bench.now);
    }
    FinishByTime(bench);
    const QueryResult result = bench.run.TakeResult();
    CPPUNIT_ASSERT(!result.coverage.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_shard"),
                         result.coverage.missing[0].reason);
  }

  void HedgeWinsAndLoserIsCancelled() {
    Bench bench(1);
    const Dispatch first = bench.run.Start(bench.now).send.at(0);
    bench.now += absl::Milliseconds(20);
    const Dispatch hedge = bench.run.OnTimer(bench.now).send.at(0);
    CPPUNIT_ASSERT(hedge.hedge);
    CPPUNIT_ASSERT(hedge.target != first.target);
    const QueryActions end = bench.run.OnAnswer(bench.Good(hedge), bench.now);
    CPPUNIT_ASSERT(bench.run.done());
    CPPUNIT_ASSERT(end.cancel.at(0) == first.attempt);
    bench.run.OnAnswer(bench.Good(first), bench.now);
    CPPUNIT_ASSERT_EQUAL(1, bench.run.dropped_answers());
  }

  void LatencyClassAnswersAtTheSoftDeadline() {
    for (const auto entry_class :
         {EntryClass::kLatency, EntryClass::kCoverage}) {
      Bench bench(2, entry_class);
      const QueryActions start = bench.run.Start(bench.now);
      bench.run.OnAnswer(bench.Good(start.send.at(0)), bench.now);
      bench.now += absl::Milliseconds(100);
      bench.run.OnTimer(bench.now);
      CPPUNIT_ASSERT_EQUAL(entry_class == EntryClass::kLatency,
                           bench.run.done());
    }
  }

  void CrashingRequestMeetsTwoTargets() {
    Bench bench(140, EntryClass::kCoverage, CanaryMode::kAlways, 3);
    QueryActions actions = bench.run.Start(bench.now);
    int crashed = 0;
    while (!actions.send.empty()) {
      const std::vector<Dispatch> sent = actions.send;
      actions = {};
      for (const Dispatch& d : sent) {
        ++crashed;
        const QueryActions next = bench.run.OnAnswer(
            Bench::Bad(d, AttemptOutcome::kConnectionLost, false), bench.now);
        actions.send.insert(actions.send.end(), next.send.begin(),
                            next.send.end());
      }
    }
    CPPUNIT_ASSERT_EQUAL(2, crashed);
    CPPUNIT_ASSERT(bench.run.done());
    CPPUNIT_ASSERT(bench.run.TakeResult().quarantined);
  }

  void LostTargetAfterCanaryIsNotTheRequestsFault() {
    Bench bench(3, EntryClass::kCoverage, CanaryMode::kAlways);
    const Dispatch canary = bench.run.Start(bench.now).send.at(0);
    const QueryActions rest = bench.run.OnAnswer(bench.Good(canary), bench.now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, rest.send.size());
    for (const Dispatch& d : rest.send) {
      const QueryActions retry = bench.run.OnAnswer(
          Bench::Bad(d, AttemptOutcome::kConnectionLost, false), bench.now);
      bench.run.OnAnswer(bench.Good(retry.send.at(0)), bench.now);
    }
    const QueryResult result = bench.run.TakeResult();
    CPPUNIT_ASSERT(result.coverage.complete);
    CPPUNIT_ASSERT(!result.quarantined);
  }

  void TruncatedByAllIsGivenUp() {
    Bench bench(1);
    QueryActions actions = bench.run.Start(bench.now);
    for (int i = 0; i < 2; ++i) {
      SubAnswer answer = bench.Good(actions.send.at(0));
      answer.complete = false;
      actions = bench.run.OnAnswer(answer, bench.now);
    }
    CPPUNIT_ASSERT(bench.run.done());
    const QueryResult result = bench.run.TakeResult();
    CPPUNIT_ASSERT_EQUAL(std::string("truncated"),
                         result.coverage.missing.at(0).reason);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, result.hits.size());
  }

  // Nothing answers: each query may add no more than the budgets allow.
  void ExtraLoadIsBoundedWhenAllIsSlow() {
    Bench first(100);
    RatioBudget hedges(0.05, 10);
    RatioBudget retries(0.1, 50);
    RegisterReplicaPickers();
    const auto picker = Registry<ReplicaPicker>::Get().Create("random");
    uint64_t sent = 0;
    constexpr int kQueries = 50;
    constexpr int kShards = 100;
    for (int q = 0; q < kQueries; ++q) {
      absl::Time now = first.now;
      QueryPlan plan{{7, kVersion},          MapOf(kShards, 3),
                     EntryClass::kCoverage,  CanaryMode::kNever,
                     now + absl::Seconds(1), now + absl::Seconds(1)};
      QueryRun run(
          plan,
          {first.directory, *picker, hedges, retries, absl::Milliseconds(20),
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

  void NotRunNeedsAProofForEachAttempt() {
    for (const bool proved : {true, false}) {
      Bench bench(1, EntryClass::kLatency, CanaryMode::kNever, 1);
      const Dispatch d = bench.run.Start(bench.now).send.at(0);
      bench.run.OnAnswer(Bench::Bad(d, AttemptOutcome::kShed, proved),
                         bench.now);
      bench.now += absl::Milliseconds(100);
      bench.run.OnTimer(bench.now);
      CPPUNIT_ASSERT_EQUAL(proved, bench.run.TakeResult().proved_not_run);
    }
  }

  void ColdReplicaGetsSomeAndStragglerHardlyAny() {
    RegisterReplicaPickers();
    const auto picker = Registry<ReplicaPicker>::Get().Create("pick_of_two");
    ReplicaView warm;
    warm.latency = absl::Milliseconds(3);
    warm.limit = 4;
    warm.same_domain = true;
    ReplicaView cold = warm;
    cold.latency = absl::ZeroDuration();
    cold.limit = 1;
    ReplicaView straggler = warm;
    straggler.latency = absl::Milliseconds(60);
    std::mt19937_64 random(1);
    int to_cold = 0;
    int to_straggler = 0;
    for (int i = 0; i < 10'000; ++i) {
      to_cold += static_cast<int>(picker->Pick({warm, cold}, random));
      to_straggler += static_cast<int>(picker->Pick({warm, straggler}, random));
    }
    CPPUNIT_ASSERT(to_cold > 500);
    CPPUNIT_ASSERT(to_straggler < 10);
  }

 private:
  static void FinishByTime(Bench& bench) {
    for (int i = 0; i < 1000 && !bench.run.done(); ++i) {
      bench.now = std::max(bench.now, bench.run.NextTimer());
      bench.run.OnTimer(bench.now);
    }
    CPPUNIT_ASSERT(bench.run.done());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueryRunTest);

}  // namespace cherrydyke
