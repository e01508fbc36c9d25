#include "tier/published_items.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cherrydyke {
namespace {

constexpr Revision kLastRevision = 60;
constexpr int kKeys = 8;

PublishedVersion At(Revision revision) { return {{}, revision}; }

// The history of a configuration service: each revision changes one key.
using History = std::vector<PublishedItem>;

rc::Gen<History> Histories() {
  return rc::gen::map(
      rc::gen::container<std::vector<std::pair<int, bool>>>(
          kLastRevision,
          rc::gen::pair(rc::gen::inRange(0, kKeys),
                        rc::gen::map(rc::gen::inRange(0, 3),
                                     [](int draw) { return draw == 0; }))),
      [](const std::vector<std::pair<int, bool>>& changes) {
        History history;
        for (const auto& [key, removed] : changes) {
          const auto revision = static_cast<Revision>(history.size() + 1);
          history.push_back({std::string(1, static_cast<char>('a' + key)),
                             removed ? "" : std::to_string(revision), revision,
                             removed});
        }
        return history;
      });
}

// @return the state of one key at a revision; revision 0 if it never existed.
PublishedItem StateOf(const History& history, int key, Revision at) {
  PublishedItem state{std::string(1, static_cast<char>('a' + key)), "", 0,
                      true};
  for (const PublishedItem& change : history) {
    if (change.key == state.key && change.revision <= at) state = change;
  }
  return state;
}

// A service's response to a watch.
std::vector<PublishedItem> Events(const History& history, Revision after,
                                  Revision until) {
  return {history.begin() + after, history.begin() + until};
}

// Lists the keys in two pages, each as of its own revision.
void List(const History& history, Revision first, Revision second,
          PublishedItems& items) {
  std::vector<PublishedItem> listed;
  for (int key = 0; key < kKeys; ++key) {
    PublishedItem state =
        StateOf(history, key, key < kKeys / 2 ? first : second);
    if (!state.removed) listed.push_back(std::move(state));
  }
  items.MergeSnapshot(listed, At(std::min(first, second)));
}

/// Hosts that read a service and fetch from each other, while answers come
/// late and in any order and hosts restart.
class FleetOfReplicas {
 public:
  explicit FleetOfReplicas(const History& history) : history_(history) {}

  void Step() {
    Host& host = hosts_[Pick(hosts_.size())];
    switch (Pick(12)) {
      case 0:
        StartListing(host);
        break;
      case 1:
      case 2:
      case 3:
        if (host.read_until > 0) StartWatch(host);
        break;
      case 4:
      case 5:
        Ask(host);
        break;
      case 6:
      case 7:
        Serve();
        break;
      case 8:
        if (Pick(6) == 0)
          host = {PublishedItems(), host.lifetime + 1, 0, false, {}};
        break;
      default:
        Deliver();
        break;
    }
  }

  /// Checks what must hold for each host after each step.
  void Check(const std::function<void(const PublishedItems&)>& check_known) {
    for (Host& host : hosts_) {
      RC_ASSERT(host.items.complete_revision() <=
                host.items.known_until().revision);
      check_known(host.items);
      for (const auto& [key, item] : host.items.items()) {
        Revision& newest = host.newest[key];
        RC_ASSERT(item.revision >= newest);
        newest = item.revision;
      }
    }
  }

 private:
  struct Host {
    PublishedItems items;
    int lifetime = 0;
    /// What its reads of the service have got up to, and whether one is under
    /// way.
    Revision read_until = 0;
    bool is_reading = false;
    std::map<std::string, Revision> newest;
  };
  /// A question to a peer that has not been served.
  struct Question {
    size_t host = 0;
    int lifetime = 0;
    size_t peer = 0;
    PublishedVersion from;
  };
  /// An answer of the service or a peer on its way.
  struct Answer {
    size_t host = 0;
    int lifetime = 0;
    PublishedChanges changes;
    bool is_read = false;
  };

  static size_t Pick(size_t below) {
    return *rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<size_t>(0, below));
  }
  size_t IndexOf(const Host& host) const {
    return static_cast<size_t>(&host - hosts_.data());
  }

  // Each page is as of its own revision, and any of them may be stale.
  void StartListing(Host& host) {
    if (std::exchange(host.is_reading, true)) return;
    PublishedChanges changes;
    changes.is_snapshot = true;
    changes.as_of = At(kLastRevision);
    const auto pages = static_cast<int>(1 + Pick(4));
    for (int page = 0; page < pages; ++page) {
      const auto revision = static_cast<Revision>(1 + Pick(kLastRevision));
      changes.as_of = std::min(changes.as_of, At(revision));
      for (int key = page * kKeys / pages; key < (page + 1) * kKeys / pages;
           ++key) {
        PublishedItem state = StateOf(history_, key, revision);
        if (!state.removed) changes.items.push_back(std::move(state));
      }
    }
    answers_.push_back(
        {IndexOf(host), host.lifetime, std::move(changes), true});
  }

  void StartWatch(Host& host) {
    if (std::exchange(host.is_reading, true)) return;
    const auto until = static_cast<Revision>(
        host.read_until +
        Pick(static_cast<size_t>(kLastRevision - host.read_until + 1)));
    answers_.push_back(
        {IndexOf(host),
         host.lifetime,
         {Events(history_, host.read_until, until), At(until), false},
         true});
  }

  void Ask(const Host& host) {
    questions_.push_back({IndexOf(host), host.lifetime, Pick(hosts_.size()),
                          host.items.known_until()});
  }

  void Serve() {
    if (questions_.empty()) return;
    const size_t index = Pick(questions_.size());
    const Question question = questions_[index];
    questions_.erase(questions_.begin() + static_cast<ptrdiff_t>(index));
    PublishedChanges changes =
        hosts_[question.peer].items.ChangesAfter(question.from);
    if (question.from == PublishedVersion()) changes.is_snapshot = true;
    answers_.push_back(
        {question.host, question.lifetime, std::move(changes), false});
  }

  void Deliver() {
    if (answers_.empty()) return;
    const size_t index = Pick(answers_.size());
    const Answer answer = std::move(answers_[index]);
    answers_.erase(answers_.begin() + static_cast<ptrdiff_t>(index));
    Host& host = hosts_[answer.host];
    if (host.lifetime != answer.lifetime) return;
    const PublishedVersion known = host.items.known_until();
    host.items.Merge(answer.changes);
    RC_ASSERT(host.items.known_until() >= known);
    if (!answer.is_read) return;
    host.is_reading = false;
    host.read_until = std::max(host.read_until, answer.changes.as_of.revision);
  }

  const History& history_;
  std::vector<Host> hosts_ = std::vector<Host>(3);
  std::vector<Question> questions_;
  std::vector<Answer> answers_;
};

}  // namespace

class PublishedItemsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedItemsTest);
  CPPUNIT_TEST(ListingWhosePagesDifferIsCompleteUpToItsOldestPage);
  CPPUNIT_TEST(WatchMakesUpForPagesThatDiffer);
  CPPUNIT_TEST(KeyRemovedBeforeThePeersListingIsRemoved);
  CPPUNIT_TEST(StaleListingDoesNotBringBackRemovedKeys);
  CPPUNIT_TEST(KeyPublishedAgainOnALaterPageIsInForceAtOnce);
  CPPUNIT_TEST(NoChangeIsMissingUpToWhatIsKnown);
  CPPUNIT_TEST(LateAnswersNeitherHideNorUndoAChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListingWhosePagesDifferIsCompleteUpToItsOldestPage() {
    PublishedItems items;
    // The removal of "b" at revision 8 came after its page.
    items.MergeSnapshot({{"a", "new", 9, false}, {"b", "old", 5, false}},
                        At(6));
    CPPUNIT_ASSERT_EQUAL(Revision{5}, items.complete_revision());
    CPPUNIT_ASSERT(items.Find("a") != nullptr);
    // Nothing beyond it is told to other hosts as a change.
    CPPUNIT_ASSERT(items.ChangesAfter(At(6)) ==
                   (PublishedChanges{{}, At(6), false}));
  }

  void WatchMakesUpForPagesThatDiffer() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "new", 9, false}, {"b", "old", 5, false}},
                        At(6));
    items.Merge({{"b", "", 8, true}, {"a", "new", 9, false}}, At(9));
    CPPUNIT_ASSERT_EQUAL(Revision{9}, items.complete_revision());
    CPPUNIT_ASSERT(items.Find("b") == nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, items.ChangesAfter(At(6)).items.size());
  }

  // Guards against keeping a target for good that was removed before the peer
  // that tells of later changes had listed the keys (DRAIN).
  void KeyRemovedBeforeThePeersListingIsRemoved() {
    PublishedItems host;
    host.MergeSnapshot({{"a", "", 2, false}, {"b", "", 3, false}}, At(3));
    PublishedItems peer;
    // "b" was removed at revision 5.
    peer.MergeSnapshot({{"a", "", 2, false}}, At(6));
    peer.Merge({{"c", "", 7, false}}, At(7));
    host.Merge(peer.ChangesAfter(host.known_until()));
    CPPUNIT_ASSERT(host.Find("b") == nullptr);
    CPPUNIT_ASSERT(host.Find("a") != nullptr && host.Find("c") != nullptr);
    CPPUNIT_ASSERT(!peer.ChangesAfter(host.known_until()).is_snapshot);
  }

  // Guards against using a removed target again that a stale read still lists,
  // while a peer has told this host of later changes (DRAIN).
  void StaleListingDoesNotBringBackRemovedKeys() {
    PublishedItems host;
    host.Merge({{{"a", "", 2, false}}, At(6), true});
    // "b" was removed at revision 5.
    host.MergeSnapshot({{"a", "", 2, false}, {"b", "", 3, false}}, At(4));
    CPPUNIT_ASSERT(host.Find("b") == nullptr);
    CPPUNIT_ASSERT(host.known_until() == At(6));
  }

  // Guards against a target that stays unused though it has registered again
  // since the store came back: the watch that goes on from the first page of
  // the listing does not change the key any more.
  void KeyPublishedAgainOnALaterPageIsInForceAtOnce() {
    PublishedItems items(RestorePolicy{false, true});
    items.MergeSnapshot({{"a", "old", 1, false}}, At(1));
    items.Merge({{"a", "", 9, true}}, At(9));
    const SourceEra era{1, 0};
    items.MergeSnapshot({{"a", "new", 5, false}}, {era, 4});
    CPPUNIT_ASSERT(items.Find("a") != nullptr);
    items.Merge({{"a", "new", 5, false}}, {era, 5});
    CPPUNIT_ASSERT(items.Find("a") != nullptr);
  }

  // Guards against hosts that take a change for known which they lack: none
  // would ever tell them of it again (DRAIN).
  void NoChangeIsMissingUpToWhatIsKnown() {
    CPPUNIT_ASSERT(rc::check("hosts that list, watch and ask each other", [] {
      const History history = *Histories();
      constexpr size_t kHosts = 3;
      std::vector<PublishedItems> hosts(kHosts);
      for (int step = 0; step < 30; ++step) {
        PublishedItems& host = hosts[*rc::gen::inRange<size_t>(0, kHosts)];
        const PublishedVersion known = host.known_until();
        switch (*rc::gen::inRange(0, known.revision == 0 ? 2 : 4)) {
          case 0:
            List(history, *rc::gen::inRange<Revision>(1, kLastRevision),
                 *rc::gen::inRange<Revision>(1, kLastRevision), host);
            break;
          case 1: {
            const auto peer = *rc::gen::inRange<size_t>(0, kHosts);
            host.Merge(hosts[peer].ChangesAfter(known));
            break;
          }
          default: {
            const auto until =
                *rc::gen::inRange<Revision>(known.revision, kLastRevision + 1);
            host.Merge(Events(history, known.revision, until), At(until));
          }
        }
        RC_ASSERT(host.known_until() >= known);
        RC_ASSERT(host.complete_revision() <= host.known_until().revision);
        CheckKnown(history, host);
      }
    }));
  }

  // Guards against a configuration that is taken for current, or comes back
  // older, after a transfer that was overtaken by a listing, a watch or another
  // transfer (CONFIG, HOME).
  void LateAnswersNeitherHideNorUndoAChange() {
    CPPUNIT_ASSERT(rc::check("answers come late and hosts restart", [] {
      const History history = *Histories();
      FleetOfReplicas fleet(history);
      for (int step = 0; step < 150; ++step) {
        fleet.Step();
        fleet.Check(
            [&](const PublishedItems& items) { CheckKnown(history, items); });
      }
    }));
  }

 private:
  static void CheckKnown(const History& history, const PublishedItems& host) {
    for (int key = 0; key < kKeys; ++key) {
      const PublishedItem published = StateOf(history, key, kLastRevision);
      // A later change is told to the host when it comes to know of it.
      if (At(published.revision) > host.known_until()) continue;
      const auto known = host.items().find(published.key);
      if (known == host.items().end()) {
        RC_ASSERT(published.removed);
      } else {
        RC_ASSERT(known->second.removed == published.removed);
        RC_ASSERT(published.removed || known->second == published);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedItemsTest);

}  // namespace cherrydyke
