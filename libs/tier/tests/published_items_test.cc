#include "tier/published_items.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

namespace cherrydyke {
namespace {

constexpr Revision kLastRevision = 60;
constexpr int kKeys = 8;

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
  items.MergeSnapshot(listed, std::min(first, second));
}

}  // namespace

class PublishedItemsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedItemsTest);
  CPPUNIT_TEST(ListingWhosePagesDifferIsCompleteUpToItsOldestPage);
  CPPUNIT_TEST(WatchMakesUpForPagesThatDiffer);
  CPPUNIT_TEST(KeyRemovedBeforeThePeersListingIsRemoved);
  CPPUNIT_TEST(StaleListingDoesNotBringBackRemovedKeys);
  CPPUNIT_TEST(NoChangeIsMissingUpToWhatIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListingWhosePagesDifferIsCompleteUpToItsOldestPage() {
    PublishedItems items;
    // The removal of "b" at revision 8 came after its page.
    items.MergeSnapshot({{"a", "new", 9, false}, {"b", "old", 5, false}}, 6);
    CPPUNIT_ASSERT_EQUAL(Revision{5}, items.complete_revision());
    CPPUNIT_ASSERT(items.Find("a") != nullptr);
    // Nothing beyond it is told to other hosts as a change.
    CPPUNIT_ASSERT(items.ChangesAfter(6) == (PublishedChanges{{}, 6, false}));
  }

  void WatchMakesUpForPagesThatDiffer() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "new", 9, false}, {"b", "old", 5, false}}, 6);
    items.Merge({{"b", "", 8, true}, {"a", "new", 9, false}}, 9);
    CPPUNIT_ASSERT_EQUAL(Revision{9}, items.complete_revision());
    CPPUNIT_ASSERT(items.Find("b") == nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, items.ChangesAfter(6).items.size());
  }

  // Guards against keeping a target for good that was removed before the peer
  // that tells of later changes had listed the keys (DRAIN).
  void KeyRemovedBeforeThePeersListingIsRemoved() {
    PublishedItems host;
    host.MergeSnapshot({{"a", "", 2, false}, {"b", "", 3, false}}, 3);
    PublishedItems peer;
    // "b" was removed at revision 5.
    peer.MergeSnapshot({{"a", "", 2, false}}, 6);
    peer.Merge({{"c", "", 7, false}}, 7);
    host.Merge(peer.ChangesAfter(host.known_until()));
    CPPUNIT_ASSERT(host.Find("b") == nullptr);
    CPPUNIT_ASSERT(host.Find("a") != nullptr && host.Find("c") != nullptr);
    CPPUNIT_ASSERT(!peer.ChangesAfter(host.known_until()).is_snapshot);
  }

  // Guards against using a removed target again that a stale read still lists,
  // while a peer has told this host of later changes (DRAIN).
  void StaleListingDoesNotBringBackRemovedKeys() {
    PublishedItems host;
    host.Merge({{{"a", "", 2, false}}, 6, true});
    // "b" was removed at revision 5.
    host.MergeSnapshot({{"a", "", 2, false}, {"b", "", 3, false}}, 4);
    CPPUNIT_ASSERT(host.Find("b") == nullptr);
    CPPUNIT_ASSERT_EQUAL(Revision{6}, host.known_until());
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
        const Revision known = host.known_until();
        switch (*rc::gen::inRange(0, known == 0 ? 2 : 4)) {
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
                *rc::gen::inRange<Revision>(known, kLastRevision + 1);
            host.Merge(Events(history, known, until), until);
          }
        }
        RC_ASSERT(host.known_until() >= known);
        RC_ASSERT(host.complete_revision() <= host.known_until());
        CheckKnown(history, host);
      }
    }));
  }

 private:
  static void CheckKnown(const History& history, const PublishedItems& host) {
    for (int key = 0; key < kKeys; ++key) {
      const PublishedItem published = StateOf(history, key, kLastRevision);
      // A later change is told to the host when it comes to know of it.
      if (published.revision > host.known_until()) continue;
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
