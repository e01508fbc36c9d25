#include "tier/request_change_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "support/log_capture.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kBound = absl::Seconds(4);
const absl::Duration kWindow = 2 * kBound;
constexpr absl::Duration kSecond = absl::Seconds(1);
constexpr char kHost[] = "h";
constexpr uint32_t kInstance = 7;

Route MakeRoute(const std::string& prefix, int attempts = 1) {
  Route route;
  route.name = prefix;
  route.host = kHost;
  route.prefix = prefix;
  route.attempts = attempts;
  return route;
}

RouteTable Table(int64_t version, std::vector<Route> routes) {
  return {version, std::move(routes), {}};
}

}  // namespace

class LineAllowanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineAllowanceTest);
  CPPUNIT_TEST(LinesAreDueAtAnyDistanceFromTheChange);
  CPPUNIT_TEST(LinesAreBoundedWhateverTheTraffic);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesAreDueAtAnyDistanceFromTheChange() {
    LineAllowance lines(kStart, kWindow);
    for (absl::Duration at; at < kWindow; at += kSecond) {
      CPPUNIT_ASSERT(lines.Take(kStart + at));
    }
    CPPUNIT_ASSERT(lines.IsOver(kStart + kWindow));
    CPPUNIT_ASSERT(!lines.Take(kStart + kWindow));
  }

  void LinesAreBoundedWhateverTheTraffic() {
    rc::check([] {
      constexpr int kMaxLines =
          LineAllowance::kSlots * LineAllowance::kLinesPerSlot;
      const int period_ms = *rc::gen::inRange(1, 1000);
      LineAllowance lines(kStart, kWindow);
      int taken = 0;
      int asked = 0;
      for (absl::Duration at; at < 2 * kWindow;
           at += absl::Milliseconds(period_ms)) {
        if (at < kWindow) ++asked;
        if (lines.Take(kStart + at)) ++taken;
      }
      RC_ASSERT(taken <= kMaxLines);
      if (period_ms > 250) RC_ASSERT(taken == asked);
    });
  }
};

class RouteChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteChangesTest);
  CPPUNIT_TEST(FindsAddedRemovedAndChangedRoutes);
  CPPUNIT_TEST(FindsNoRoutesThatStayedTheSame);
  CPPUNIT_TEST(NestedRouteThatWasRemovedConcernsTheOuterOne);
  CPPUNIT_TEST(OuterRouteThatChangedDoesNotConcernTheNestedOne);
  CPPUNIT_TEST(ChangesAreForgottenAfterTheWindow);
  CPPUNIT_TEST(LaterChangeOfAnotherRouteKeepsTheChange);
  CPPUNIT_TEST(LaterChangeOfTheRouteReplacesTheChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsAddedRemovedAndChangedRoutes() {
    Change({MakeRoute("/a/"), MakeRoute("/b/")},
           {MakeRoute("/b/", 2), MakeRoute("/c/")});
    for (const char* const path : {"/a/x", "/b/x", "/c/x"}) {
      const RouteChange* const change = Find(path, 0);
      CPPUNIT_ASSERT(change != nullptr);
      CPPUNIT_ASSERT_EQUAL(int64_t{2}, change->version);
      CPPUNIT_ASSERT_EQUAL(int64_t{1}, change->version_before);
    }
    CPPUNIT_ASSERT(Find("/d/x", 0) == nullptr);
  }

  void FindsNoRoutesThatStayedTheSame() {
    Change({MakeRoute("/a/")}, {MakeRoute("/a/")});
    CPPUNIT_ASSERT(Find("/a/x", 3) == nullptr);
    CPPUNIT_ASSERT(changes_.empty());
  }

  void NestedRouteThatWasRemovedConcernsTheOuterOne() {
    Change({MakeRoute("/a/"), MakeRoute("/a/b/")}, {MakeRoute("/a/")});
    CPPUNIT_ASSERT(Find("/a/b/x", 3) != nullptr);
    CPPUNIT_ASSERT(Find("/a/x", 3) == nullptr);
  }

  void OuterRouteThatChangedDoesNotConcernTheNestedOne() {
    Change({MakeRoute("/a/"), MakeRoute("/a/b/")},
           {MakeRoute("/a/", 2), MakeRoute("/a/b/")});
    CPPUNIT_ASSERT(Find("/a/b/x", 5) == nullptr);
    CPPUNIT_ASSERT(Find("/a/x", 3) != nullptr);
  }

  void ChangesAreForgottenAfterTheWindow() {
    Change({MakeRoute("/a/")}, {});
    CPPUNIT_ASSERT(changes_.Find(kHost, "/a/x", 0, kStart + kBound));
    CPPUNIT_ASSERT(!changes_.Find(kHost, "/a/x", 0, kStart + kWindow));
    const RouteTable empty = Table(2, {});
    changes_.OnRoutes(&empty, Table(3, {}), kStart + kWindow);
    CPPUNIT_ASSERT(changes_.empty());
  }

  void LaterChangeOfAnotherRouteKeepsTheChange() {
    Change({MakeRoute("/a/")}, {});
    const RouteTable empty = Table(2, {});
    changes_.OnRoutes(&empty, Table(3, {MakeRoute("/b/")}), kStart + kSecond);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, Find("/a/x", 0)->version);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, Find("/b/x", 0)->version);
  }

  void LaterChangeOfTheRouteReplacesTheChange() {
    Change({MakeRoute("/a/")}, {});
    const RouteTable empty = Table(2, {});
    changes_.OnRoutes(&empty, Table(3, {MakeRoute("/a/")}), kStart + kSecond);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, Find("/a/x", 3)->version);
  }

 private:
  void Change(std::vector<Route> before, std::vector<Route> after) {
    const RouteTable table = Table(1, std::move(before));
    changes_.OnRoutes(&table, Table(2, std::move(after)), kStart);
  }
  RouteChange* Find(const char* path, size_t matched_prefix) {
    return changes_.Find(kHost, path, matched_prefix, kStart + kSecond);
  }

  RouteChanges changes_{kWindow};
};

/// Requests by the path `/a/x`, one after another, and changes of their route.
class RequestChangeLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestChangeLogTest);
  CPPUNIT_TEST(RequestAfterAChangeOfItsRouteHasALineWithTheVersionBefore);
  CPPUNIT_TEST(RequestOnAnotherRouteHasNoLine);
  CPPUNIT_TEST(RequestsOfALateHostHaveLinesWhenTheChangeArrives);
  CPPUNIT_TEST(RequestsOfACurrentHostHaveFewerLines);
  CPPUNIT_TEST(LinesOfManyRequestsAreSpreadOverTime);
  CPPUNIT_TEST(RefusalOfARouteThatIsAddedLaterHasALine);
  CPPUNIT_TEST(RefusalsOfARouteThatWasRemovedHaveLines);
  CPPUNIT_TEST(RequestsThatHadALineGetNoOther);
  CPPUNIT_TEST(RequestsLongBeforeTheChangeGetNoLine);
  CPPUNIT_TEST(FirstConfigurationIsNoChangeOfRequestsBefore);
  CPPUNIT_TEST(RequestsSentToATargetBeforeItsWithdrawalIsKnownHaveLines);
  CPPUNIT_TEST(RequestSentToAWithdrawnTargetIsAWarning);
  CPPUNIT_TEST(TargetThatIsUsableAgainIsNotWithdrawn);
  CPPUNIT_TEST(LinesAreBoundedWithManyRequestsAndChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // All fixtures exist from the start of the program.
  void setUp() override { capture_.emplace(); }
  void tearDown() override { capture_.reset(); }

  void RequestAfterAChangeOfItsRouteHasALineWithTheVersionBefore() {
    Change(2, {MakeRoute("/a/", 2)});
    Fields fields;
    CPPUNIT_ASSERT(log_.OnEnded(Handled("r", 3, kSecond), fields));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"changed_by":2,"version_before":1,"changed_ms":1000})"),
        FieldsToJson(fields));
  }

  void RequestOnAnotherRouteHasNoLine() {
    Change(2, {MakeRoute("/a/"), MakeRoute("/b/")});
    Fields fields;
    CPPUNIT_ASSERT(!log_.OnEnded(Handled("r", 3, kSecond), fields));
    CPPUNIT_ASSERT(fields.empty());
  }

  // Guards against requests that break a rule and have no line: the host that
  // handles them does not know of the change (CONFIG).
  void RequestsOfALateHostHaveLinesWhenTheChangeArrives() {
    constexpr int kRequests = 3 * RequestTrail::kLinesPerChange;
    KeepRequests(kRequests, absl::Milliseconds(4500));
    Change(2, {});
    const auto lines = LinesBefore();
    CPPUNIT_ASSERT_EQUAL(size_t{kRequests}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("request") == absl::StrCat("r", kRequests));
    CPPUNIT_ASSERT(lines[1].at("ended_ms_before") == 100);
    CPPUNIT_ASSERT(lines[0].at("config_version") == 1);
    CPPUNIT_ASSERT(lines[0].at("changed_by") == 2);
    CPPUNIT_ASSERT(lines[0].at("published_age_ms") == 4500);
  }

  void RequestsOfACurrentHostHaveFewerLines() {
    KeepRequests(3 * RequestTrail::kLinesPerChange, kBound / 4);
    Change(2, {});
    CPPUNIT_ASSERT_EQUAL(size_t{RequestTrail::kLinesPerChange},
                         LinesBefore().size());
  }

  void LinesOfManyRequestsAreSpreadOverTime() {
    KeepRequests(RequestTrail::kLateLinesPerChange, kBound);
    Change(2, {});
    CPPUNIT_ASSERT(capture_->LinesOf("request before a change").empty());
    log_.LogBefore();
    CPPUNIT_ASSERT_EQUAL(RequestChangeLog::kBeforeLines,
                         capture_->LinesOf("request before a change").size());
  }

  void RefusalOfARouteThatIsAddedLaterHasALine() {
    HandledRequest refused = Handled("r", 0, -kSecond);
    refused.path = "/b/x";
    refused.outcome = "no_route";
    Fields fields;
    CPPUNIT_ASSERT(!log_.OnRefused(refused, fields));
    log_.Keep(refused);
    Change(2, {MakeRoute("/a/"), MakeRoute("/b/")});
    const auto lines = LinesBefore();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("request") == "r");
    CPPUNIT_ASSERT(lines[0].at("outcome") == "no_route");
  }

  void RefusalsOfARouteThatWasRemovedHaveLines() {
    Change(2, {});
    for (int i = 0; i < RequestChangeLog::kRefusedLines; ++i) {
      Fields fields;
      CPPUNIT_ASSERT(log_.OnRefused(Handled("r", 0, kSecond), fields));
      CPPUNIT_ASSERT(!fields.empty());
    }
  }

  void RequestsThatHadALineGetNoOther() {
    HandledRequest request = Handled("r", 3, -kSecond);
    request.has_line = true;
    log_.Keep(request);
    log_.Keep(Handled("s", 3, -kSecond));
    Change(2, {});
    Change(3, {MakeRoute("/a/")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, LinesBefore().size());
  }

  void RequestsLongBeforeTheChangeGetNoLine() {
    log_.Keep(
        Handled("r", 3, -RequestTrail::kWindowInBounds * kBound - kSecond));
    Change(2, {});
    CPPUNIT_ASSERT(LinesBefore().empty());
  }

  void FirstConfigurationIsNoChangeOfRequestsBefore() {
    RequestChangeLog log(kBound);
    log.Keep(Handled("r", 0, -kSecond));
    log.OnRoutes(nullptr, Table(1, {MakeRoute("/a/")}), kStart);
    log.LogBefore();
    CPPUNIT_ASSERT(capture_->LinesOf("request before a change").empty());
  }

  // Guards against requests to targets that have left which have no line
  // (DRAIN).
  void RequestsSentToATargetBeforeItsWithdrawalIsKnownHaveLines() {
    HandledRequest request = Handled("r", 3, -kSecond);
    request.targets = {1, kInstance};
    log_.Keep(request);
    request.targets = {1};
    log_.Keep(request);
    log_.OnNotices({{"t", kInstance, "leaving"}}, kStart);
    const auto lines = LinesBefore();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("withdrawn") == "t");
    CPPUNIT_ASSERT(lines[0].at("withdrawn_reason") == "leaving");
    request.targets = {kInstance};
    request.ended_at = kStart + kSecond;
    Fields fields;
    CPPUNIT_ASSERT(log_.OnEnded(request, fields));
  }

  void RequestSentToAWithdrawnTargetIsAWarning() {
    log_.OnSent("r", kInstance, kStart, kStart);
    log_.OnNotices({{"t", kInstance, "evacuated"}}, kStart);
    log_.OnSent("s", kInstance, kStart, kStart + kSecond);
    log_.OnSent("u", kInstance + 1, kStart, kStart + kSecond);
    const auto lines = capture_->LinesOf("request sent to a withdrawn target");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("request") == "s");
    CPPUNIT_ASSERT(lines[0].at("level") == "warning");
    CPPUNIT_ASSERT(lines[0].at("withdrawn_ms") == 1000);
  }

  void TargetThatIsUsableAgainIsNotWithdrawn() {
    log_.OnNotices({{"t", kInstance, "evacuated"}}, kStart);
    log_.OnNotices({{"t", kInstance, ""}}, kStart);
    log_.OnSent("s", kInstance, kStart, kStart + kSecond);
    CPPUNIT_ASSERT(
        capture_->LinesOf("request sent to a withdrawn target").empty());
  }

  void LinesAreBoundedWithManyRequestsAndChanges() {
    constexpr int kSeconds = 10;
    constexpr int kRequestsPerSecond = 1000;
    constexpr int kRequestsPerChange = 300;
    int due = 0;
    for (int i = 0; i < kSeconds * kRequestsPerSecond; ++i) {
      const absl::Duration at = i * kSecond / kRequestsPerSecond;
      if (i % kRequestsPerChange == 0) {
        Change(2 + i, {MakeRoute("/a/", 2 + i)}, at);
      }
      Fields fields;
      HandledRequest request = Handled(absl::StrCat(i), 3, at);
      request.state.age = kSecond;
      request.has_line = log_.OnEnded(request, fields);
      if (request.has_line) ++due;
      log_.Keep(request);
    }
    constexpr int kChanges =
        kSeconds * kRequestsPerSecond / kRequestsPerChange + 1;
    CPPUNIT_ASSERT(due <= kChanges * LineAllowance::kLinesPerSlot);
    const auto before = static_cast<int>(LinesBefore().size());
    CPPUNIT_ASSERT(before <= kChanges * RequestTrail::kLinesPerChange);
  }

 private:
  /// Writes the lines that wait for their time.
  std::vector<nlohmann::json> LinesBefore() {
    for (size_t i = 0; i < RequestChangeLog::kMaxWaitingLines; ++i) {
      log_.LogBefore();
    }
    return capture_->LinesOf("request before a change");
  }

  /// Keeps the requests `r1` and so on, the last of which ends at the start.
  void KeepRequests(int count, absl::Duration published_age) {
    for (int i = 1; i <= count; ++i) {
      HandledRequest request = Handled(absl::StrCat("r", i), 3,
                                       -absl::Milliseconds(100) * (count - i));
      request.state.age = published_age;
      log_.Keep(request);
    }
  }

  static HandledRequest Handled(const std::string& id, size_t matched_prefix,
                                absl::Duration ended_after_start) {
    HandledRequest request;
    request.id = id;
    request.host = kHost;
    request.path = "/a/x";
    request.matched_prefix = matched_prefix;
    request.config_version = 1;
    request.outcome = "answered";
    request.state.age = absl::Milliseconds(4500);
    request.ended_at = kStart + ended_after_start;
    request.received_at = request.ended_at - absl::Milliseconds(20);
    return request;
  }

  void Change(int64_t version, std::vector<Route> routes,
              absl::Duration at = absl::ZeroDuration()) {
    RouteTable next = Table(version, std::move(routes));
    log_.OnRoutes(&table_, next, kStart + at);
    table_ = std::move(next);
  }

  std::optional<LogCapture> capture_;
  RouteTable table_ = Table(1, {MakeRoute("/a/")});
  RequestChangeLog log_{kBound};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineAllowanceTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RouteChangesTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RequestChangeLogTest);

}  // namespace cherrydyke
