#include "handover_peers.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"
#include "tier/handover_message.h"

namespace cherrydyke {
namespace {

/// How often peers are asked for offers, and how long an answer may take: at
/// least, and at most on a path that is known to be slow.
constexpr absl::Duration kAskPeriod = absl::Milliseconds(300);
constexpr absl::Duration kAskTimeout = absl::Milliseconds(250);
constexpr absl::Duration kMaxAskTimeout = absl::Milliseconds(2500);
/// How long a question that is late may still be answered.
constexpr absl::Duration kMaxLateness = absl::Seconds(3);
/// How often one is asked that is expected back while requests wait.
constexpr absl::Duration kSilentAskPeriod = absl::Milliseconds(100);
/// Peers with offers that are enough, and hosts asked at the same time while
/// there are fewer.
constexpr size_t kWantedPeers = 4;
constexpr size_t kAskedHosts = 6;
/// How long peers are looked for after the last need.
constexpr absl::Duration kNeedTime = absl::Seconds(3);
/// Time after which a host without an offer may be replaced by another.
constexpr absl::Duration kOfferWaitTime = absl::Seconds(2);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
constexpr int kMaxConnectionsPerPeer = 33;

engine::ClientOptions PeerOptions() {
  engine::ClientOptions options;
  options.connect_timeout = kConnectTimeout;
  return options;
}

}  // namespace

HandoverPeers::HandoverPeers(engine::EventLoop& loop, Locality locality,
                             int port, const HostTable& hosts,
                             VersionCallback on_version,
                             std::function<void()> on_change)
    : loop_(loop),
      locality_(std::move(locality)),
      port_(port),
      hosts_(hosts),
      on_version_(std::move(on_version)),
      on_change_(std::move(on_change)),
      random_(NewIncarnation()) {}

std::string HandoverPeers::RequestHead(const char* method, const char* path,
                                       const HostId& peer, size_t body_bytes,
                                       const std::string& headers) {
  return absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: ", peer, "\r\n",
                      headers, "Content-Length: ", body_bytes, "\r\n\r\n");
}

void HandoverPeers::Prepare() {
  needed_until_ = loop_.Now() + kNeedTime;
  if (std::exchange(polling_, true)) return;
  // The caller may be handling an event of one of the pools.
  timers_.Post([this] { Poll(); });
}

void HandoverPeers::Poll() {
  RemoveUnusedPeers();
  polling_ = loop_.Now() < needed_until_ || !peers_.empty();
  if (!polling_) return;
  if (loop_.Now() < needed_until_) {
    AddPeers();
    for (auto& [host, peer] : peers_) Ask(host, peer);
  }
  timers_.RunAfter(kAskPeriod, [this] { Poll(); });
}

void HandoverPeers::PollSilent() {
  timers_.RunAfter(kSilentAskPeriod, [this] {
    polling_silent_ = false;
    for (auto& [host, peer] : peers_) {
      if (!IsExpectedBack(peer.candidate, loop_.Now())) continue;
      Ask(host, peer);
      polling_silent_ = true;
    }
    if (polling_silent_) PollSilent();
  });
}

void HandoverPeers::RemoveUnusedPeers() {
  const absl::Time now = loop_.Now();
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    const Peer& peer = entry->second;
    const absl::Time last_use =
        std::max(peer.added_at, peer.candidate.available_at);
    // Its first answer may be on its way.
    const bool may_be_slow =
        peer.late.exchange != 0 && peer.pool->IsConnected();
    const absl::Duration wait_time =
        kOfferWaitTime + (may_be_slow ? kMaxLateness : absl::ZeroDuration());
    const bool is_unused = now - last_use > wait_time || now >= needed_until_;
    if (is_unused && peer.asking.exchange == 0 &&
        peer.candidate.in_flight == 0) {
      loop_.Cancel(peer.late.timer);
      entry = peers_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void HandoverPeers::AddPeers() {
  const absl::Time now = loop_.Now();
  const auto offers = std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& entry) { return entry.second.takes_requests(); });
  if (static_cast<size_t>(offers) >= kWantedPeers) return;
  std::vector<KnownHost> others;
  std::vector<FailureDomainName> domains;
  for (KnownHost& host : hosts_.LiveHosts(now)) {
    if (peers_.count(host.host) > 0) continue;
    domains.push_back(host.failure_domain);
    others.push_back(std::move(host));
  }
  for (const size_t index :
       SampleHandoverPeers(domains, locality_, kAskedHosts, random_)) {
    const KnownHost& host = others[index];
    Peer& peer = peers_[host.host];
    peer.candidate.region = locality_.RegionOf(host.failure_domain);
    peer.candidate.distance = locality_.DistanceBetween(
        locality_.failure_domain, host.failure_domain);
    peer.added_at = now;
    peer.pool = std::make_unique<engine::ConnectionPool>(
        loop_, absl::StrCat(host.host, ":", port_), PeerOptions(),
        kMaxConnectionsPerPeer, nullptr);
  }
}

void HandoverPeers::Ask(const HostId& host, Peer& peer) {
  if (peer.asking.exchange != 0) return;
  peer.asking.asked_at = loop_.Now();
  engine::PoolRequest request;
  request.exchange.write = [host] {
    return RequestHead("GET", kHandoverOfferPath, host, 0);
  };
  request.exchange.done = [this, host, asked_at = peer.asking.asked_at](
                              const engine::ExchangeResult& result) {
    OnAnswer(host, asked_at, result);
  };
  peer.asking.exchange = peer.pool->Send(std::move(request));
  CheckQuestion(host, peer);
}

void HandoverPeers::CheckQuestion(const HostId& host, Peer& peer) {
  // An older question may have been answered meanwhile.
  const absl::Time late_at =
      peer.asking.asked_at +
      peer.round_trips.LateAfter(kAskTimeout, kMaxAskTimeout);
  if (loop_.Now() >= late_at) return OnQuestionLate(host);
  peer.asking.timer = timers_.RunAt(
      late_at, [this, host] { CheckQuestion(host, peers_.at(host)); });
}

void HandoverPeers::OnQuestionLate(const HostId& host) {
  Peer& peer = peers_.at(host);
  const engine::ExchangeId exchange = peer.asking.exchange;
  // The older one is answered first.
  if (peer.late.exchange != 0) {
    peer.pool->Cancel(exchange, absl::ZeroDuration());
    return;
  }
  const bool took_requests = peer.takes_requests();
  peer.late = std::exchange(peer.asking, Question());
  peer.late.timer = timers_.RunAfter(kMaxLateness, [this, host, exchange] {
    peers_.at(host).pool->Cancel(exchange, absl::ZeroDuration());
  });
  OnSilent(host);
  ReportChange(host, took_requests, true);
}

void HandoverPeers::OnAnswer(const HostId& host, absl::Time asked_at,
                             const engine::ExchangeResult& result) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  const bool took_requests = peer.takes_requests();
  const bool was_silent = peer.candidate.is_silent;
  const bool was_late =
      peer.late.exchange != 0 && peer.late.asked_at == asked_at;
  Question& question = was_late ? peer.late : peer.asking;
  loop_.Cancel(question.timer);
  question = Question();
  if (result.status == engine::ExchangeStatus::kComplete) {
    const absl::Duration round_trip = loop_.Now() - asked_at;
    // The path is not slow: what was late before was the peer.
    if (round_trip <= kAskTimeout) peer.round_trips = RoundTripEstimate();
    peer.round_trips = peer.round_trips.AfterSample(round_trip);
    OnOffer(peer, result);
  } else if (!was_late) {
    OnSilent(host);
  }
  ReportChange(host, took_requests, was_silent);
}

void HandoverPeers::OnOffer(Peer& peer, const engine::ExchangeResult& result) {
  HandoverCandidate& candidate = peer.candidate;
  candidate.is_silent = false;
  const Result<HandoverOffer> decoded =
      DecodeHandoverOffer(result.response.body);
  // A host of a version without handover answers otherwise.
  const bool is_offer =
      result.response.status == 200 && GetError(decoded) == nullptr;
  candidate.offer = is_offer ? GetValue(decoded) : HandoverOffer();
  candidate.offered_at = loop_.Now();
  if (candidate.offer.available) candidate.available_at = loop_.Now();
}

void HandoverPeers::ReportChange(const HostId& host, bool took_requests,
                                 bool was_silent) {
  const Peer& peer = peers_.at(host);
  const HandoverCandidate& candidate = peer.candidate;
  if (peer.takes_requests() != took_requests) {
    LogInfo(
        took_requests ? "peer takes over no requests"
                      : "peer takes over requests",
        {{"peer", host},
         {"silent", candidate.is_silent},
         {"config_version", candidate.offer.config_version},
         {"unreachable_services", candidate.offer.unreachable_services.size()},
         {"running", candidate.offer.running}});
  }
  if (peer.takes_requests()) {
    on_version_(host, candidate.offer.config_version);
  }
  const bool is_back = was_silent && !candidate.is_silent;
  if (is_back || peer.takes_requests() != took_requests) on_change_();
}

std::vector<HandoverCandidate> HandoverPeers::Candidates() const {
  std::vector<HandoverCandidate> candidates;
  candidates.reserve(peers_.size());
  for (const auto& [host, peer] : peers_) candidates.push_back(peer.candidate);
  return candidates;
}

std::optional<HostId> HandoverPeers::Choose(const HandoverCriteria& criteria) {
  const std::optional<size_t> chosen =
      ChooseHandoverPeer(Candidates(), criteria, loop_.Now(), random_);
  if (!chosen) return std::nullopt;
  return std::next(peers_.begin(), static_cast<std::ptrdiff_t>(*chosen))->first;
}

std::optional<absl::Time> HandoverPeers::WaitEnd(
    const UnplacedRequest& request) {
  const std::vector<HandoverCandidate> candidates = Candidates();
  absl::Time heard_at = hosts_.last_message_at();
  for (const HandoverCandidate& candidate : candidates) {
    heard_at = std::max(heard_at, candidate.offered_at);
  }
  const std::optional<absl::Time> end =
      HandoverWaitEnd(candidates, request, heard_at, loop_.Now());
  if (end && !std::exchange(polling_silent_, true)) PollSilent();
  return end;
}

std::map<std::string, int> HandoverPeers::CountObstacles(
    const HandoverCriteria& criteria) const {
  std::map<std::string, int> counts;
  for (const auto& [host, peer] : peers_) {
    const auto obstacle =
        FindHandoverObstacle(peer.candidate, criteria, loop_.Now());
    if (obstacle) ++counts[HandoverObstacleName(*obstacle)];
  }
  return counts;
}

bool HandoverPeers::MayReceiveBody(const HostId& host,
                                   const HandoverCriteria& criteria) const {
  return MayReceive(peers_.at(host).candidate.region, criteria.allowed_regions);
}

engine::ExchangeId HandoverPeers::Send(const HostId& host,
                                       engine::PoolRequest request) {
  Peer& peer = peers_.at(host);
  ++peer.candidate.in_flight;
  request.exchange.done = [this, host, done = std::move(request.exchange.done)](
                              engine::ExchangeResult result) {
    --peers_.at(host).candidate.in_flight;
    done(std::move(result));
  };
  return peer.pool->Send(std::move(request));
}

void HandoverPeers::Cancel(const HostId& host, engine::ExchangeId exchange) {
  peers_.at(host).pool->Cancel(exchange, absl::ZeroDuration());
}

int64_t HandoverPeers::OfferedVersion(const HostId& host) const {
  return peers_.at(host).candidate.offer.config_version;
}

void HandoverPeers::RaiseOfferedVersion(const HostId& host, int64_t version) {
  int64_t& offered = peers_.at(host).candidate.offer.config_version;
  offered = std::max(offered, version);
}

void HandoverPeers::OnSilent(const HostId& host) {
  HandoverCandidate& candidate = peers_.at(host).candidate;
  candidate.is_silent = true;
  candidate.silent_at = loop_.Now();
}

void HandoverPeers::Exclude(const HostId& host, absl::Duration time) {
  peers_.at(host).candidate.excluded_until = loop_.Now() + time;
}

}  // namespace cherrydyke
