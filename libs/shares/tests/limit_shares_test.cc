#include "shares/limit_shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

namespace cherrydyke {
namespace {

constexpr int kHosts = 4;
constexpr int kSteps = 500;
constexpr absl::Duration kMaxRunTime = absl::Milliseconds(400);

/// Simulates hosts that share the limit of one entry. Requests and loans run
/// over a network that loses, delays and duplicates messages, and hosts pause.
class SharesModel {
 public:
  SharesModel(uint64_t seed, LimitShares::Options options)
      : random_(seed), now_(absl::UnixEpoch() + absl::Hours(1)) {
    limits_.concurrency = static_cast<int>(1 + RandomBelow(20));
    limits_.rate_per_s = 1'000'000;
    for (int h = 0; h < kHosts; ++h) members_.push_back(HostName(h));
    for (int h = 0; h < kHosts; ++h) {
      hosts_.push_back({LimitShares(HostName(h), options), {}, {}});
      ApplyConfiguration(hosts_.back());
    }
  }

  std::string Run() {
    for (int step = 0; step < kSteps && violation_.empty(); ++step) Step();
    return violation_;
  }

 private:
  struct Request {
    LimitShares::Unit unit;
    absl::Time ends;
  };
  struct HostState {
    LimitShares shares;
    std::vector<Request> running;
    absl::Time paused_until;
  };
  struct MessageInFlight {
    absl::Time due;
    int to;
    std::variant<BorrowRequest, BorrowGrant> message;
  };

  static HostId HostName(int h) { return "host-" + std::to_string(h); }
  uint64_t RandomBelow(uint64_t bound) { return random_() % bound; }
  bool Chance(int percent) {
    return RandomBelow(100) < static_cast<uint64_t>(percent);
  }

  void ApplyConfiguration(HostState& host) {
    host.shares.SetMembers(members_, now_);
    host.shares.Configure("desk", limits_, now_);
  }

  void Send(int to, const std::variant<BorrowRequest, BorrowGrant>& message) {
    MessageInFlight sent{now_ + absl::Milliseconds(1 + RandomBelow(50)), to,
                         message};
    if (Chance(10)) sent.due += absl::Milliseconds(RandomBelow(6000));
    if (Chance(10)) return;
    if (Chance(10)) network_.push_back(sent);
    network_.push_back(sent);
  }

  void Deliver() {
    std::vector<MessageInFlight> due;
    for (auto it = network_.begin(); it != network_.end();) {
      const bool ready = it->due <= now_ && hosts_[it->to].paused_until <= now_;
      if (ready) due.push_back(*it);
      it = ready ? network_.erase(it) : std::next(it);
    }
    for (const MessageInFlight& sent : due) {
      LimitShares& shares = hosts_[sent.to].shares;
      if (const auto* request = std::get_if<BorrowRequest>(&sent.message)) {
        const int borrower = request->borrower.back() - '0';
        if (const auto grant = shares.OnBorrowRequest(*request, now_)) {
          Send(borrower, *grant);
        }
      } else {
        shares.OnBorrowGrant(std::get<BorrowGrant>(sent.message), now_);
      }
    }
  }

  void RunHost(int index) {
    HostState& host = hosts_[index];
    for (auto it = host.running.begin(); it != host.running.end();) {
      if (it->ends > now_) {
        ++it;
        continue;
      }
      host.shares.Release("desk", it->unit);
      it = host.running.erase(it);
    }
    const auto acquired = host.shares.TryAcquire("desk", kMaxRunTime, now_);
    if (const auto* unit = std::get_if<LimitShares::Unit>(&acquired)) {
      host.running.push_back(
          {*unit,
           now_ + kMaxRunTime * (static_cast<double>(RandomBelow(101)) / 100)});
    } else if (const auto request =
                   host.shares.MakeBorrowRequest("desk", now_)) {
      Send(static_cast<int>(RandomBelow(kHosts)), *request);
    }
  }

  void Step() {
    now_ += absl::Milliseconds(1 + RandomBelow(40));
    Deliver();
    if (Chance(2)) {
      hosts_[RandomBelow(kHosts)].paused_until =
          now_ + absl::Milliseconds(RandomBelow(5000));
    }
    for (int h = 0; h < kHosts; ++h) {
      if (hosts_[h].paused_until <= now_ && Chance(70)) RunHost(h);
    }
    int in_use = 0;
    for (const HostState& host : hosts_) {
      for (const Request& request : host.running) {
        if (request.ends > now_) ++in_use;
      }
    }
    if (in_use > limits_.concurrency) {
      violation_ = std::to_string(in_use) + " units in use, limit " +
                   std::to_string(limits_.concurrency);
    }
  }

  std::mt19937_64 random_;
  absl::Time now_;
  EntryLimits limits_;
  std::vector<HostId> members_;
  std::vector<HostState> hosts_;
  std::vector<MessageInFlight> network_;
  std::string violation_;
};

}  // namespace

class LimitSharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitSharesTest);
  CPPUNIT_TEST(UnitsInUseStayWithinTheLimit);
  CPPUNIT_TEST(ModelDetectsLoansWithoutMargin);
  CPPUNIT_TEST(SharesAddUpToTheLimit);
  CPPUNIT_TEST(IncreaseIsDelayedAndDecreaseIsNot);
  CPPUNIT_TEST(ChangedLimitTakesEffectAtOnce);
  CPPUNIT_TEST(RateIsProportionalToUnits);
  CPPUNIT_TEST(RetiredEntryIsRemovedOnceIdle);
  CPPUNIT_TEST(FirstRequestOfNewEntryIsNotOverTheRate);
  CPPUNIT_TEST(FirstRequestOfRecreatedEntryIsNotOverTheRate);
  CPPUNIT_TEST(RecreatedEntryIsNotRefusedBecauseAllItsUnitsWereLent);
  CPPUNIT_TEST(HostThatDoesNotUseTheEntryLendsItsLastUnit);
  CPPUNIT_TEST(HostWithoutUnitsOfItsOwnIsLentTheLastUnit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnitsInUseStayWithinTheLimit() {
    CPPUNIT_ASSERT(rc::check("units in use stay within the limit", [] {
      const auto seed = *rc::gen::arbitrary<uint64_t>();
      RC_ASSERT(SharesModel(seed, {}).Run() == "");
    }));
  }

  void ModelDetectsLoansWithoutMargin() {
    LimitShares::Options options;
    options.margin = -absl::Seconds(2);
    bool violated = false;
    for (uint64_t seed = 1; seed <= 40 && !violated; ++seed) {
      violated = !SharesModel(seed, options).Run().empty();
    }
    CPPUNIT_ASSERT(violated);
  }

  void SharesAddUpToTheLimit() {
    CPPUNIT_ASSERT(rc::check("shares add up to the limit", [] {
      const int limit = *rc::gen::inRange(1, 200);
      const int hosts = *rc::gen::inRange(1, 20);
      std::vector<HostId> members;
      for (int h = 0; h < hosts; ++h) members.push_back(std::to_string(h));
      int sum = 0;
      const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
      for (const HostId& host : members) {
        LimitShares shares(host, {});
        shares.SetMembers(members, start);
        shares.Configure("desk", {10, limit}, start);
        sum += shares.UsableUnits("desk", start + absl::Minutes(1));
      }
      RC_ASSERT(sum == limit);
    }));
  }

  void IncreaseIsDelayedAndDecreaseIsNot() {
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    LimitShares shares("a", {});
    shares.SetMembers({"a", "b"}, start);
    shares.Configure("desk", {10, 10}, start);
    CPPUNIT_ASSERT_EQUAL(0, shares.UsableUnits("desk", start));
    const absl::Time later = start + absl::Minutes(1);
    CPPUNIT_ASSERT_EQUAL(5, shares.UsableUnits("desk", later));
    shares.SetMembers({"a"}, later);
    CPPUNIT_ASSERT_EQUAL(5, shares.UsableUnits("desk", later));
    const absl::Time much_later = later + absl::Minutes(1);
    CPPUNIT_ASSERT_EQUAL(10, shares.UsableUnits("desk", much_later));
    shares.SetMembers({"a", "b"}, much_later);
    CPPUNIT_ASSERT_EQUAL(5, shares.UsableUnits("desk", much_later));
  }

  void ChangedLimitTakesEffectAtOnce() {
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    LimitShares shares("a", {});
    shares.SetMembers({"a"}, start);
    const absl::Time later = start + absl::Minutes(1);
    shares.Configure("desk", {10, 10}, later);
    CPPUNIT_ASSERT_EQUAL(10, shares.UsableUnits("desk", later));
    shares.Configure("desk", {10, 20}, later);
    CPPUNIT_ASSERT_EQUAL(20, shares.UsableUnits("desk", later));
  }

  void RetiredEntryIsRemovedOnceIdle() {
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    LimitShares shares("a", {});
    shares.SetMembers({"a"}, now - absl::Minutes(1));
    shares.Configure("desk", {10, 10}, now - absl::Seconds(1));
    const auto acquired = shares.TryAcquire("desk", absl::Seconds(1), now);
    shares.Retain({}, now);
    CPPUNIT_ASSERT_EQUAL(1, shares.InUse("desk"));
    shares.Release("desk", std::get<LimitShares::Unit>(acquired));
    shares.Retain({}, now);
    CPPUNIT_ASSERT_EQUAL(0, shares.UsableUnits("desk", now));
  }

  void FirstRequestOfNewEntryIsNotOverTheRate() {
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    LimitShares shares("a", {});
    shares.SetMembers({"a", "b"}, now - absl::Minutes(1));
    shares.Configure("desk", {100, 1000}, now);
    // Half of 100 requests/s for the burst of 250 ms.
    CPPUNIT_ASSERT_EQUAL(12, AdmittedAtOnce(shares, now));
  }

  void FirstRequestOfRecreatedEntryIsNotOverTheRate() {
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    LimitShares shares("a", {});
    shares.SetMembers({"a"}, now - absl::Minutes(1));
    shares.Configure("desk", {1, 10}, now - absl::Seconds(1));
    shares.Retain({}, now);
    shares.Configure("desk", {1, 10}, now);
    CPPUNIT_ASSERT_EQUAL(1, AdmittedAtOnce(shares, now));
  }

  // Hosts that own one unit ask for more as soon as they use it.
  void RecreatedEntryIsNotRefusedBecauseAllItsUnitsWereLent() {
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    std::vector<LimitShares> hosts = MakeHosts(6, 10, start);
    absl::Time now = start + absl::Minutes(1);
    LimitShares& lender = HostWithUnits(hosts, 2, now);
    CPPUNIT_ASSERT_EQUAL(1, AdmittedAtOnce(lender, now, 1));
    for (LimitShares& host : hosts) {
      if (host.UsableUnits("desk", now) != 1) continue;
      now += absl::Milliseconds(200);
      Borrow(host, lender, now);
    }
    CPPUNIT_ASSERT_EQUAL(1, lender.UsableUnits("desk", now));
    now += absl::Milliseconds(200);
    lender.Retain({}, now);
    lender.Configure("desk", {1'000'000, 10}, now);
    CPPUNIT_ASSERT_EQUAL(1, AdmittedAtOnce(lender, now, 1));
  }

  void HostThatDoesNotUseTheEntryLendsItsLastUnit() {
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    std::vector<LimitShares> hosts = MakeHosts(2, 2, start);
    absl::Time now = start + absl::Minutes(1);
    CPPUNIT_ASSERT_EQUAL(1, AdmittedAtOnce(hosts[1], now, 1));
    Borrow(hosts[0], hosts[1], now);
    CPPUNIT_ASSERT_EQUAL(1, hosts[0].UsableUnits("desk", now));
    now += LimitShares::Options().use_time;
    Borrow(hosts[0], hosts[1], now);
    CPPUNIT_ASSERT_EQUAL(2, hosts[0].UsableUnits("desk", now));
    CPPUNIT_ASSERT_EQUAL(0, hosts[1].UsableUnits("desk", now));
  }

  void HostWithoutUnitsOfItsOwnIsLentTheLastUnit() {
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    std::vector<LimitShares> hosts = MakeHosts(2, 1, start);
    const absl::Time now = start + absl::Minutes(1);
    LimitShares& lender = HostWithUnits(hosts, 1, now);
    LimitShares& borrower = HostWithUnits(hosts, 0, now);
    CPPUNIT_ASSERT_EQUAL(1, AdmittedAtOnce(lender, now, 1));
    Borrow(borrower, lender, now);
    CPPUNIT_ASSERT_EQUAL(1, borrower.UsableUnits("desk", now));
  }

  void RateIsProportionalToUnits() {
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    LimitShares shares("a", {});
    shares.SetMembers({"a", "b"}, now);
    now += absl::Minutes(1);
    shares.Configure("desk", {100, 1000}, now);
    int admitted = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
      now += absl::Milliseconds(1);
      const auto acquired = shares.TryAcquire("desk", absl::Seconds(1), now);
      if (const auto* unit = std::get_if<LimitShares::Unit>(&acquired)) {
        shares.Release("desk", *unit);
        ++admitted;
      }
    }
    // One of two members admits half of 100 requests/s for 10 s and one burst.
    CPPUNIT_ASSERT(admitted >= 495 && admitted <= 515);
  }

 private:
  // @return hosts that share an entry of this concurrency.
  static std::vector<LimitShares> MakeHosts(int count, int concurrency,
                                            absl::Time now) {
    std::vector<HostId> members;
    for (int h = 0; h < count; ++h) {
      members.push_back("host-" + std::to_string(h));
    }
    std::vector<LimitShares> hosts;
    hosts.reserve(members.size());
    for (const HostId& member : members) {
      LimitShares& shares = hosts.emplace_back(member, LimitShares::Options());
      shares.SetMembers(members, now);
      shares.Configure("desk", {1'000'000, concurrency}, now);
    }
    return hosts;
  }

  static LimitShares& HostWithUnits(std::vector<LimitShares>& hosts, int units,
                                    absl::Time now) {
    for (LimitShares& host : hosts) {
      if (host.UsableUnits("desk", now) == units) return host;
    }
    CPPUNIT_FAIL("no host has that many units");
    return hosts.front();
  }

  static void Borrow(LimitShares& borrower, LimitShares& lender,
                     absl::Time now) {
    const auto request = borrower.MakeBorrowRequest("desk", now);
    CPPUNIT_ASSERT(request.has_value());
    if (const auto grant = lender.OnBorrowRequest(*request, now)) {
      borrower.OnBorrowGrant(*grant, now);
    }
  }

  static int AdmittedAtOnce(LimitShares& shares, absl::Time now,
                            int requests = 100) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      const auto acquired = shares.TryAcquire("desk", absl::Seconds(1), now);
      if (const auto* unit = std::get_if<LimitShares::Unit>(&acquired)) {
        shares.Release("desk", *unit);
        ++admitted;
      }
    }
    return admitted;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitSharesTest);

}  // namespace cherrydyke
