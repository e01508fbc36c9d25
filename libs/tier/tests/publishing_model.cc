#include "publishing_model.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

// The settings of FleetGossip.
constexpr absl::Duration kGossipPeriod = absl::Milliseconds(500);
constexpr absl::Duration kLagTolerance = absl::Milliseconds(700);
constexpr absl::Duration kFailedPeerPause = absl::Seconds(1);
constexpr absl::Duration kFetchTimeout = absl::Seconds(1);
constexpr absl::Duration kWholeFetchTimeout = absl::Seconds(10);
constexpr size_t kMaxFetches = 3;
constexpr absl::Duration kEchoRequestPeriod = absl::Milliseconds(250);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
/// Longest time until a reader lists all keys in a later era, of StoreClient.
constexpr absl::Duration kMaxListingDelay = absl::Milliseconds(100);
/// The watch of StoreClient before hosts used evidence.
constexpr absl::Duration kLongWatchTime = absl::Milliseconds(2500);

/// A host whose faults are over for so long is in touch.
constexpr absl::Duration kSettleTime = absl::Seconds(5);
constexpr absl::Duration kCheckPeriod = absl::Milliseconds(100);
constexpr absl::Duration kMinTrip = absl::Milliseconds(1);
constexpr absl::Duration kMaxTrip = absl::Milliseconds(20);
constexpr double kUsualLoss = 0.01;
constexpr double kLossOfLossyNetwork = 0.3;
/// Hosts that pass on a proof.
constexpr int kMaxHops = 3;
constexpr int kKeyCount = 20;
constexpr size_t kSeedCount = 3;
constexpr size_t kTraceLines = 25;
/// Kinds of random faults, without and with late links.
constexpr uint32_t kFaultKindsInTime = 11;
constexpr uint32_t kFaultKinds = 15;
/// Random returns of the store from older copies, among random faults.
constexpr double kRestores = 0.15;
constexpr absl::Duration kMaxAway = absl::Seconds(2);
constexpr absl::Duration kMaxCopyAge = absl::Seconds(6);
/// Time within which what was lost is published again.
constexpr absl::Duration kPublishAgain = absl::Seconds(1);

std::string Format(absl::Time time) {
  return absl::FormatTime("%M:%E3S", time, absl::UTCTimeZone());
}

}  // namespace

PublishingModel::PublishingModel(Options options, uint32_t seed)
    : options_(options),
      times_(PublishingTimes::For(options.bound)),
      random_(seed),
      now_(absl::UnixEpoch() + absl::Hours(1)),
      store_stable_since_(now_),
      lossy_until_(now_),
      change_period_(options.change_period),
      measured_since_(now_) {
  for (size_t i = 0; i < options_.domains; ++i) {
    domains_.push_back(absl::StrCat("d", i));
  }
  for (int i = 0; i < options_.hosts; ++i) {
    auto host = std::make_unique<Host>();
    host->index = hosts_.size();
    host->self = {absl::StrCat("10.0.", i / 250, ".", i % 250 + 1),
                  domains_[host->index % domains_.size()]};
    host->frozen_until = host->faulty_until = now_;
    host->refused_until = host->silent_until = absl::InfinitePast();
    index_of_[host->self.host] = host->index;
    hosts_.push_back(std::move(host));
  }
  era_began_at_.push_back(now_);
  if (options_.starts_late) DelayAllLinks(absl::InfiniteDuration());
  Publish();
  // The fleet runs for long already; its hosts know each other.
  for (const auto& host : hosts_) Start(*host, now_ - absl::Hours(1));
  IntroduceAllHosts();
  ScheduleChange(change_generation_);
  At(now_ + kSettleTime, [this] { Check(); });
  if (options_.fault_period != absl::InfiniteDuration()) {
    At(now_ + 2 * kSettleTime, [this] { InjectFault(); });
  }
}

absl::Duration PublishingModel::Random(absl::Duration low,
                                       absl::Duration high) {
  return low +
         (high - low) * std::uniform_real_distribution<double>(0, 1)(random_);
}

bool PublishingModel::WithProbability(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void PublishingModel::At(absl::Time at, Action action) {
  actions_.emplace(std::make_pair(std::max(at, now_), ++sequence_),
                   std::move(action));
}

void PublishingModel::AtHost(const Host& host, absl::Duration delay,
                             HostAction action) {
  const int64_t sequence = ++sequence_;
  actions_.emplace(std::make_pair(now_ + delay, sequence),
                   [this, index = host.index, lifetime = host.lifetime,
                    sequence, action = std::move(action)] {
                     RunAtHost(index, lifetime, sequence, action);
                   });
}

void PublishingModel::RunAtHost(size_t index, int64_t lifetime,
                                int64_t sequence, const HostAction& action) {
  Host& host = *hosts_[index];
  if (host.lifetime != lifetime) return;
  if (now_ < host.frozen_until) {
    actions_.emplace(std::make_pair(host.frozen_until, sequence),
                     [this, index, lifetime, sequence, action] {
                       RunAtHost(index, lifetime, sequence, action);
                     });
    return;
  }
  action(host);
}

std::string PublishingModel::Run(absl::Duration duration) {
  const absl::Time end = now_ + duration;
  while (violation_.empty() && actions_.begin()->first.first <= end) {
    auto node = actions_.extract(actions_.begin());
    now_ = node.key().first;
    node.mapped()();
  }
  now_ = end;
  return violation_;
}

void PublishingModel::Start(Host& host, absl::Time table_started) {
  ++host.lifetime;
  std::vector<HostId> seeds;
  for (size_t i = 0; i < kSeedCount; ++i) {
    seeds.push_back(hosts_[random_() % hosts_.size()]->self.host);
  }
  HostTable::Options options;
  options.domains = domains_;
  options.reader_allowance = ReaderAllowance(options_.watch_calls_per_s,
                                             PollSchedule::MaxCallsPerSecond());
  host.table =
      std::make_unique<HostTable>(host.self, seeds, options, table_started);
  PublishedFreshness::Options freshness;
  freshness.max_peer_age = Random(times_.min_peer_age, times_.max_peer_age);
  freshness.retry_pause =
      Random(times_.min_retry_pause, times_.max_retry_pause);
  freshness.self = static_cast<uint32_t>(StableHash(host.self.host));
  host.freshness = std::make_unique<PublishedFreshness>(freshness, now_);
  host.items = PublishedItems();
  host.proofs = {};
  host.transit = std::make_unique<TransitTimes>(++last_incarnation_);
  host.offset = absl::Hours(last_incarnation_);
  host.echo_requested_at = absl::InfinitePast();
  host.schedule = {};
  host.reading = false;
  host.call_pending = true;
  host.as_of = {};
  host.era = {};
  host.must_list = false;
  host.listed_pages = 0;
  host.calls_in_era = 0;
  host.read_current_until = now_;
  host.round_trip = {};
  host.calls = std::make_unique<HedgedCalls>(
      HedgedCalls::Options{times_.patience, times_.max_patience});
  host.store_calls.clear();
  host.has_connection = false;
  host.fetches.clear();
  host.excluded_until.clear();
  AtHost(host, Random(kMinTrip, kGossipPeriod), [this](Host& started) {
    Call(started);
    RunGossipRound(started);
    CheckRole(started);
  });
}

void PublishingModel::IntroduceAllHosts() {
  MembershipUpdate news;
  news.known_hosts = static_cast<int>(hosts_.size());
  for (const auto& host : hosts_) {
    news.hosts.push_back({host->self.host, host->self.failure_domain, 0});
  }
  for (const auto& host : hosts_) {
    news.from = hosts_[(host->index + 1) % hosts_.size()]->self;
    host->table->OnMembershipUpdate(news, now_);
  }
}

void PublishingModel::CheckRole(Host& host) {
  UpdateReaderRole(host);
  AtHost(host, times_.check_period, [this](Host& same) { CheckRole(same); });
}

void PublishingModel::UpdateReaderRole(Host& host) {
  const bool was_reading = IsReading(host);
  bool reads = true;
  if (options_.reads != Reads::kEachHost) {
    reads = host.table->ShouldRead(host.items.complete_revision() == 0, now_) ||
            (options_.reads == Reads::kByEvidence &&
             host.freshness->ShouldReadItself(now_));
  }
  host.schedule.OnPeerRead(host.freshness->peers_read_since());
  SetReading(host, reads);
  if (IsReading(host) && !was_reading) NotifyDownstream(host);
}

bool PublishingModel::IsReading(const Host& host) const {
  return host.reading && host.as_of.revision > 0 &&
         !host.schedule.last_call_failed();
}

void PublishingModel::RunGossipRound(Host& host) {
  const bool includes_hosts = host.table->ShouldSendDigest(host.round++, now_);
  if (includes_hosts) {
    SendGossip(host, host.table->GossipPeers(now_, random_),
               host.table->BuildDigest(now_, random_));
  }
  const std::vector<HostId> downstream =
      host.table->Recipients(host.table->Role(IsReading(host), now_), now_);
  SendGossip(host, downstream,
             includes_hosts && !downstream.empty()
                 ? host.table->BuildDigest(now_, random_)
                 : std::vector<HostLastSeen>());
  AtHost(host, kGossipPeriod, [this](Host& same) { RunGossipRound(same); });
}

void PublishingModel::NotifyDownstream(Host& host) {
  SendGossip(
      host,
      host.table->Recipients(host.table->Role(IsReading(host), now_), now_),
      {});
}

void PublishingModel::SendGossip(Host& host, const std::vector<HostId>& to,
                                 std::vector<HostLastSeen> ages) {
  if (to.empty()) return;
  Gossip gossip;
  gossip.news = {host.self, host.table->known_hosts(),
                 host.table->Role(IsReading(host), now_), std::move(ages)};
  gossip.version = host.items.known_until();
  gossip.proofs = host.freshness->ProofsForPeers(now_);
  for (const HostId& id : to) {
    const Host& peer = *hosts_[index_of_.at(id)];
    const auto link = links_.find({host.index, peer.index});
    if (link != links_.end() && now_ < link->second.no_datagrams_until)
      continue;
    if (options_.counts_transit) {
      gossip.stamp = host.transit->StampFor(id, now_ + host.offset);
    }
    if (WithProbability(now_ < lossy_until_ ? kLossOfLossyNetwork : kUsualLoss))
      continue;
    AtHost(
        peer,
        Random(kMinTrip, options_.max_delay) + Lateness(host.index, peer.index),
        [this, gossip](Host& receiver) { OnGossip(receiver, gossip); });
  }
}

void PublishingModel::OnGossip(Host& host, const Gossip& gossip) {
  const KnownHost& sender = gossip.news.from;
  if (host.table->OnMembershipUpdate(gossip.news, now_)) {
    SendGossip(host, {sender.host}, host.table->BuildDigest(now_, random_));
  }
  AddProofs(host, gossip);
  ApplyProofs(host);
  if (gossip.version <= host.items.known_until()) return;
  const bool is_other_domain =
      sender.failure_domain != host.self.failure_domain;
  const bool waits = host.items.complete_revision() > 0 &&
                     (IsReading(host) ||
                      (is_other_domain && host.table->HasDomainReader(now_)));
  if (!waits || now_ - host.proofs.behind_since() >= kLagTolerance) {
    FetchFrom(host, sender.host);
  }
}

void PublishingModel::AddProofs(Host& host, const Gossip& gossip) {
  const HostId& sender = gossip.news.from.host;
  const TransitTime transit =
      host.transit->OnMessage(sender, gossip.stamp, now_ + host.offset);
  if (options_.counts_transit && !transit.is_bounded &&
      now_ - host.echo_requested_at >= kEchoRequestPeriod) {
    host.echo_requested_at = now_;
    SendGossip(host, {sender}, {});
  }
  host.proofs.Add({sender, gossip.version,
                   transit.time ? gossip.proofs : std::vector<ReadProof>()},
                  now_ - transit.time.value_or(absl::ZeroDuration()));
}

void PublishingModel::ApplyProofs(Host& host) {
  host.proofs.Apply(host.items.known_until(), *host.freshness);
}

void PublishingModel::FetchFrom(Host& host, const HostId& peer) {
  const auto excluded = host.excluded_until.find(peer);
  if (excluded != host.excluded_until.end() && now_ < excluded->second) return;
  if (host.fetches.count(peer) > 0 || host.fetches.size() >= kMaxFetches)
    return;
  for (const auto& [other, fetch] : host.fetches) {
    if (now_ - fetch.started_at < kLagTolerance) return;
  }
  const int64_t id = ++sequence_;
  host.fetches[peer] = {id, now_};
  const Host& source = *hosts_[index_of_.at(peer)];
  const std::pair<size_t, size_t> way = {host.index, source.index};
  const std::pair<size_t, size_t> back = {source.index, host.index};
  const auto fail = [this, peer, id](Host& same) {
    EndFetch(same, peer, id, nullptr);
  };
  const auto trickling = trickling_until_.find(way);
  if (trickling != trickling_until_.end() && now_ < trickling->second) {
    return AtHost(host, kWholeFetchTimeout, fail);
  }
  const auto is_cut = [this](const std::pair<size_t, size_t>& direction) {
    const auto link = links_.find(direction);
    return link != links_.end() && now_ < link->second.no_transfers_until;
  };
  if (is_cut(way) || is_cut(back)) {
    return AtHost(host, WithProbability(0.5) ? kConnectTimeout : kFetchTimeout,
                  fail);
  }
  AtHost(host, kFetchTimeout, fail);
  const PublishedVersion from = host.items.known_until();
  AtHost(source,
         Random(kMinTrip, kMaxTrip) + Lateness(host.index, source.index),
         [this, peer, id, from, is_cut, way, back, index = host.index,
          lifetime = host.lifetime](Host& serving) {
           if (is_cut(way) || is_cut(back)) return;
           Host& asking = *hosts_[index];
           if (asking.lifetime != lifetime) return;
           PublishedChanges changes = serving.items.ChangesAfter(from);
           if (changes.is_snapshot) {
             ++snapshots_;
             snapshot_items_ += static_cast<int64_t>(changes.items.size());
           }
           AtHost(asking,
                  Random(kMinTrip, kMaxTrip) +
                      Lateness(serving.index, asking.index),
                  [this, peer, id, changes = std::move(changes)](Host& same) {
                    EndFetch(same, peer, id, &changes);
                  });
         });
}

void PublishingModel::EndFetch(Host& host, const HostId& peer, int64_t id,
                               const PublishedChanges* changes) {
  const auto fetch = host.fetches.find(peer);
  if (fetch == host.fetches.end() || fetch->second.id != id) return;
  host.fetches.erase(fetch);
  if (changes == nullptr) {
    host.excluded_until[peer] = now_ + kFailedPeerPause;
    return;
  }
  Merge(host, *changes);
  ApplyProofs(host);
  NotifyDownstream(host);
}

void PublishingModel::Merge(Host& host, const PublishedChanges& changes) {
  const PublishedVersion before = host.items.known_until();
  host.items.Merge(changes);
  const PublishedVersion after = host.items.known_until();
  if (after.era != before.era) {
    if (before.revision > 0 && after.era == store_.known_until().era) {
      restore_delays_.push_back(now_ - era_began_at_.back());
    }
    return;
  }
  if (before.revision == 0 || after.era != store_.known_until().era ||
      !IsInTouch(host)) {
    return;
  }
  for (Revision known = before.revision; known < after.revision; ++known) {
    const absl::Time published = published_at_[static_cast<size_t>(known)];
    if (published >= measured_since_) delays_.push_back(now_ - published);
  }
}

void PublishingModel::SetReading(Host& host, bool reading) {
  if (reading == host.reading) return;
  host.reading = reading;
  if (!reading || host.call_pending) return;
  host.call_pending = true;
  SkipChangesFromPeers(host);
  ScheduleNextCall(host, absl::ZeroDuration());
}

void PublishingModel::SkipChangesFromPeers(Host& host) {
  FollowEraOfPeers(host);
  host.as_of = std::max(host.as_of, host.items.known_until());
}

void PublishingModel::ScheduleNextCall(Host& host, absl::Duration pause) {
  AtHost(host, pause, [this, next = ++host.next_call](Host& same) {
    if (same.next_call != next) return;
    same.call_pending = same.reading;
    if (!same.call_pending) return;
    FollowEraOfPeers(same);
    if (same.schedule.last_call_failed()) SkipChangesFromPeers(same);
    Call(same);
  });
}

absl::Duration PublishingModel::LateAfter(const Host& host,
                                          absl::Duration floor) const {
  return options_.late_calls == LateCalls::kClosed
             ? floor
             : host.round_trip.LateAfter(floor, times_.max_response);
}

absl::Duration PublishingModel::StoreLateness(const Host& host) const {
  return now_ < host.late_store_until ? options_.lateness
                                      : absl::ZeroDuration();
}

void PublishingModel::Call(Host& host) {
  if (const auto replaced = host.calls->MakeRoom()) {
    host.store_calls.erase(*replaced);
  }
  absl::Duration wait = kLongWatchTime;
  if (options_.reads == Reads::kByEvidence) {
    wait = absl::Floor(std::clamp(host.read_current_until + times_.watch - now_,
                                  times_.min_watch, times_.watch),
                       absl::Milliseconds(1));
  }
  const bool is_list = host.must_list || host.as_of.revision == 0;
  if (is_list) {
    wait = absl::ZeroDuration();
    ++host.listing_calls;
  }
  if (host.calls_in_era > 0) {
    max_calls_until_watch_ =
        std::max(max_calls_until_watch_, ++host.calls_in_era);
    if (!is_list) host.calls_in_era = 0;
  }
  calls_.push_back(now_);
  ++host.store_calls_made;
  const CallNumber call = host.calls->OnStarted(now_);
  host.store_calls[call] = {now_, wait, is_list, host.era};
  const absl::Duration lateness = StoreLateness(host);
  const absl::Duration connect = std::exchange(host.has_connection, false)
                                     ? absl::ZeroDuration()
                                     : 2 * lateness;
  absl::Duration late_after = wait + LateAfter(host, times_.response);
  const absl::Duration connects_late_after = LateAfter(host, times_.connect);
  if (connect > connects_late_after) {
    late_after = std::min(late_after, connects_late_after);
  }
  AtHost(host, late_after,
         [this, call](Host& same) { OnCallLate(same, call); });
  AtHost(host, wait + host.calls->patience(),
         [this, call](Host& same) { OnCallFailed(same, call, true); });
  if (now_ < host.refused_until) {
    const auto on_refusal = [this, call](Host& same) {
      // The connection is kept.
      same.has_connection = true;
      OnCallFailed(same, call, false);
    };
    return AtHost(host, connect + Random(kMinTrip, kMaxTrip) + 2 * lateness,
                  on_refusal);
  }
  if (now_ < host.silent_until) return;
  At(now_ + connect + Random(kMinTrip, kMaxTrip) + lateness,
     [this,
      watcher = Watcher{host.index, host.lifetime, call,
                        is_list ? PublishedVersion() : host.as_of},
      wait] { OnCallAtStore(watcher, wait); });
}

void PublishingModel::OnCallAtStore(const Watcher& watcher,
                                    absl::Duration wait) {
  if (wait == absl::ZeroDuration() || store_.known_until() > watcher.after) {
    return Respond(watcher);
  }
  const int64_t id = ++sequence_;
  watchers_[id] = watcher;
  At(now_ + wait, [this, id] {
    const auto found = watchers_.find(id);
    if (found == watchers_.end()) return;
    const Watcher ended = found->second;
    watchers_.erase(found);
    Respond(ended);
  });
}

void PublishingModel::Respond(const Watcher& watcher) {
  Host& host = *hosts_[watcher.host];
  const auto call = host.store_calls.find(watcher.call);
  if (host.lifetime != watcher.lifetime || call == host.store_calls.end()) {
    return;
  }
  if (now_ < host.refused_until || now_ < host.silent_until) return;
  if (call->second.is_lost) return;
  if (call->second.trickles) {
    // The response has begun in time.
    const auto late = [this, number = watcher.call](Host& same) {
      if (const auto same_call = same.store_calls.find(number);
          same_call != same.store_calls.end()) {
        same_call->second.trickles = false;
        OnCallLate(same, number);
      }
    };
    return AtHost(host, kMinTrip + times_.receive, late);
  }
  AtHost(host, Random(kMinTrip, kMaxTrip) + StoreLateness(host),
         [this, number = watcher.call, changes = ChangesAfter(watcher.after)](
             Host& same) { OnStoreResponse(same, number, changes); });
}

PublishedChanges PublishingModel::ChangesAfter(PublishedVersion version) const {
  const PublishedVersion now = store_.known_until();
  if (version.revision == 0 || version.era == now.era) {
    return store_.ChangesAfter(version);
  }
  const auto first = static_cast<ptrdiff_t>(
      std::min<Revision>(version.revision, now.revision));
  return {{history_.begin() + first, history_.end()}, now, false};
}

void PublishingModel::OnStoreResponse(Host& host, CallNumber number,
                                      const PublishedChanges& changes) {
  const auto found = host.store_calls.find(number);
  if (found == host.store_calls.end()) return;
  const StoreCall call = found->second;
  FollowEraOfPeers(host);
  const SourceEra era = changes.as_of.era;
  if (era < host.era || (era == host.era && call.era != era)) {
    return OnCallFailed(host, number, false);
  }
  host.calls->OnAnswered(number);
  host.store_calls.clear();
  host.has_connection = true;
  host.call_pending = true;
  const absl::Duration round_trip = now_ - call.started_at - call.wait;
  host.round_trip =
      call.is_list || changes.items.empty()
          ? host.round_trip.AfterSample(round_trip)
          : host.round_trip.AfterBounds(round_trip, round_trip + call.wait);
  if (era > host.era) {
    OnEraRaised(host, era);
    if (host.must_list && (!call.is_list || host.listed_pages > 0)) {
      host.listed_pages = 0;
      return ScheduleNextCall(host,
                              Random(absl::ZeroDuration(), kMaxListingDelay));
    }
  }
  host.schedule.OnSuccess();
  if (call.is_list) return OnPage(host, call, changes);
  const absl::Time end = call.started_at + call.wait;
  const bool is_whole_watch = changes.items.empty() && now_ >= end;
  OnRead(host, changes, is_whole_watch ? end : call.started_at);
  ScheduleNextCall(host, changes.items.empty()
                             ? absl::ZeroDuration()
                             : host.schedule.PauseAfterChanges(now_));
}

void PublishingModel::FollowEraOfPeers(Host& host) {
  const PublishedVersion known = host.items.known_until();
  if (known.era <= host.era) return;
  host.era = known.era;
  host.as_of = known;
}

void PublishingModel::OnEraRaised(Host& host, SourceEra era) {
  host.era = era;
  // The first answer of all.
  if (std::max(host.as_of, host.items.known_until()).revision == 0) return;
  host.must_list = true;
  host.calls_in_era = 1;
}

void PublishingModel::OnPage(Host& host, const StoreCall& call,
                             PublishedChanges changes) {
  if (host.listed_pages++ == 0) {
    host.listed_as_of = changes.as_of;
    host.listing_started_at = call.started_at;
  }
  if (host.listed_pages < options_.pages) return Call(host);
  host.listed_pages = 0;
  host.must_list = false;
  changes.as_of = host.listed_as_of;
  OnRead(host, changes, host.listing_started_at);
  ScheduleNextCall(host, absl::ZeroDuration());
}

void PublishingModel::OnRead(Host& host, const PublishedChanges& changes,
                             absl::Time current_until) {
  host.as_of = std::max(host.as_of, changes.as_of);
  const PublishedVersion before = host.items.known_until();
  Merge(host, changes);
  host.read_current_until = std::max(host.read_current_until, current_until);
  host.freshness->OnRead(host.read_current_until);
  ApplyProofs(host);
  if (host.items.known_until() > before) UpdateReaderRole(host);
  NotifyDownstream(host);
}

void PublishingModel::OnCallLate(Host& host, CallNumber number) {
  const auto call = host.store_calls.find(number);
  if (call == host.store_calls.end() || call->second.trickles) return;
  if (options_.late_calls == LateCalls::kClosed) {
    return OnCallFailed(host, number, false);
  }
  host.calls->OnLate(number);
  PauseAfterMissedCall(host);
}

void PublishingModel::OnCallFailed(Host& host, CallNumber number,
                                   bool is_given_up) {
  const auto call = host.store_calls.find(number);
  if (call == host.store_calls.end() || call->second.trickles) return;
  host.store_calls.erase(call);
  const HedgedCalls::Failure failure = is_given_up
                                           ? host.calls->OnGivenUp(number)
                                           : host.calls->OnFailed(number);
  if (!failure.was_late) PauseAfterMissedCall(host);
}

void PublishingModel::PauseAfterMissedCall(Host& host) {
  host.freshness->OnReadFailed(now_);
  UpdateReaderRole(host);
  ScheduleNextCall(
      host, host.schedule.PauseAfterFailure(
                now_, std::uniform_real_distribution<double>(0, 1)(random_)));
}

void PublishingModel::Publish() {
  const std::string key = absl::StrCat("key", random_() % kKeyCount);
  PublishChange(key, absl::StrCat(history_.size() + 1), WithProbability(0.1));
}

void PublishingModel::PublishChange(const std::string& key,
                                    const std::string& value, bool removed) {
  const PublishedVersion version = {store_.known_until().era,
                                    store_.known_until().revision + 1};
  history_.push_back({key, value, version.revision, removed});
  store_.Merge({history_.back()}, version);
  published_at_.push_back(now_);
  const std::map<int64_t, Watcher> watchers = std::exchange(watchers_, {});
  for (const auto& [id, watcher] : watchers) {
    Respond(watcher);
  }
}

void PublishingModel::EndWatches() {
  const std::map<int64_t, Watcher> watchers = std::exchange(watchers_, {});
  for (const auto& [id, watcher] : watchers) {
    Host& host = *hosts_[watcher.host];
    if (host.lifetime != watcher.lifetime) continue;
    AtHost(host, Random(kMinTrip, kMaxTrip),
           [this, number = watcher.call](Host& same) {
             OnCallFailed(same, number, false);
           });
  }
}

void PublishingModel::RestoreStore(absl::Duration away,
                                   absl::Duration copy_age) {
  StopStore(away, false);
  EndWatches();
  const auto copied = std::upper_bound(published_at_.begin(),
                                       published_at_.end(), now_ - copy_age) -
                      published_at_.begin();
  At(now_ + away, [this, copied_until = std::max<Revision>(copied, 1)] {
    // Another return may have taken more.
    BeginEra(std::min(copied_until, store_.known_until().revision));
  });
}

void PublishingModel::BeginEra(Revision copied_until) {
  const SourceEra era = {store_.known_until().era.stated + 1, 0};
  std::map<std::string, PublishedItem> copy;
  std::map<std::string, PublishedItem> lost;
  for (const PublishedItem& change : history_) {
    (change.revision <= copied_until ? copy : lost)[change.key] = change;
  }
  history_.resize(static_cast<size_t>(copied_until));
  published_at_.resize(static_cast<size_t>(copied_until));
  era_began_at_.push_back(now_);
  std::vector<PublishedItem> items;
  for (const auto& [key, item] : copy) items.push_back(item);
  store_.MergeSnapshot(items, {era, copied_until});
  for (const auto& [key, item] : lost) {
    At(now_ + Random(absl::ZeroDuration(), kPublishAgain), [this, item = item] {
      PublishChange(item.key, item.value, item.removed);
    });
  }
}

void PublishingModel::SetChangePeriod(absl::Duration period) {
  change_period_ = period;
  ScheduleChange(++change_generation_);
}

void PublishingModel::ScheduleChange(int64_t generation) {
  if (change_period_ == absl::InfiniteDuration()) return;
  At(now_ + change_period_ * 2 *
                std::uniform_real_distribution<double>(0, 1)(random_),
     [this, generation] {
       if (generation != change_generation_) return;
       Publish();
       ScheduleChange(generation);
     });
}

void PublishingModel::StopStore(absl::Duration duration, bool is_silent) {
  const absl::Time until = now_ + duration;
  for (const auto& host : hosts_) {
    absl::Time& fault = is_silent ? host->silent_until : host->refused_until;
    fault = std::max(fault, until);
  }
  store_stable_since_ = std::max(store_stable_since_, until);
}

void PublishingModel::CutLink(size_t from, size_t to, Cut cut,
                              absl::Time until) {
  Link& link = links_[{from, to}];
  if (cut != Cut::kTransfers) link.no_datagrams_until = until;
  if (cut != Cut::kDatagrams) link.no_transfers_until = until;
}

void PublishingModel::CutHost(size_t index, Cut cut, bool both_ways,
                              absl::Time until) {
  for (size_t other = 0; other < hosts_.size(); ++other) {
    if (other == index) continue;
    CutLink(index, other, cut, until);
    if (both_ways) CutLink(other, index, cut, until);
  }
}

void PublishingModel::DelayHost(size_t index, bool both_ways,
                                absl::Time until) {
  for (size_t other = 0; other < hosts_.size(); ++other) {
    if (other == index) continue;
    links_[{index, other}].late_until = until;
    if (both_ways) links_[{other, index}].late_until = until;
  }
}

void PublishingModel::DelayStoreOf(Host& host, absl::Time until) {
  host.late_store_until = until;
  if (2 * (options_.lateness + kMaxTrip) <= times_.max_response) return;
  host.faulty_until = std::max(host.faulty_until, until);
}

absl::Duration PublishingModel::Lateness(size_t from, size_t to) const {
  const auto link = links_.find({from, to});
  const bool is_late = link != links_.end() && now_ < link->second.late_until;
  return is_late ? options_.lateness : absl::ZeroDuration();
}

void PublishingModel::DelayAllLinks(absl::Duration duration) {
  for (const auto& host : hosts_)
    DelayHost(host->index, false, now_ + duration);
}

void PublishingModel::DelayStore(absl::Duration duration) {
  for (const auto& host : hosts_) DelayStoreOf(*host, now_ + duration);
}

void PublishingModel::CutReaders(Cut cut, absl::Duration duration) {
  for (const auto& host : hosts_) {
    if (!IsReading(*host)) continue;
    CutHost(host->index, cut, true, now_ + duration);
  }
}

void PublishingModel::CutDomain(size_t domain, absl::Duration duration) {
  for (const auto& host : hosts_) {
    for (const auto& other : hosts_) {
      const bool is_inside = host->self.failure_domain == domains_[domain];
      if (is_inside == (other->self.failure_domain == domains_[domain])) {
        continue;
      }
      CutLink(host->index, other->index, Cut::kBoth, now_ + duration);
    }
  }
}

void PublishingModel::CutAll(Cut cut, absl::Duration duration) {
  for (const auto& host : hosts_) {
    CutHost(host->index, cut, false, now_ + duration);
  }
}

bool PublishingModel::SilenceWatch(Host& host) {
  for (auto& [number, call] : host.store_calls) call.is_lost = true;
  return !host.store_calls.empty();
}

void PublishingModel::TrickleResponse(size_t host) {
  for (auto& [number, call] : hosts_[host]->store_calls) call.trickles = true;
}

void PublishingModel::Trace(const std::string& what) {
  trace_.push_back(absl::StrCat(Format(now_), " ", what));
  if (trace_.size() > kTraceLines) trace_.pop_front();
}

void PublishingModel::InjectFault() {
  At(now_ + options_.fault_period * 2 *
                std::uniform_real_distribution<double>(0, 1)(random_),
     [this] { InjectFault(); });
  const absl::Duration duration =
      Random(absl::Milliseconds(300), absl::Seconds(20));
  const absl::Time until = now_ + duration;
  Host& host = *hosts_[random_() % hosts_.size()];
  // Half of the faults concern a host that others rely on.
  std::vector<size_t> readers;
  for (const auto& candidate : hosts_) {
    if (IsReading(*candidate)) readers.push_back(candidate->index);
  }
  Host& chosen = readers.empty() || WithProbability(0.5)
                     ? host
                     : *hosts_[readers[random_() % readers.size()]];
  const auto cut = static_cast<Cut>(random_() % 3);
  const std::string on = absl::StrCat(
      " ", chosen.self.host, IsReading(chosen) ? " (reader)" : "", " for ",
      absl::FormatDuration(absl::Floor(duration, absl::Milliseconds(1))));
  if (options_.restores && WithProbability(kRestores)) {
    const absl::Duration away = Random(absl::ZeroDuration(), kMaxAway);
    const absl::Duration age = Random(absl::ZeroDuration(), kMaxCopyAge);
    Trace(absl::StrCat("restore after ", absl::FormatDuration(away),
                       " from a copy of ", absl::FormatDuration(age)));
    return RestoreStore(away, age);
  }
  const std::string what = absl::StrCat("cut ", static_cast<int>(cut), " of");
  const bool has_lateness = options_.lateness > absl::ZeroDuration();
  switch (random_() % (has_lateness ? kFaultKinds : kFaultKindsInTime)) {
    case 0:
    case 1: {
      Trace(absl::StrCat(what, " all links of", on));
      CutHost(chosen.index, cut, true, until);
      break;
    }
    case 2:
      Trace(absl::StrCat(what, " all links out of", on));
      CutHost(chosen.index, cut, false, until);
      break;
    case 3: {
      const size_t other = random_() % hosts_.size();
      Trace(
          absl::StrCat(what, " link to ", hosts_[other]->self.host, " of", on));
      CutLink(chosen.index, other, cut, until);
      if (WithProbability(0.5)) CutLink(other, chosen.index, cut, until);
      break;
    }
    case 4:
      if (SilenceWatch(chosen)) Trace(absl::StrCat("silent watch of", on));
      break;
    case 5:
      Trace(absl::StrCat("store turns away", on));
      (WithProbability(0.5) ? chosen.refused_until : chosen.silent_until) =
          until;
      chosen.faulty_until = std::max(chosen.faulty_until, until);
      break;
    case 6: {
      if (!options_.freezes) break;
      const absl::Duration freeze = std::min(duration, absl::Seconds(6));
      Trace(absl::StrCat("freeze of", on));
      chosen.frozen_until = std::max(chosen.frozen_until, now_ + freeze);
      chosen.faulty_until = std::max(chosen.faulty_until, chosen.frozen_until);
      break;
    }
    case 7:
      Trace(absl::StrCat("restart of", on));
      chosen.faulty_until = std::max(chosen.faulty_until, now_);
      Start(chosen, now_);
      break;
    case 8:
      Trace("lossy network");
      lossy_until_ = until;
      break;
    case 9:
      Trace(absl::StrCat("transfers trickle from", on));
      for (size_t other = 0; other < hosts_.size(); ++other) {
        trickling_until_[{other, chosen.index}] = until;
      }
      break;
    case 10:
      Trace(absl::StrCat("store outage", on));
      StopStore(std::min(duration, absl::Seconds(10)), WithProbability(0.5));
      break;
    case 11:
    case 12:
      Trace(absl::StrCat("late links of", on));
      DelayHost(chosen.index, WithProbability(0.5), until);
      break;
    case 13:
      Trace("late network");
      DelayAllLinks(duration);
      break;
    default:
      Trace(absl::StrCat("late path to the store of", on));
      DelayStoreOf(chosen, until);
  }
}

bool PublishingModel::IsInTouch(const Host& host) const {
  return now_ - std::max(host.faulty_until, store_stable_since_) >= kSettleTime;
}

absl::Time PublishingModel::FirstMissing(const Host& host) const {
  const SourceEra era = host.items.known_until().era;
  if (era != store_.known_until().era) {
    return era_began_at_[static_cast<size_t>(era.stated) + 1];
  }
  const auto known = static_cast<size_t>(host.items.known_until().revision);
  return known < published_at_.size() ? published_at_[known]
                                      : absl::InfiniteFuture();
}

void PublishingModel::Check() {
  At(now_ + kCheckPeriod, [this] { Check(); });
  const absl::Duration max_error =
      kMaxHops * (options_.max_delay + options_.lateness);
  for (const auto& host : hosts_) {
    const absl::Time missing = FirstMissing(*host);
    std::string what;
    if (host->freshness->current_until() > missing + max_error) {
      what = " claims to be more current than it is";
    }
    if (!IsInTouch(*host)) continue;
    if (measured_since_ <= now_) {
      proof_ages_.push_back(now_ - host->freshness->current_until());
    }
    if (options_.checks_delays &&
        now_ - missing > std::min(options_.bound, options_.target))
      what = " misses a change";
    if (what.empty() || !violation_.empty()) continue;
    violation_ = absl::StrCat(
        Format(now_), " ", host->self.host, " in ", host->self.failure_domain,
        what, " published at ", Format(missing), "; proof until ",
        Format(host->freshness->current_until()), ", peers' until ",
        Format(host->freshness->peers_current_until()),
        host->reading ? ", reading" : "", ", failed calls ",
        host->schedule.failures());
    for (const std::string& line : trace_) {
      absl::StrAppend(&violation_, "\n  ", line);
    }
  }
}

void PublishingModel::StartMeasuring() {
  measured_since_ = now_;
  calls_.clear();
  delays_.clear();
  proof_ages_.clear();
  max_calls_until_watch_ = 0;
  snapshots_ = snapshot_items_ = 0;
  restore_delays_.clear();
  for (const auto& host : hosts_) {
    host->store_calls_made = host->listing_calls = 0;
  }
}

PublishingModel::Figures PublishingModel::Measured() {
  Figures figures;
  figures.calls_per_s = static_cast<double>(calls_.size()) /
                        absl::ToDoubleSeconds(now_ - measured_since_);
  size_t first = 0;
  for (size_t i = 0; i < calls_.size(); ++i) {
    while (calls_[first] <= calls_[i] - absl::Seconds(1)) ++first;
    figures.max_calls_in_a_second = std::max(figures.max_calls_in_a_second,
                                             static_cast<int>(i - first + 1));
  }
  figures.delays = delays_;
  for (const auto& host : hosts_) {
    if (host->items.known_until().era != store_.known_until().era ||
        !IsInTouch(*host)) {
      continue;
    }
    for (auto i = static_cast<size_t>(host->items.known_until().revision);
         i < published_at_.size(); ++i) {
      if (published_at_[i] < measured_since_) continue;
      figures.delays.push_back(now_ - published_at_[i]);
    }
  }
  std::sort(figures.delays.begin(), figures.delays.end());
  figures.proof_ages = proof_ages_;
  std::sort(figures.proof_ages.begin(), figures.proof_ages.end());
  figures.calls = static_cast<int>(calls_.size());
  for (const auto& host : hosts_) {
    figures.calling_hosts += host->store_calls_made > 0 ? 1 : 0;
    figures.listing_calls += host->listing_calls;
    figures.max_listing_calls =
        std::max(figures.max_listing_calls, host->listing_calls);
    figures.listing_hosts += host->listing_calls > 0 ? 1 : 0;
  }
  figures.max_calls_until_watch = max_calls_until_watch_;
  figures.snapshots = snapshots_;
  figures.snapshot_items = snapshot_items_;
  figures.restore_delays = restore_delays_;
  std::sort(figures.restore_delays.begin(), figures.restore_delays.end());
  return figures;
}

}  // namespace cherrydyke
