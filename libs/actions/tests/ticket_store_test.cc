#include "actions/ticket_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace cherrydyke {
namespace {

const TicketStore::Scope kScope{"refund", "a0", "t1", "s1"};

bool IsAdmitted(const TicketStore::Admission& admission) {
  return std::holds_alternative<TicketStore::Admitted>(admission);
}

}  // namespace

class TicketStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TicketStoreTest);
  CPPUNIT_TEST(RunsAtMostOnceAcrossRestarts);
  CPPUNIT_TEST(RepeatedRequestGetsRecordedOutcome);
  CPPUNIT_TEST(ExpiredTicketIsNeverRun);
  CPPUNIT_TEST(TicketOfOtherScopeOrIncarnationIsUnknown);
  CPPUNIT_TEST(TextRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAtMostOnceAcrossRestarts() {
    CPPUNIT_ASSERT(rc::check("a ticket runs at most once", [] {
      absl::Time now = absl::UnixEpoch() + absl::Hours(1);
      Incarnation incarnation = 1;
      auto store = std::make_unique<TicketStore>("g", incarnation,
                                                 TicketStore::Options());
      std::vector<Ticket> tickets;
      std::map<std::string, int> runs;
      std::map<std::string, bool> reported_not_run;
      std::vector<Ticket> running;
      const auto steps =
          *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 1000));
      for (const int step : steps) {
        now += absl::Seconds(step % 7);
        const int kind = step % 10;
        if (kind < 3) {
          tickets.push_back(*store->Issue(kScope, now));
        } else if (kind < 7 && !tickets.empty()) {
          const Ticket& ticket = tickets[step % tickets.size()];
          const auto admission = store->Begin(ticket, "refund", "a0", now);
          if (IsAdmitted(admission)) {
            ++runs[ticket.ToString()];
            running.push_back(ticket);
          }
          if (const auto* ended = std::get_if<TicketStore::Ended>(&admission)) {
            if (ended->not_run) reported_not_run[ticket.ToString()] = true;
          }
        } else if (kind < 9 && !running.empty()) {
          store->End(running.back(), {AttemptOutcome::kDone, false, "{}"});
          running.pop_back();
        } else if (step % 50 == 9) {
          store = std::make_unique<TicketStore>("g", ++incarnation,
                                                TicketStore::Options());
          running.clear();
        }
        for (const auto& [ticket, count] : runs) {
          RC_ASSERT(count <= 1);
          RC_ASSERT(!reported_not_run[ticket]);
        }
      }
    }));
  }

  void RepeatedRequestGetsRecordedOutcome() {
    TicketStore store("g", 5, {});
    const Ticket ticket = *store.Issue(kScope, now_);
    CPPUNIT_ASSERT(IsAdmitted(store.Begin(ticket, "refund", "a0", now_)));
    CPPUNIT_ASSERT(std::holds_alternative<TicketStore::Running>(
        store.Begin(ticket, "refund", "a0", now_)));
    store.End(ticket, {AttemptOutcome::kDone, false, "{\"n\":1}"});
    const auto repeated = store.Begin(ticket, "refund", "a0", now_);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"n\":1}"),
                         std::get<TicketStore::Ended>(repeated).result_json);
  }

  void ExpiredTicketIsNeverRun() {
    TicketStore store("g", 5, {});
    const Ticket ticket = *store.Issue(kScope, now_);
    now_ += absl::Seconds(61);
    for (int i = 0; i < 2; ++i) {
      const auto expired = store.Begin(ticket, "refund", "a0", now_);
      CPPUNIT_ASSERT(std::get<TicketStore::Ended>(expired).not_run);
    }
    // Once the record is evicted, the outcome is unknown.
    now_ += absl::Minutes(20);
    const auto evicted = store.Begin(ticket, "refund", "a0", now_);
    CPPUNIT_ASSERT(!std::get<TicketStore::Ended>(evicted).not_run);
  }

  void TicketOfOtherScopeOrIncarnationIsUnknown() {
    TicketStore store("g", 5, {});
    const Ticket ticket = *store.Issue(kScope, now_);
    for (const auto& [entry, key] :
         {std::pair("refund", "b0"), std::pair("other", "a0")}) {
      const auto admission = store.Begin(ticket, entry, key, now_);
      CPPUNIT_ASSERT(std::get<TicketStore::Ended>(admission).outcome ==
                     AttemptOutcome::kUnknownTicket);
    }
    TicketStore restarted("g", 6, {});
    const auto admission = restarted.Begin(ticket, "refund", "a0", now_);
    CPPUNIT_ASSERT(!std::get<TicketStore::Ended>(admission).not_run);
  }

  void TextRoundTrip() {
    const Ticket ticket{"sofia.host-1", 77, 3};
    CPPUNIT_ASSERT(GetValue(Ticket::Parse(ticket.ToString())) == ticket);
    CPPUNIT_ASSERT(rc::check("any text is a ticket or an error", [] {
      Ticket::Parse(*rc::gen::arbitrary<std::string>());
    }));
  }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketStoreTest);

}  // namespace cherrydyke
