#include "partition_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "base/clock.h"
#include "support/fake_link.h"
#include "support/raw_peers.h"

namespace cherrydyke {

class PartitionMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartitionMonitorTest);
  CPPUNIT_TEST(SlowPathToAllTargetsIsNoPartitionForEver);
  CPPUNIT_TEST(SilentTargetsStayPartitioned);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SlowPathToAllTargetsIsNoPartitionForEver() {
    // Only the first round's probes connect, once the kernel repeats them.
    RunFor(loop_, absl::Milliseconds(500));
    CPPUNIT_ASSERT(monitor_.state() == PathState::kPartitioned);
    for (const auto& link : first_) link->SetState(FakeLink::State::kOpen);
    CPPUNIT_ASSERT(RunUntil(
        loop_, [&] { return monitor_.state() == PathState::kConnected; },
        absl::Seconds(2)));
    CPPUNIT_ASSERT_EQUAL(1, restored_);
  }

  void SilentTargetsStayPartitioned() {
    CPPUNIT_ASSERT(RunUntil(
        loop_, [&] { return monitor_.state() == PathState::kPartitioned; },
        absl::Milliseconds(400)));
    RunFor(loop_, absl::Seconds(5));
    CPPUNIT_ASSERT(monitor_.state() == PathState::kPartitioned);
    CPPUNIT_ASSERT_EQUAL(0, restored_);
  }

  void setUp() override {
    for (uint32_t target = 0; target < kTargets; ++target) {
      first_.push_back(MakeSilentLink());
      later_.push_back(MakeSilentLink());
      monitor_.OnSent(target);
    }
    for (uint32_t target = 0; target < kTargets; ++target) {
      monitor_.OnUnanswered(target);
    }
    CPPUNIT_ASSERT(monitor_.state() == PathState::kSuspected);
  }

 private:
  static constexpr uint32_t kTargets = 3;
  using Links = std::vector<std::unique_ptr<FakeLink>>;

  std::unique_ptr<FakeLink> MakeSilentLink() {
    auto link = std::make_unique<FakeLink>(loop_, server_.endpoint());
    link->SetState(FakeLink::State::kSilent);
    return link;
  }

  std::vector<Endpoint> ChooseProbes() {
    std::vector<Endpoint> endpoints;
    const Links& links = rounds_++ == 0 ? first_ : later_;
    endpoints.reserve(links.size());
    for (const auto& link : links) endpoints.push_back(link->endpoint());
    return endpoints;
  }

  BootClock clock_;
  engine::EventLoop loop_{clock_};
  RawServer server_{loop_, [](RawConnection&, const std::string&) {}};
  Links first_;
  Links later_;
  int rounds_ = 0;
  int restored_ = 0;
  PartitionMonitor monitor_{loop_,
                            {[this](size_t) { return ChooseProbes(); }, [] {},
                             [] {}, [this](absl::Time) { ++restored_; }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionMonitorTest);

}  // namespace cherrydyke
