#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/policy.h"
#include "membership/host_table.h"
#include "tier/hedged_calls.h"
#include "tier/pending_proofs.h"
#include "tier/poll_schedule.h"
#include "tier/published_freshness.h"
#include "tier/published_items.h"
#include "tier/publishing_times.h"
#include "tier/round_trip_estimate.h"
#include "tier/transit_time.h"

namespace cherrydyke {

/// Simulates how published changes reach the hosts of a fleet: watches of the
/// store, gossip and transfers between hosts, with links between single hosts
/// cut, watches that fall silent, hosts that the store turns away, frozen and
/// restarted hosts, outages of the store and its return from older copies. The
/// hosts use the tier's own
/// decision code. The model checks that a host in touch with the store misses
/// no change for longer than a bound, and that no host claims to be more
/// current than it is.
class PublishingModel {
 public:
  enum class Reads {
    /// Hosts that peers do not prove to be current read the store themselves.
    kByEvidence,
    /// Hosts believe the roles that peers claim.
    kByRole,
    /// Each host watches the store.
    kEachHost,
  };
  /// What becomes of a call to the store that is late.
  enum class LateCalls {
    /// It goes on, and a second one is made beside it.
    kKept,
    /// It is closed after a fixed time and begun anew.
    kClosed,
  };
  /// Which messages of a link between two hosts are lost.
  enum class Cut { kDatagrams, kTransfers, kBoth };

  struct Options {
    size_t domains = 3;
    int hosts = 8;
    Reads reads = Reads::kByEvidence;
    LateCalls late_calls = LateCalls::kKept;
    /// Time within which a change must reach the hosts in touch.
    absl::Duration bound = absl::Seconds(4);
    /// Mean time between changes; infinite for none.
    absl::Duration change_period = absl::Seconds(1);
    /// Mean time between random faults; infinite for none.
    absl::Duration fault_period = absl::InfiniteDuration();
    bool freezes = true;
    /// Longest time of a datagram on its way.
    absl::Duration max_delay = absl::Milliseconds(40);
    /// How much longer each message takes on late links, and each way on late
    /// paths to the store; random faults include these unless it is zero.
    absl::Duration lateness;
    /// Whether the time on the way counts for the age of proofs.
    bool counts_transit = true;
    /// Whether all links are late from the start.
    bool starts_late = false;
    /// Calls that the fleet may spend on watches. With 0 hosts read by their
    /// roles and by evidence, as those of a large fleet do.
    double watch_calls_per_s = Policy().watch_calls_per_s;
    /// Time for which a host in touch may lack a change, if shorter than the
    /// bound.
    absl::Duration target = absl::InfiniteDuration();
    /// Whether a change that is missed for longer is a violation.
    bool checks_delays = true;
    /// Whether the store comes back from older copies among random faults.
    bool restores = false;
    /// Calls that a listing of the store takes.
    int pages = 1;
  };

  /// What was seen since `StartMeasuring`.
  struct Figures {
    double calls_per_s = 0;
    int max_calls_in_a_second = 0;
    /// Time from a change to each host in touch, sorted. Changes that a host
    /// still lacks count with the time since they were published.
    std::vector<absl::Duration> delays;
    /// Time up to which hosts in touch have proof, as an age, sorted.
    std::vector<absl::Duration> proof_ages;
    int calls = 0;
    /// Hosts that have made them.
    int calling_hosts = 0;
    /// Of these, calls for pages of listings, and the most of one host.
    int listing_calls = 0;
    int max_listing_calls = 0;
    /// Hosts that have listed the store.
    int listing_hosts = 0;
    /// Calls of a host from the first answer of a later era until it watches
    /// the store in that era, these two included, at most.
    int max_calls_until_watch = 0;
    /// Snapshots that hosts have sent to others, and their items.
    int64_t snapshots = 0;
    int64_t snapshot_items = 0;
    /// Time from the store's last return to each host that knows of it, sorted.
    std::vector<absl::Duration> restore_delays;
  };

  PublishingModel(Options options, uint32_t seed);

  /// @return the first violation, or "".
  std::string Run(absl::Duration duration);

  void StartMeasuring();
  Figures Measured();

  void SetChangePeriod(absl::Duration period);
  void StopStore(absl::Duration duration, bool is_silent);
  /// The store ends all watches without a response.
  void EndWatches();
  /// The store ends its watches, refuses calls for a time and comes back from a
  /// copy of that age. What it has lost is published again within a second.
  void RestoreStore(absl::Duration away, absl::Duration copy_age);
  /// Cuts all links between hosts that read the store and other hosts.
  void CutReaders(Cut cut, absl::Duration duration);
  /// All links between hosts are late from now on, each way.
  void DelayAllLinks(absl::Duration duration);
  /// All paths to the store are late from now on, each way. Their hosts are in
  /// touch, unless changes can't be in force in time on such a path.
  void DelayStore(absl::Duration duration);
  /// Cuts all links between the hosts of a failure domain and other hosts.
  void CutDomain(size_t domain, absl::Duration duration);
  /// Cuts all links between hosts.
  void CutAll(Cut cut, absl::Duration duration);
  /// The call of a host gets no response, if one is under way.
  void SilenceWatch(size_t host) { SilenceWatch(*hosts_[host]); }
  /// The response to the call of a host begins, but does not end in time.
  void TrickleResponse(size_t host);

 private:
  struct Fetch {
    int64_t id = 0;
    absl::Time started_at;
  };
  using CallNumber = HedgedCalls::CallNumber;
  struct StoreCall {
    absl::Time started_at;
    absl::Duration wait;
    bool is_list = false;
    SourceEra era;
    /// It gets no response.
    bool is_lost = false;
    /// The response does not end in time.
    bool trickles = false;
  };
  struct Host {
    KnownHost self;
    size_t index = 0;
    int64_t lifetime = 0;
    absl::Time frozen_until;
    /// End of the last fault of the host itself or of its path to the store.
    absl::Time faulty_until;
    /// The store refuses calls, or does not respond to them, until these.
    absl::Time refused_until;
    absl::Time silent_until;
    /// The path to the store is late until this.
    absl::Time late_store_until = absl::InfinitePast();
    int round = 0;
    std::unique_ptr<HostTable> table;
    std::unique_ptr<PublishedFreshness> freshness;
    PublishedItems items;
    PendingProofs proofs;
    std::unique_ptr<TransitTimes> transit;
    /// Of its clock.
    absl::Duration offset;
    absl::Time echo_requested_at;
    // The state of StoreClient.
    PollSchedule schedule;
    bool reading = false;
    bool call_pending = false;
    PublishedVersion as_of;
    SourceEra era;
    bool must_list = false;
    /// Of the listing under way.
    int listed_pages = 0;
    PublishedVersion listed_as_of;
    absl::Time listing_started_at;
    absl::Time read_current_until;
    RoundTripEstimate round_trip;
    std::unique_ptr<HedgedCalls> calls;
    /// Those under way.
    std::map<CallNumber, StoreCall> store_calls;
    /// Whether a connection is open that no call uses.
    bool has_connection = false;
    /// Of the next call that is due after a pause.
    int64_t next_call = 0;
    // The state of FleetGossip.
    std::map<HostId, Fetch> fetches;
    std::map<HostId, absl::Time> excluded_until;
    // What is measured.
    int store_calls_made = 0;
    int listing_calls = 0;
    /// Calls since the first answer of the era, until it watches the store.
    int calls_in_era = 0;
  };
  struct Gossip {
    MembershipUpdate news;
    PublishedVersion version;
    std::vector<ReadProof> proofs;
    TransitStamp stamp;
  };
  struct Watcher {
    size_t host = 0;
    int64_t lifetime = 0;
    CallNumber call = 0;
    PublishedVersion after;
  };
  struct Link {
    absl::Time no_datagrams_until = absl::InfinitePast();
    absl::Time no_transfers_until = absl::InfinitePast();
    absl::Time late_until = absl::InfinitePast();
  };
  using Action = std::function<void()>;
  using HostAction = std::function<void(Host&)>;

  void At(absl::Time at, Action action);
  /// Runs the action at the host unless it has restarted; a frozen host runs it
  /// later.
  void AtHost(const Host& host, absl::Duration delay, HostAction action);
  void RunAtHost(size_t index, int64_t lifetime, int64_t sequence,
                 const HostAction& action);

  void Start(Host& host, absl::Time table_started);
  void IntroduceAllHosts();
  void CheckRole(Host& host);
  void UpdateReaderRole(Host& host);
  bool IsReading(const Host& host) const;
  void RunGossipRound(Host& host);
  void NotifyDownstream(Host& host);
  void SendGossip(Host& host, const std::vector<HostId>& to,
                  std::vector<HostLastSeen> ages);
  void OnGossip(Host& host, const Gossip& gossip);
  void AddProofs(Host& host, const Gossip& gossip);
  void FetchFrom(Host& host, const HostId& peer);
  void EndFetch(Host& host, const HostId& peer, int64_t id,
                const PublishedChanges* changes);
  void Merge(Host& host, const PublishedChanges& changes);
  void ApplyProofs(Host& host);

  void SetReading(Host& host, bool reading);
  void ScheduleNextCall(Host& host, absl::Duration pause);
  void SkipChangesFromPeers(Host& host);
  void Call(Host& host);
  void OnCallAtStore(const Watcher& watcher, absl::Duration wait);
  void Respond(const Watcher& watcher);
  /// @return what the store has for a call. To the revision of an earlier era
  /// it answers as to its own.
  PublishedChanges ChangesAfter(PublishedVersion version) const;
  void OnStoreResponse(Host& host, CallNumber number,
                       const PublishedChanges& changes);
  /// Peers have shown a later era.
  void FollowEraOfPeers(Host& host);
  /// An answer is of a later era.
  void OnEraRaised(Host& host, SourceEra era);
  void OnPage(Host& host, const StoreCall& call, PublishedChanges changes);
  /// @param current_until time before which nothing is missing.
  void OnRead(Host& host, const PublishedChanges& changes,
              absl::Time current_until);
  void OnCallLate(Host& host, CallNumber number);
  void OnCallFailed(Host& host, CallNumber number, bool is_given_up);
  void PauseAfterMissedCall(Host& host);
  /// @return the time after which a call is late.
  absl::Duration LateAfter(const Host& host, absl::Duration floor) const;
  /// @return how late the path to the store is, each way.
  absl::Duration StoreLateness(const Host& host) const;

  void Publish();
  void PublishChange(const std::string& key, const std::string& value,
                     bool removed);
  /// @param copied_until the last revision that the store still has.
  void BeginEra(Revision copied_until);
  void ScheduleChange(int64_t generation);
  void InjectFault();
  void CutLink(size_t from, size_t to, Cut cut, absl::Time until);
  void CutHost(size_t index, Cut cut, bool both_ways, absl::Time until);
  void DelayHost(size_t index, bool both_ways, absl::Time until);
  void DelayStoreOf(Host& host, absl::Time until);
  /// @return how late the link between two hosts is.
  absl::Duration Lateness(size_t from, size_t to) const;
  /// @return whether a call was under way.
  bool SilenceWatch(Host& host);
  void Trace(const std::string& what);
  void Check();
  bool IsInTouch(const Host& host) const;
  /// @return when the first change that the host lacks was published; the
  /// infinite future if it lacks none.
  absl::Time FirstMissing(const Host& host) const;
  absl::Duration Random(absl::Duration low, absl::Duration high);
  bool WithProbability(double probability);

  const Options options_;
  const PublishingTimes times_;
  std::mt19937_64 random_;
  absl::Time now_;
  int64_t sequence_ = 0;
  std::map<std::pair<absl::Time, int64_t>, Action> actions_;
  std::vector<FailureDomainName> domains_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<HostId, size_t> index_of_;
  std::map<std::pair<size_t, size_t>, Link> links_;
  std::map<std::pair<size_t, size_t>, absl::Time> trickling_until_;
  PublishedItems store_;
  /// The changes of the store's present era.
  std::vector<PublishedItem> history_;
  std::vector<absl::Time> published_at_;
  /// By number.
  std::vector<absl::Time> era_began_at_;
  std::map<int64_t, Watcher> watchers_;
  absl::Time store_stable_since_;
  absl::Time lossy_until_;
  absl::Duration change_period_;
  int64_t change_generation_ = 0;
  uint32_t last_incarnation_ = 0;

  std::deque<std::string> trace_;
  std::string violation_;
  absl::Time measured_since_;
  std::vector<absl::Time> calls_;
  std::vector<absl::Duration> delays_;
  std::vector<absl::Duration> proof_ages_;
  int max_calls_until_watch_ = 0;
  int64_t snapshots_ = 0;
  int64_t snapshot_items_ = 0;
  std::vector<absl::Duration> restore_delays_;
};

}  // namespace cherrydyke
