#include "catalogue/config_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "catalogue/host_list_store.h"

namespace cherrydyke {
namespace {

ConfigChange FailureDomainChange(const std::string& name, Revision revision,
                                 bool out_of_service, bool valid = true) {
  return {"failure_domains/" + name, revision,
          valid ? (out_of_service ? R"({"state":"out"})" : R"({"state":"in"})")
                : R"({"state":"maybe"})"};
}

// A history as the platform publishes it: one change per revision.
std::vector<ConfigChange> RandomHistory() {
  std::vector<ConfigChange> history;
  const int length = *rc::gen::inRange(1, 40);
  for (int r = 1; r <= length; ++r) {
    const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
    const int kind = *rc::gen::inRange(0, 6);
    if (kind == 0) {
      history.push_back({"failure_domains/" + name, r, ""});
    } else {
      history.push_back(FailureDomainChange(name, r, kind % 2 == 0, kind != 1));
    }
  }
  return history;
}

// The state given by the newest valid value of each key.
std::map<FailureDomainName, DomainState> ExpectedState(
    const std::vector<ConfigChange>& history) {
  std::map<FailureDomainName, DomainState> state;
  for (const ConfigChange& change : history) {
    const std::string name = change.key.substr(change.key.find('/') + 1);
    if (change.retired()) {
      state.erase(name);
    } else if (change.value.find("maybe") == std::string::npos) {
      state[name] = change.value.find("out") == std::string::npos
                        ? DomainState::kInService
                        : DomainState::kOutOfService;
    }
  }
  return state;
}

std::map<FailureDomainName, DomainState> StateOf(const ConfigStore& store) {
  std::map<FailureDomainName, DomainState> state;
  for (const auto& [name, domain] : store.catalogue()->failure_domains) {
    state[name] = domain.state;
  }
  return state;
}

}  // namespace

class ConfigStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStoreTest);
  CPPUNIT_TEST(PeersConvergeInAnyOrder);
  CPPUNIT_TEST(NeverReverts);
  CPPUNIT_TEST(InvalidChangeKeepsLastValidValue);
  CPPUNIT_TEST(NewProcessGetsLastValidValueFromPeer);
  CPPUNIT_TEST(HostDeltasReproduceTheList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PeersConvergeInAnyOrder() {
    CPPUNIT_ASSERT(rc::check("stores agree in any order of changes", [] {
      const std::vector<ConfigChange> history = RandomHistory();
      const auto newest = static_cast<Revision>(history.size());
      ConfigStore source;
      for (const ConfigChange& change : history) {
        source.Apply({change}, change.revision - 1, change.revision);
      }
      RC_ASSERT(StateOf(source) == ExpectedState(history));
      // The peer gets overlapping and outdated deltas from the source.
      ConfigStore peer;
      const int pulls = *rc::gen::inRange(0, 5);
      for (int i = 0; i < pulls; ++i) {
        const Revision since = *rc::gen::inRange<Revision>(0, newest + 1);
        peer.Apply(source.ChangesSince(since), since, newest);
      }
      peer.Apply(source.ChangesSince(peer.revision()), peer.revision(), newest);
      RC_ASSERT(peer.revision() == newest);
      if (pulls == 0) RC_ASSERT(StateOf(peer) == StateOf(source));
    }));
  }

  void NeverReverts() {
    CPPUNIT_ASSERT(rc::check("an older value never returns", [] {
      const std::vector<ConfigChange> history = RandomHistory();
      ConfigStore store;
      std::map<std::string, Revision> applied;
      const int steps = *rc::gen::inRange(1, 60);
      for (int i = 0; i < steps; ++i) {
        const auto at = *rc::gen::inRange<size_t>(0, history.size());
        const Revision before = store.revision();
        store.Apply({history[at]}, history[at].revision - 1,
                    history[at].revision);
        RC_ASSERT(store.revision() >= before);
        for (const ConfigChange& change : store.ChangesSince(0)) {
          RC_ASSERT(change.revision <= static_cast<Revision>(history.size()));
        }
      }
    }));
  }

  void InvalidChangeKeepsLastValidValue() {
    ConfigStore store;
    store.Apply({FailureDomainChange("a", 1, true)}, 0, 1);
    const auto refused =
        store.Apply({FailureDomainChange("a", 2, false, false)}, 1, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, refused.size());
    CPPUNIT_ASSERT(refused[0].reason.find("failure_domains/a.state") == 0);
    CPPUNIT_ASSERT(store.catalogue()->IsOutOfService("a"));
    CPPUNIT_ASSERT_EQUAL(Revision{2}, store.revision());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, store.Refused().size());
    store.Apply({FailureDomainChange("a", 3, false)}, 2, 3);
    CPPUNIT_ASSERT(!store.catalogue()->IsOutOfService("a"));
    CPPUNIT_ASSERT(store.Refused().empty());
  }

  void NewProcessGetsLastValidValueFromPeer() {
    ConfigStore peer;
    peer.Apply({FailureDomainChange("a", 1, true)}, 0, 1);
    peer.Apply({FailureDomainChange("a", 2, false, false)}, 1, 2);
    ConfigStore fresh;
    // The platform has only the newest value, which is not valid.
    fresh.Apply({FailureDomainChange("a", 2, false, false)}, 0, 2);
    CPPUNIT_ASSERT(!fresh.catalogue()->IsOutOfService("a"));
    // The revisions are equal; only the digest shows the missing value.
    CPPUNIT_ASSERT_EQUAL(peer.revision(), fresh.revision());
    CPPUNIT_ASSERT(peer.digest() != fresh.digest());
    fresh.Apply(peer.ChangesSince(0), 0, 2);
    CPPUNIT_ASSERT_EQUAL(peer.digest(), fresh.digest());
    CPPUNIT_ASSERT(fresh.catalogue()->IsOutOfService("a"));
  }

  void HostDeltasReproduceTheList() {
    CPPUNIT_ASSERT(rc::check("host deltas reproduce the list", [] {
      HostListStore source;
      HostListStore peer;
      const int lists = *rc::gen::inRange(1, 20);
      for (int r = 1; r <= lists; ++r) {
        HostList list;
        list.revision = r;
        for (int h = 0; h < 6; ++h) {
          const int state = *rc::gen::inRange(0, 3);
          if (state == 0) continue;
          list.hosts.push_back({std::to_string(h), HostKind::kEntry, "Sofia",
                                "127.0.0.1",
                                static_cast<HostState>(state - 1)});
        }
        source.ApplyFull(list);
        if (*rc::gen::inRange(0, 2) == 0) {
          peer.ApplyDelta(source.DeltaSince(peer.revision()));
          RC_ASSERT(*peer.list() == *source.list());
        }
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

}  // namespace cherrydyke
