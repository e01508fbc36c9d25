#include "tier/source_era_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <optional>
#include <string>

namespace cherrydyke {

class SourceEraTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SourceEraTrackerTest);
  CPPUNIT_TEST(ServiceThatStatesNoEraStaysInTheFirstOne);
  CPPUNIT_TEST(StatedEraThatRisesIsLaterOnce);
  CPPUNIT_TEST(StatedEraThatFallsCountsAsNone);
  CPPUNIT_TEST(AnswerWithoutEraBelongsToTheEraInWhichItWasAskedFor);
  CPPUNIT_TEST(AnswerThatWasAskedForInAnEarlierEraIsEarlier);
  CPPUNIT_TEST(AnswerThatRefersToNoEraIsOfTheOneThatItStates);
  CPPUNIT_TEST(StatedEraIsLaterWheneverItWasAskedFor);
  CPPUNIT_TEST(InferredErasFollowEachOther);
  CPPUNIT_TEST(StatedEraFollowsInferredOnes);
  CPPUNIT_TEST(InferredEraOfAStatedOneOutlastsAnswersThatStateIt);
  CPPUNIT_TEST(ErasOfPeersNeverLowerIt);
  CPPUNIT_TEST(ImplausibleErasAreTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServiceThatStatesNoEraStaysInTheFirstOne() {
    ExpectAnswer(AnswerEra::kCurrent, std::nullopt, SourceEra());
    CPPUNIT_ASSERT(tracker_.era() == SourceEra());
  }

  void StatedEraThatRisesIsLaterOnce() {
    ExpectAnswer(AnswerEra::kLater, 1, SourceEra());
    ExpectAnswer(AnswerEra::kCurrent, 1, {1, 0});
    ExpectAnswer(AnswerEra::kLater, 3, {1, 0});
    ExpectAnswer(AnswerEra::kCurrent, 3, {3, 0});
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{3, 0}));
  }

  // Otherwise one wrong number would end all reading.
  void StatedEraThatFallsCountsAsNone() {
    ExpectAnswer(AnswerEra::kLater, 3, SourceEra());
    ExpectAnswer(AnswerEra::kCurrent, 2, {3, 0});
    ExpectAnswer(AnswerEra::kEarlier, 2, {2, 0});
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{3, 0}));
    ExpectAnswer(AnswerEra::kCurrent, 3, {3, 0});
  }

  void AnswerWithoutEraBelongsToTheEraInWhichItWasAskedFor() {
    ExpectAnswer(AnswerEra::kLater, 3, SourceEra());
    ExpectAnswer(AnswerEra::kCurrent, std::nullopt, {3, 0});
    ExpectAnswer(AnswerEra::kEarlier, std::nullopt, SourceEra());
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{3, 0}));
  }

  // The service may have answered before it came back, or after it.
  void AnswerThatWasAskedForInAnEarlierEraIsEarlier() {
    ExpectAnswer(AnswerEra::kLater, 1, SourceEra());
    ExpectAnswer(AnswerEra::kLater, 2, {1, 0});
    ExpectAnswer(AnswerEra::kEarlier, 1, {1, 0});
    ExpectAnswer(AnswerEra::kEarlier, 2, {1, 0});
    CPPUNIT_ASSERT(tracker_.Raise({2, 1}));
    ExpectAnswer(AnswerEra::kEarlier, 2, {2, 0});
    ExpectAnswer(AnswerEra::kCurrent, 2, {2, 1});
  }

  // A peer may have told the era meanwhile.
  void AnswerThatRefersToNoEraIsOfTheOneThatItStates() {
    CPPUNIT_ASSERT(tracker_.Raise({2, 0}));
    const auto answer = [this](std::optional<int64_t> stated, bool depends) {
      return tracker_.OnAnswer(stated, {1, 0}, depends);
    };
    CPPUNIT_ASSERT(answer(2, false) == AnswerEra::kCurrent);
    CPPUNIT_ASSERT(answer(2, true) == AnswerEra::kEarlier);
    CPPUNIT_ASSERT(answer(1, false) == AnswerEra::kEarlier);
    CPPUNIT_ASSERT(answer(std::nullopt, false) == AnswerEra::kEarlier);
    CPPUNIT_ASSERT(tracker_.Raise({2, 1}));
    CPPUNIT_ASSERT(answer(2, false) == AnswerEra::kEarlier);
  }

  void StatedEraIsLaterWheneverItWasAskedFor() {
    ExpectAnswer(AnswerEra::kLater, 2, SourceEra());
    ExpectAnswer(AnswerEra::kLater, 3, SourceEra());
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{3, 0}));
  }

  void InferredErasFollowEachOther() {
    for (int64_t inferred = 1; inferred <= 3; ++inferred) {
      const SourceEra before = tracker_.era();
      CPPUNIT_ASSERT(tracker_.Raise(before.Next()));
      CPPUNIT_ASSERT((tracker_.era() == SourceEra{0, inferred}));
      ExpectAnswer(AnswerEra::kEarlier, std::nullopt, before);
      ExpectAnswer(AnswerEra::kCurrent, std::nullopt, tracker_.era());
    }
  }

  void StatedEraFollowsInferredOnes() {
    CPPUNIT_ASSERT(tracker_.Raise({0, 7}));
    ExpectAnswer(AnswerEra::kLater, 1, {0, 7});
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{1, 0}));
    ExpectAnswer(AnswerEra::kEarlier, std::nullopt, {0, 7});
  }

  void InferredEraOfAStatedOneOutlastsAnswersThatStateIt() {
    ExpectAnswer(AnswerEra::kLater, 4, SourceEra());
    CPPUNIT_ASSERT(tracker_.Raise(tracker_.era().Next()));
    ExpectAnswer(AnswerEra::kCurrent, 4, {4, 1});
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{4, 1}));
    ExpectAnswer(AnswerEra::kLater, 5, {4, 1});
    CPPUNIT_ASSERT((tracker_.era() == SourceEra{5, 0}));
  }

  void ErasOfPeersNeverLowerIt() {
    CPPUNIT_ASSERT(!tracker_.Raise(SourceEra()));
    CPPUNIT_ASSERT(tracker_.Raise({2, 1}));
    for (const SourceEra& era :
         {SourceEra{2, 1}, SourceEra{2, 0}, SourceEra{1, 9}, SourceEra{0, 9}}) {
      CPPUNIT_ASSERT_MESSAGE(era.ToString(), !tracker_.Raise(era));
      CPPUNIT_ASSERT((tracker_.era() == SourceEra{2, 1}));
    }
    CPPUNIT_ASSERT(tracker_.Raise({3, 0}));
  }

  void ImplausibleErasAreTold() {
    constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
    constexpr int64_t kLargest = int64_t{1} << 53U;
    for (const int64_t stated :
         {-kMax - 1, int64_t{-1}, int64_t{0}, kLargest + 1, kMax}) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(stated),
                             !tracker_.IsPlausible(stated));
    }
    // Nothing is known yet with which it could be compared.
    CPPUNIT_ASSERT(tracker_.IsPlausible(1));
    CPPUNIT_ASSERT(tracker_.IsPlausible(kLargest));

    CPPUNIT_ASSERT(tracker_.Raise({5, 2}));
    CPPUNIT_ASSERT(tracker_.IsPlausible(6));
    CPPUNIT_ASSERT(tracker_.IsPlausible(1005));
    CPPUNIT_ASSERT(!tracker_.IsPlausible(1006));
    CPPUNIT_ASSERT(!tracker_.IsPlausible(kLargest));
    CPPUNIT_ASSERT(!tracker_.IsPlausible(0));
    // One that falls is judged by OnAnswer.
    CPPUNIT_ASSERT(tracker_.IsPlausible(4));

    CPPUNIT_ASSERT(tracker_.Raise({kLargest, 0}));
    CPPUNIT_ASSERT(tracker_.IsPlausible(kLargest));
    CPPUNIT_ASSERT(!tracker_.IsPlausible(kLargest + 1));
  }

 private:
  void ExpectAnswer(AnswerEra expected, std::optional<int64_t> stated,
                    SourceEra asked_in) {
    CPPUNIT_ASSERT_MESSAGE(
        asked_in.ToString(),
        expected == tracker_.OnAnswer(stated, asked_in, true));
  }

  SourceEraTracker tracker_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceEraTrackerTest);

}  // namespace cherrydyke
