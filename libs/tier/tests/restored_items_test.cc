#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tier/published_items.h"

namespace cherrydyke {
namespace {

constexpr int kSteps = 200;
constexpr size_t kHosts = 4;
/// Changes that a copy lacks at most.
constexpr size_t kMaxCopyAge = 25;
constexpr size_t kKeys = 8;
constexpr size_t kEvacuations = 3;

constexpr RestorePolicy kKeepsMissing{true, false};
constexpr RestorePolicy kKeepsRemovals{false, true};

PublishedVersion Before(Revision revision) { return {{1, 0}, revision}; }
PublishedVersion After(Revision revision) { return {{2, 0}, revision}; }
PublishedVersion Later(Revision revision) { return {{2, 1}, revision}; }

using Listing = std::vector<PublishedItem>;
/// The values in force by key.
using InForce = std::map<std::string, std::string>;

size_t Pick(size_t below) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, below));
}

/// The configuration, evacuations and targets, in the order of listings.
std::string KeyName(size_t key) {
  if (key == 0) return "configuration";
  return (key <= kEvacuations ? "evacuation" : "target") + std::to_string(key);
}

/// A configuration service that comes back from older copies. Each revision of
/// an era changes one key.
class RestoredStore {
 public:
  RestoredStore() { Change(0); }

  const SourceEra& era() const { return eras_.back().era; }
  Revision revision() const {
    return static_cast<Revision>(eras_.back().changes.size());
  }
  PublishedVersion version() const { return {era(), revision()}; }
  /// @return the revision of the copy from which the store came back last.
  Revision copied_until() const { return eras_.back().copied_until; }
  size_t lost() const { return lost_.size(); }

  /// The operator or a target changes a key.
  void Change(size_t key) {
    const std::optional<PublishedItem> now = StateAt(era(), key, revision());
    const std::string number = std::to_string(++last_number_);
    if (key == 0) return Write(key, "version " + number, false);
    const bool is_present = now && !now->removed;
    if (key <= kEvacuations) {
      return Write(key, is_present ? "" : "evacuated " + number, is_present);
    }
    const bool is_draining = is_present && now->value.find("draining") == 0;
    if (is_draining) return Write(key, "", true);
    Write(key, (is_present ? "draining " : "serving ") + number, false);
  }

  /// Comes back from a copy that lacks the last changes.
  void Restore(size_t lacking, bool is_stated) {
    const Era before = eras_.back();
    const size_t kept =
        before.changes.size() - std::min(before.changes.size() - 1, lacking);
    Era after = before;
    after.era =
        is_stated ? SourceEra{before.era.stated + 1, 0} : before.era.Next();
    after.copied_until = static_cast<Revision>(kept);
    after.changes.resize(kept);
    after.times.resize(kept);
    for (size_t i = kept; i < before.changes.size(); ++i) {
      lost_[before.changes[i].key] = before.changes[i];
    }
    eras_.push_back(std::move(after));
  }

  /// Whoever published a key that was lost does so again.
  void WriteAgain(size_t index) {
    const auto lost = std::next(lost_.begin(), static_cast<ptrdiff_t>(index));
    PublishedItem item = lost->second;
    lost_.erase(lost);
    Append(std::move(item));
  }

  /// @return the last revision of an era.
  Revision LastOf(const SourceEra& era) const {
    return static_cast<Revision>(Find(era).changes.size());
  }
  /// @return the change of a revision, or null.
  const PublishedItem* ChangeAt(PublishedVersion version) const {
    const auto& changes = Find(version.era).changes;
    const auto index = static_cast<size_t>(version.revision) - 1;
    return index < changes.size() ? &changes[index] : nullptr;
  }
  /// @return a number that grows with each change, over all eras.
  int64_t TimeOf(PublishedVersion version) const {
    return Find(version.era).times[static_cast<size_t>(version.revision) - 1];
  }
  /// @return when a key was removed last up to a version; 0 if it was not, as
  /// the removal is one that a later page of a listing has shown.
  int64_t TimeOfRemoval(const std::string& key,
                        PublishedVersion version) const {
    int64_t time = 0;
    for (const PublishedItem& change :
         Events(version.era, 0, version.revision)) {
      if (change.key != key || !change.removed) continue;
      time = TimeOf({version.era, change.revision});
    }
    return time;
  }

  /// @return the changes of an era in a range of revisions, the first excluded.
  Listing Events(const SourceEra& era, Revision after, Revision until) const {
    const auto& changes = Find(era).changes;
    return {changes.begin() + after, changes.begin() + until};
  }
  /// @return the last change of a key in an era up to a revision, if any.
  std::optional<PublishedItem> StateAt(const SourceEra& era, size_t key,
                                       Revision at) const {
    const auto& changes = Find(era).changes;
    for (Revision i = at; i > 0; --i) {
      const PublishedItem& change = changes[static_cast<size_t>(i - 1)];
      if (change.key == KeyName(key)) return change;
    }
    return std::nullopt;
  }
  /// Adds the present keys of a range at a revision.
  void List(Revision at, size_t first, size_t end, Listing& listing) const {
    for (size_t key = first; key < end; ++key) {
      std::optional<PublishedItem> state = StateAt(era(), key, at);
      if (state && !state->removed) listing.push_back(*std::move(state));
    }
  }

 private:
  struct Era {
    SourceEra era;
    Revision copied_until = 0;
    Listing changes;
    /// When each of them was made.
    std::vector<int64_t> times;
  };

  const Era& Find(const SourceEra& era) const {
    return *std::find_if(eras_.begin(), eras_.end(),
                         [&](const Era& other) { return other.era == era; });
  }
  void Write(size_t key, std::string value, bool removed) {
    const std::string name = KeyName(key);
    lost_.erase(name);
    Append({name, std::move(value), 0, removed});
  }
  void Append(PublishedItem item) {
    item.revision = revision() + 1;
    eras_.back().changes.push_back(std::move(item));
    eras_.back().times.push_back(++time_);
  }

  std::vector<Era> eras_ = std::vector<Era>(1);
  std::map<std::string, PublishedItem> lost_;
  int64_t last_number_ = 0;
  int64_t time_ = 0;
};

/// A replica, and what must hold for it whatever it is told.
class Replica {
 public:
  explicit Replica(RestorePolicy policy) : policy_(policy), items_(policy) {}

  const PublishedItems& items() const { return items_; }
  PublishedVersion known_until() const { return items_.known_until(); }

  void Merge(const RestoredStore& store, const PublishedChanges& changes) {
    const std::map<std::string, PublishedItem> replica = items_.items();
    const PublishedVersion known = known_until();
    const InForce in_force = View();
    const bool has_changed = items_.Merge(changes);
    RC_ASSERT(known_until() >= known);
    RC_ASSERT(items_.complete_revision() <= known_until().revision);
    const bool is_of_other_era =
        changes.as_of.era < known.era ||
        (changes.as_of.era > known.era && !changes.is_snapshot);
    if (is_of_other_era) {
      RC_ASSERT(known_until() == known);
      RC_ASSERT(items_.items() == replica);
      RC_ASSERT(!has_changed);
    }
    if (known_until().era != known.era) {
      begun_at_ = known_until();
      CheckBeginOfEra(store, known, replica, in_force);
    }
    RC_ASSERT((has_changed || View() == in_force));
    Check(store);
  }

  void EndRetention() {
    const InForce in_force = View();
    const bool has_changed = items_.EndRetention();
    RC_ASSERT((has_changed || View() == in_force));
    RC_ASSERT(items_.retained() == 0U);
    before_era_.clear();
    CheckInForceAsPublished();
  }

  void CheckEquals(const RestoredStore& store) const {
    RC_ASSERT(known_until() == store.version());
    Listing published;
    store.List(store.revision(), 0, kKeys, published);
    Listing known;
    for (const auto& [key, item] : items_.items()) {
      if (!item.removed) known.push_back(item);
    }
    RC_ASSERT(known == published);
  }

 private:
  /// @return what is in force, in which both ways to read it agree.
  InForce View() const {
    InForce view;
    std::string last;
    items_.ForEach([&](const PublishedItem& item) {
      RC_ASSERT(!item.removed);
      RC_ASSERT(last < item.key);
      last = item.key;
      view[item.key] = item.value;
    });
    for (size_t key = 0; key < kKeys; ++key) {
      const PublishedItem* const found = items_.Find(KeyName(key));
      const auto visited = view.find(KeyName(key));
      RC_ASSERT((found != nullptr) == (visited != view.end()));
      RC_ASSERT((found == nullptr || found->value == visited->second));
    }
    return view;
  }

  void CheckBeginOfEra(const RestoredStore& store, PublishedVersion known,
                       const std::map<std::string, PublishedItem>& replica,
                       const InForce& in_force) {
    before_era_ = in_force;
    const InForce now = View();
    for (const auto& [key, value] : in_force) {
      if (items_.items().count(key) > 0) continue;
      RC_ASSERT((now.count(key) > 0) == policy_.keeps_missing);
    }
    if (!policy_.keeps_removals) return;
    for (const auto& [key, item] : replica) {
      if (in_force.count(key) > 0) continue;
      if (item.removed) {
        removed_at_[key] = store.TimeOfRemoval(key, {known.era, item.revision});
      }
      if (now.count(key) == 0) continue;
      const Revision published = items_.items().at(key).revision;
      RC_ASSERT(store.TimeOf({known_until().era, published}) >
                removed_at_.at(key));
    }
  }

  void Check(const RestoredStore& store) const {
    for (size_t key = 0; key < kKeys; ++key) {
      CheckReplica(store, key);
      CheckInForce(KeyName(key));
    }
  }
  void CheckReplica(const RestoredStore& store, size_t key) const {
    const PublishedVersion known = known_until();
    const auto found = items_.items().find(KeyName(key));
    const bool has_item = found != items_.items().end();
    const bool is_present = has_item && !found->second.removed;
    if (is_present) {
      const PublishedItem* const change =
          store.ChangeAt({known.era, found->second.revision});
      RC_ASSERT((change != nullptr && *change == found->second));
    }
    const auto last = store.StateAt(known.era, key, store.LastOf(known.era));
    // The host is told of a later change when it comes to know of it.
    if (last && last->revision > known.revision) return;
    RC_ASSERT((is_present == (last && !last->removed)));
    RC_ASSERT((!is_present || *last == found->second));
  }
  void CheckInForce(const std::string& key) const {
    const auto found = items_.items().find(key);
    const bool has_item = found != items_.items().end();
    const bool is_present = has_item && !found->second.removed;
    const PublishedItem* const in_force = items_.Find(key);
    if (in_force == nullptr
            ? !is_present
            : is_present && in_force->value == found->second.value) {
      return;
    }
    // Retained: as it was before the era, and not changed in it.
    RC_ASSERT((!has_item || found->second.revision <= begun_at_.revision));
    const bool is_retained = in_force == nullptr
                                 ? policy_.keeps_removals
                                 : policy_.keeps_missing && !has_item;
    RC_ASSERT(is_retained);
    const auto before = before_era_.find(key);
    RC_ASSERT((in_force != nullptr) == (before != before_era_.end()));
    RC_ASSERT((in_force == nullptr || in_force->value == before->second));
  }
  void CheckInForceAsPublished() const {
    InForce published;
    for (const auto& [key, item] : items_.items()) {
      if (!item.removed) published[key] = item.value;
    }
    RC_ASSERT(View() == published);
  }

  RestorePolicy policy_;
  PublishedItems items_;
  /// What was in force before the era began, while it may be retained.
  InForce before_era_;
  /// When the keys were removed that were not in force before the era.
  std::map<std::string, int64_t> removed_at_;
  PublishedVersion begun_at_;
};

/// Hosts that read a store which comes back from older copies, and fetch from
/// each other, while answers come late and in any order and hosts restart.
class FleetOfRestoredReplicas {
 public:
  FleetOfRestoredReplicas() {
    for (size_t i = 0; i < kHosts; ++i) hosts_.push_back(NewHost(0));
  }

  void Step() {
    Host& host = hosts_[Pick(hosts_.size())];
    switch (Pick(16)) {
      case 0:
      case 1:
      case 2:
        return store_.Change(Pick(kKeys));
      case 3:
      case 4:
        if (store_.lost() > 0) store_.WriteAgain(Pick(store_.lost()));
        return;
      case 5:
        if (Pick(3) == 0) store_.Restore(Pick(kMaxCopyAge), Pick(2) == 0);
        return;
      case 6:
      case 7:
      case 8:
        return Read(host);
      case 9:
      case 10:
        questions_.push_back({IndexOf(host), host.lifetime, Pick(hosts_.size()),
                              host.items.known_until()});
        return;
      case 11:
        return Serve();
      case 12:
        if (Pick(4) == 0) host.items.EndRetention();
        if (Pick(8) == 0) host = NewHost(host.lifetime + 1);
        return;
      default:
        return Deliver();
    }
  }

  /// What is under way arrives, one host reads, and the others fetch from one
  /// that is current.
  void Settle() {
    while (!answers_.empty()) Deliver();
    Host& reader = hosts_.front();
    while (reader.items.known_until() != store_.version()) {
      Read(reader);
      while (!answers_.empty()) Deliver();
    }
    std::vector<size_t> current = {0};
    for (size_t i = 1; i < hosts_.size(); ++i) {
      Replica& host = hosts_[i].items;
      const Replica& peer = hosts_[current[Pick(current.size())]].items;
      host.Merge(store_, peer.items().ChangesAfter(host.known_until()));
      current.push_back(i);
    }
    for (Host& host : hosts_) {
      host.items.CheckEquals(store_);
      host.items.EndRetention();
    }
  }

 private:
  struct Host {
    Replica items;
    int lifetime = 0;
    bool is_reading = false;
    /// What its reads of the store have got up to.
    PublishedVersion read_until;
    /// A listing of which the first page has been read.
    std::optional<PublishedChanges> first_page;
    /// What was known when the last listing began.
    PublishedItems known;
  };
  /// A question to a peer that has not been served.
  struct Question {
    size_t host = 0;
    int lifetime = 0;
    size_t peer = 0;
    PublishedVersion from;
  };
  /// An answer of the store or a peer on its way.
  struct Answer {
    size_t host = 0;
    int lifetime = 0;
    PublishedChanges changes;
    bool is_read = false;
    /// What was known when the last listing began.
    PublishedItems known;
  };

  static Host NewHost(int lifetime) {
    const size_t policy = Pick(4);
    Replica items({(policy & 1) != 0, (policy & 2) != 0});
    return {std::move(items), lifetime, false, {}, {}, PublishedItems()};
  }
  size_t IndexOf(const Host& host) const {
    return static_cast<size_t>(&host - hosts_.data());
  }

  void Read(Host& host) {
    if (host.first_page) return ReadSecondPage(host);
    if (std::exchange(host.is_reading, true)) return;
    const bool is_known =
        host.read_until.era == store_.era() && host.read_until.revision > 0;
    if (is_known && Pick(6) > 0) return Watch(host);
    PublishedChanges page;
    page.is_snapshot = true;
    page.as_of = store_.version();
    host.known = host.items.items();
    const size_t pages = 1 + Pick(2);
    store_.List(store_.revision(), 0, kKeys / pages, page.items);
    if (pages == 1) return Send(host, std::move(page));
    host.first_page = std::move(page);
  }
  void ReadSecondPage(Host& host) {
    PublishedChanges listing = *std::exchange(host.first_page, std::nullopt);
    if (listing.as_of.era != store_.era()) {
      host.is_reading = false;
      return;
    }
    store_.List(store_.revision(), kKeys / 2, kKeys, listing.items);
    Send(host, std::move(listing));
  }
  void Watch(Host& host) {
    // A host that changes of a peer have reached goes on after these.
    const PublishedVersion known = host.items.known_until();
    if (known.era == host.read_until.era && Pick(2) == 0) {
      host.read_until = std::max(host.read_until, known);
    }
    const Revision after = host.read_until.revision;
    const auto until = static_cast<Revision>(
        after + Pick(static_cast<size_t>(store_.revision() - after + 1)));
    Send(host, {store_.Events(store_.era(), after, until),
                {store_.era(), until},
                false});
  }
  void Send(const Host& host, PublishedChanges changes) {
    answers_.push_back(
        {IndexOf(host), host.lifetime, std::move(changes), true, host.known});
  }

  void Serve() {
    if (questions_.empty()) return;
    const size_t index = Pick(questions_.size());
    const Question question = questions_[index];
    questions_.erase(questions_.begin() + static_cast<ptrdiff_t>(index));
    answers_.push_back(
        {question.host, question.lifetime,
         hosts_[question.peer].items.items().ChangesAfter(question.from), false,
         PublishedItems()});
  }

  void Deliver() {
    if (answers_.empty()) return;
    const size_t index = Pick(answers_.size());
    const Answer answer = std::move(answers_[index]);
    answers_.erase(answers_.begin() + static_cast<ptrdiff_t>(index));
    Host& host = hosts_[answer.host];
    if (host.lifetime != answer.lifetime) return;
    // Whether a listing of another era contradicts is up to its revisions.
    if (answer.is_read && answer.changes.is_snapshot &&
        answer.changes.as_of.era == answer.known.known_until().era) {
      RC_ASSERT(!answer.known.IsContradictedBy(answer.changes.items,
                                               answer.known.known_until()));
    }
    host.items.Merge(store_, answer.changes);
    if (!answer.is_read) return;
    host.is_reading = false;
    host.read_until = std::max(host.read_until, answer.changes.as_of);
  }

  RestoredStore store_;
  std::vector<Host> hosts_;
  std::vector<Question> questions_;
  std::vector<Answer> answers_;
};

}  // namespace

/// Replicas of a configuration service that comes back from older copies.
class RestoredItemsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredItemsTest);
  CPPUNIT_TEST(MissingKeysStayInForceUntilTheyChange);
  CPPUNIT_TEST(RemovalsHoldUntilTheKeyIsPublishedAgain);
  CPPUNIT_TEST(RetainedItemsOutliveASecondRestore);
  CPPUNIT_TEST(WithoutAPolicyTheCopyIsInForceAtOnce);
  CPPUNIT_TEST(PeersAreToldWhatTheStoreHas);
  CPPUNIT_TEST(EarlierErasAreDropped);
  CPPUNIT_TEST(ChangesOfALaterEraWaitForItsSnapshot);
  CPPUNIT_TEST(FindsListingsThatContradictWhatIsKnown);
  CPPUNIT_TEST(LaterListingsContradictNothing);
  CPPUNIT_TEST(ListingIsJudgedByWhatWasKnownAtItsBegin);
  CPPUNIT_TEST(ReplicasFollowAStoreThatComesBackFromOlderCopies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MissingKeysStayInForceUntilTheyChange() {
    PublishedItems items(kKeepsMissing);
    items.MergeSnapshot({{"a", "1", 4, false}, {"b", "1", 7, false}},
                        Before(9));
    CPPUNIT_ASSERT(!items.MergeSnapshot({}, After(3)));
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 b=1"), InForceIn(items));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, items.retained());
    // Revisions are assigned again.
    CPPUNIT_ASSERT(
        items.Merge({{"a", "", 4, true}, {"b", "2", 5, false}}, After(5)));
    CPPUNIT_ASSERT_EQUAL(std::string("b=2"), InForceIn(items));
    CPPUNIT_ASSERT(!items.EndRetention());
  }

  void RemovalsHoldUntilTheKeyIsPublishedAgain() {
    PublishedItems items(kKeepsRemovals);
    items.MergeSnapshot({{"a", "1", 1, false}, {"b", "1", 2, false}},
                        Before(2));
    items.Merge({{"a", "", 6, true}, {"b", "", 7, true}}, Before(8));
    items.MergeSnapshot({{"a", "1", 1, false}, {"b", "1", 2, false}}, After(3));
    CPPUNIT_ASSERT_EQUAL(std::string(), InForceIn(items));
    CPPUNIT_ASSERT(items.Merge({{"a", "2", 4, false}}, After(4)));
    CPPUNIT_ASSERT_EQUAL(std::string("a=2"), InForceIn(items));
    CPPUNIT_ASSERT(items.EndRetention());
    CPPUNIT_ASSERT_EQUAL(std::string("a=2 b=1"), InForceIn(items));
  }

  void RetainedItemsOutliveASecondRestore() {
    PublishedItems missing(kKeepsMissing);
    missing.MergeSnapshot({{"a", "1", 7, false}}, Before(9));
    missing.MergeSnapshot({{"b", "1", 4, false}}, After(4));
    missing.MergeSnapshot({}, Later(3));
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 b=1"), InForceIn(missing));
    PublishedItems removed(kKeepsRemovals);
    removed.MergeSnapshot({{"a", "1", 1, false}}, Before(1));
    removed.Merge({{"a", "", 7, true}}, Before(7));
    removed.MergeSnapshot({{"a", "1", 1, false}}, After(4));
    removed.MergeSnapshot({{"a", "1", 1, false}}, Later(3));
    CPPUNIT_ASSERT_EQUAL(std::string(), InForceIn(removed));
  }

  void WithoutAPolicyTheCopyIsInForceAtOnce() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "1", 1, false}, {"b", "1", 7, false}},
                        Before(7));
    items.Merge({{"a", "", 8, true}}, Before(8));
    CPPUNIT_ASSERT(items.MergeSnapshot({{"a", "1", 1, false}}, After(3)));
    CPPUNIT_ASSERT_EQUAL(std::string("a=1"), InForceIn(items));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, items.retained());
  }

  void PeersAreToldWhatTheStoreHas() {
    PublishedItems items(kKeepsMissing);
    items.MergeSnapshot({{"a", "1", 4, false}, {"b", "1", 7, false}},
                        Before(9));
    items.MergeSnapshot({{"a", "1", 4, false}}, After(5));
    const PublishedChanges told{{{"a", "1", 4, false}}, After(5), true};
    CPPUNIT_ASSERT(items.ChangesAfter(Before(9)) == told);
    CPPUNIT_ASSERT(items.ChangesAfter(Before(2)) == told);
    CPPUNIT_ASSERT(items.ChangesAfter(After(5)) ==
                   (PublishedChanges{{}, After(5), false}));
  }

  void EarlierErasAreDropped() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "1", 1, false}}, After(1));
    CPPUNIT_ASSERT(!items.Merge({{"b", "1", 8, false}}, Before(9)));
    CPPUNIT_ASSERT(!items.MergeSnapshot({{"b", "1", 8, false}}, Before(9)));
    CPPUNIT_ASSERT(items.known_until() == After(1));
    CPPUNIT_ASSERT_EQUAL(std::string("a=1"), InForceIn(items));
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, items.dropped());
  }

  void ChangesOfALaterEraWaitForItsSnapshot() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "1", 1, false}}, Before(9));
    CPPUNIT_ASSERT(!items.Merge({{"b", "1", 3, false}}, After(3)));
    CPPUNIT_ASSERT(items.known_until() == Before(9));
    CPPUNIT_ASSERT_EQUAL(std::string("a=1"), InForceIn(items));
  }

  void FindsListingsThatContradictWhatIsKnown() {
    const PublishedItems items = KnownItems();
    const auto contradicts = [&](const PublishedItem& item) {
      return items.IsContradictedBy({item}, Before(9));
    };
    CPPUNIT_ASSERT(contradicts({"a", "0", 1, false}));
    CPPUNIT_ASSERT(contradicts({"a", "other", 2, false}));
    CPPUNIT_ASSERT(contradicts({"a", "2", 8, false}));
    CPPUNIT_ASSERT(contradicts({"removed", "1", 3, false}));
    CPPUNIT_ASSERT(contradicts({"removed", "2", 8, false}));
    CPPUNIT_ASSERT(contradicts({"unknown", "1", 9, false}));
    CPPUNIT_ASSERT(items.IsContradictedBy(
        {{"a", "1", 2, false}, {"b", "other", 5, false}}, Before(9)));
  }

  void LaterListingsContradictNothing() {
    const PublishedItems items = KnownItems();
    const Listing same = {{"a", "1", 2, false}, {"b", "1", 5, false}};
    const Listing later = {{"a", "2", 10, false},
                           {"removed", "2", 11, false},
                           {"unknown", "1", 12, false}};
    CPPUNIT_ASSERT(!items.IsContradictedBy(same, Before(9)));
    CPPUNIT_ASSERT(!items.IsContradictedBy(later, Before(9)));
    CPPUNIT_ASSERT(!items.IsContradictedBy({}, Before(9)));
    // It began before this host was told of the last changes.
    CPPUNIT_ASSERT(
        !items.IsContradictedBy({{"removed", "1", 3, false}}, Before(6)));
    CPPUNIT_ASSERT(
        !items.IsContradictedBy({{"a", "other", 1, false}}, After(9)));
  }

  // A later page of a peer's listing lacked the key: it is removed as of the
  // first page, which the page of this host's listing may equal.
  void ListingIsJudgedByWhatWasKnownAtItsBegin() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "1", 5, false}}, Before(10));
    const PublishedItems at_begin = items;
    items.MergeSnapshot({}, Before(10));
    CPPUNIT_ASSERT_EQUAL(std::string(), InForceIn(items));
    CPPUNIT_ASSERT(!at_begin.IsContradictedBy({{"a", "1", 5, false}},
                                              at_begin.known_until()));
  }

  void ReplicasFollowAStoreThatComesBackFromOlderCopies() {
    CPPUNIT_ASSERT(rc::check("restores, and answers late and in any order", [] {
      FleetOfRestoredReplicas fleet;
      for (int step = 0; step < kSteps; ++step) fleet.Step();
      fleet.Settle();
    }));
  }

 private:
  static PublishedItems KnownItems() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "1", 2, false}, {"removed", "1", 3, false}},
                        Before(4));
    items.Merge({{"b", "1", 5, false}, {"removed", "", 7, true}}, Before(9));
    return items;
  }
  static std::string InForceIn(const PublishedItems& items) {
    std::string text;
    items.ForEach([&](const PublishedItem& item) {
      text += (text.empty() ? "" : " ") + item.key + "=" + item.value;
    });
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredItemsTest);

}  // namespace cherrydyke
