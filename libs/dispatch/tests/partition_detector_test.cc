#include "dispatch/partition_detector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {
namespace {

constexpr uint32_t kTargets = 10;
constexpr absl::Duration kProbePeriod = absl::Milliseconds(400);

}  // namespace

class PartitionDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartitionDetectorTest);
  CPPUNIT_TEST(SilenceOfAllTargetsAndProbesIsPartition);
  CPPUNIT_TEST(AcceptedProbeIsNoPartition);
  CPPUNIT_TEST(PausesOfFewTargetsAreNoSign);
  CPPUNIT_TEST(ResponseClearsSuspicion);
  CPPUNIT_TEST(RefusedConnectionsCountOnlyWithoutOpenOnes);
  CPPUNIT_TEST(PartitionEndsWithGoodRoundOfProbes);
  CPPUNIT_TEST(SingleAcceptedProbeDoesNotEndPartition);
  CPPUNIT_TEST(FlappingPathNeedsMoreGoodRounds);
  CPPUNIT_TEST(ProbesThatConnectLateEndPartition);
  CPPUNIT_TEST(SingleLateProbeEndsPartitionOnlyIfNoneFailed);
  CPPUNIT_TEST(LateProbeClearsSuspicion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SilenceOfAllTargetsAndProbesIsPartition() {
    Silence(kTargets);
    CPPUNIT_ASSERT(detector_.state() == PathState::kSuspected);
    CPPUNIT_ASSERT(detector_.silent_since() == now_);
    Probe(0, 6);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
  }

  void AcceptedProbeIsNoPartition() {
    Silence(kTargets);
    Probe(1, 5);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
    CPPUNIT_ASSERT(detector_.silent_since() == absl::InfiniteFuture());
  }

  void PausesOfFewTargetsAreNoSign() {
    Silence(4);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
  }

  void ResponseClearsSuspicion() {
    Silence(kTargets);
    detector_.OnResponse(now_);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
    CPPUNIT_ASSERT(!detector_.StartProbeRound(now_));
  }

  void RefusedConnectionsCountOnlyWithoutOpenOnes() {
    for (uint32_t target = 0; target < kTargets; ++target) {
      detector_.OnUnconnected(target, true, now_);
    }
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
    detector_.OnUnconnected(0, false, now_);
    CPPUNIT_ASSERT(detector_.state() == PathState::kSuspected);
  }

  void PartitionEndsWithGoodRoundOfProbes() {
    Partition();
    CPPUNIT_ASSERT(!detector_.StartProbeRound(now_));
    now_ += kProbePeriod;
    Probe(2, 4);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
  }

  void SingleAcceptedProbeDoesNotEndPartition() {
    Partition();
    now_ += kProbePeriod;
    Probe(1, 5);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
  }

  void FlappingPathNeedsMoreGoodRounds() {
    Partition();
    now_ += kProbePeriod;
    Probe(6, 0);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
    now_ += kProbePeriod;
    Partition();
    now_ += kProbePeriod;
    Probe(6, 0);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
    now_ += kProbePeriod;
    Probe(6, 0);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
    now_ += absl::Minutes(1);
    Partition();
    now_ += kProbePeriod;
    Probe(6, 0);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
  }

  void ProbesThatConnectLateEndPartition() {
    Partition();
    detector_.OnLateProbeConnected(now_);
    detector_.OnLateProbeConnected(now_);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
    now_ += kProbePeriod;
    Probe(0, 6);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
    CPPUNIT_ASSERT(detector_.evidence().last_contact_at != now_);
  }

  void SingleLateProbeEndsPartitionOnlyIfNoneFailed() {
    Partition();
    detector_.OnLateProbeConnected(now_);
    now_ += kProbePeriod;
    Probe(0, 6);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
    // Late probes count once.
    now_ += kProbePeriod;
    Probe(0, 1);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
    detector_.OnLateProbeConnected(now_);
    now_ += kProbePeriod;
    Probe(0, 1);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
  }

  void LateProbeClearsSuspicion() {
    Silence(kTargets);
    detector_.OnLateProbeConnected(now_);
    CPPUNIT_ASSERT(detector_.state() == PathState::kConnected);
  }

 private:
  // Sends a request to each of the targets, of which the first ones are silent.
  void Silence(uint32_t silent) {
    for (uint32_t target = 0; target < kTargets; ++target) {
      detector_.OnSent(target, now_);
    }
    for (uint32_t target = 0; target < silent; ++target) {
      detector_.OnUnanswered(target, now_);
    }
  }

  void Probe(int connected, int failed) {
    CPPUNIT_ASSERT(detector_.StartProbeRound(now_));
    for (int i = 0; i < connected; ++i) detector_.OnProbeEnded(true, now_);
    for (int i = 0; i < failed; ++i) detector_.OnProbeEnded(false, now_);
    detector_.OnRoundEnded(now_);
  }

  void Partition() {
    Silence(kTargets);
    Probe(0, 6);
    CPPUNIT_ASSERT(detector_.state() == PathState::kPartitioned);
  }

  PartitionDetector detector_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionDetectorTest);

}  // namespace cherrydyke
