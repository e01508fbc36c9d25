#include "fleet_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

constexpr char kService[] = "s";
constexpr absl::Duration kTick = absl::Milliseconds(10);
/// The gossip period of `FleetGossip`.
constexpr absl::Duration kGossipPeriod = absl::Milliseconds(500);
constexpr absl::Duration kReadPeriod = absl::Milliseconds(300);
constexpr int kKeyCount = 6;
/// Index of the store among the failure domains, for partitions.
constexpr size_t kStoreDomain = 99;
const std::vector<FailureDomainName> kDomains = {"a1", "a2", "b1"};
const std::map<FailureDomainName, RegionName> kRegions = {
    {"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
constexpr size_t kSeedCount = 3;

FleetLimits Bounds() {
  FleetLimits bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_window = absl::Seconds(10);
  bounds.retry_slack = 54;
  return bounds;
}

/// Requests per second that all hosts together may send to a cold target.
constexpr double kColdRequestsPerS = 12.5;

TargetId TargetIn(size_t domain) {
  return absl::StrCat("t-", kDomains[domain]);
}

}  // namespace

FleetModel::FleetModel(Options options, uint32_t seed)
    : options_(options),
      random_(seed),
      now_(absl::UnixEpoch() + absl::Hours(1)),
      next_fault_at_(now_ + absl::Seconds(15)),
      lossy_network_until_(now_),
      failing_targets_until_(now_) {
  for (int round = 0; round < options_.hosts_per_domain; ++round) {
    for (size_t domain = 0; domain < kDomains.size(); ++domain) {
      AddHost(domain);
    }
  }
}

absl::Duration FleetModel::RandomDelay(int low_ms, int high_ms) {
  return absl::Milliseconds(
      std::uniform_int_distribution<int>(low_ms, high_ms)(random_));
}

bool FleetModel::WithProbability(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void FleetModel::Fail(const std::string& what) {
  if (violation_.empty()) {
    violation_ = absl::StrCat(
        "after ", steps_, " steps, ",
        absl::FormatTime("%H:%M:%E3S", now_, absl::UTCTimeZone()), ": ", what);
  }
}

void FleetModel::AddHost(size_t domain) {
  auto host = std::make_unique<Host>();
  host->self = {absl::StrCat("10.0.0.", next_address_++), kDomains[domain]};
  host->domain = domain;
  host->starts_at = now_ + RandomDelay(0, 300);
  hosts_.push_back(std::move(host));
}

void FleetModel::Start(Host& host) {
  ++lifetimes_;
  host.alive = true;
  host.lifetime = lifetimes_;
  host.frozen_until = now_;
  host.next_gossip_at = now_;
  host.next_read_at = now_;
  host.round = 0;
  std::vector<HostId> seeds;
  // Seeds may be down, but are never the addresses of replaced hosts.
  while (seeds.size() < kSeedCount) {
    const Host& seed = *hosts_[random_() % hosts_.size()];
    if (!seed.replaced) seeds.push_back(seed.self.host);
  }
  HostTable::Options options;
  options.domains = kDomains;
  host.table = std::make_unique<HostTable>(host.self, seeds, options, now_);
  host.shares = std::make_unique<FleetShares>(
      Locality{host.self.host, host.self.failure_domain, kRegions},
      *host.table);
  host.ranks.clear();
  host.budget = std::make_unique<RetryBudget>(Bounds(), now_);
  host.cold.clear();
  host.items = PublishedItems();
  host.is_store_answering = false;
}

bool FleetModel::IsBlocked(size_t from, size_t to) const {
  const auto found = partitioned_until_.find({from, to});
  return found != partitioned_until_.end() && now_ < found->second;
}

bool FleetModel::IsActive(const Host& host) const {
  return host.alive && now_ >= host.frozen_until;
}

FleetModel::Host* FleetModel::Find(const HostId& id) {
  for (const auto& host : hosts_) {
    if (host->self.host == id && !host->replaced) return host.get();
  }
  return nullptr;
}

std::string FleetModel::Run(int64_t steps) {
  while (steps_ < steps && violation_.empty()) Tick();
  return violation_;
}

void FleetModel::Tick() {
  now_ += kTick;
  while (!messages_.empty() && messages_.top().at <= now_) {
    Message message = messages_.top();
    messages_.pop();
    Deliver(std::move(message));
  }
  if (now_ >= next_fault_at_) InjectFault();
  if (WithProbability(0.02)) PublishChange();
  // Hosts added by InjectFault take part from the next tick on.
  const size_t count = hosts_.size();
  for (size_t i = 0; i < count; ++i) {
    Host& host = *hosts_[i];
    if (host.replaced) continue;
    if (!host.alive && now_ >= host.starts_at) Start(host);
    if (IsActive(host)) Step(host);
  }
}

void FleetModel::Step(Host& host) {
  if (now_ >= host.next_gossip_at) RunGossipRound(host);
  if (now_ >= host.next_read_at) Read(host);
  if (WithProbability(0.1)) ServeRequest(host);
  if (WithProbability(0.3)) SendCold(host);
}

void FleetModel::RunGossipRound(Host& host) {
  ++steps_;
  host.next_gossip_at = now_ + kGossipPeriod;
  host.shares->Refresh(now_);
  host.budget->SetHostCount(host.shares->hosts());
  if (host.table->ShouldSendDigest(host.round++, now_)) {
    SendGossip(host, host.table->GossipPeers(now_, random_), true);
  }
  NotifyDownstream(host);
}

DisseminationRole FleetModel::RoleOf(const Host& host) const {
  const bool reads =
      host.is_store_answering && host.table->ShouldRead(false, now_);
  return host.table->Role(reads, now_);
}

void FleetModel::NotifyDownstream(Host& host) {
  SendGossip(host, host.table->Recipients(RoleOf(host), now_), false);
}

void FleetModel::SendGossip(Host& host, const std::vector<HostId>& to,
                            bool includes_hosts) {
  MembershipUpdate news{host.self, host.table->known_hosts(), RoleOf(host),
                        includes_hosts ? host.table->BuildDigest(now_, random_)
                                       : std::vector<HostLastSeen>()};
  for (const HostId& id : to) {
    Message message;
    message.to = id;
    message.from_domain = host.domain;
    message.news = news;
    message.revision = host.items.complete_revision();
    SendMessage(std::move(message));
  }
}

void FleetModel::SendMessage(Message message) {
  const Host* const to = Find(message.to);
  if (to == nullptr || IsBlocked(message.from_domain, to->domain)) return;
  const bool is_lossy = now_ < lossy_network_until_;
  if (WithProbability(is_lossy ? options_.loss : 0.01)) return;
  message.to_lifetime = to->lifetime;
  message.sequence = ++messages_sent_;
  message.at =
      now_ + RandomDelay(1, is_lossy && WithProbability(0.2) ? 2500 : 40);
  messages_.push(std::move(message));
}

void FleetModel::Deliver(Message message) {
  Host* const host = Find(message.to);
  if (host == nullptr || !host->alive ||
      host->lifetime != message.to_lifetime ||
      IsBlocked(message.from_domain, host->domain)) {
    return;
  }
  if (!IsActive(*host)) {
    // The message stays in the socket buffer until the host runs again.
    message.at = host->frozen_until + kTick;
    messages_.push(std::move(message));
    return;
  }
  ++steps_;
  if (message.carries_items) return Merge(*host, message.changes);
  if (host->table->OnMembershipUpdate(message.news, now_)) {
    SendGossip(*host, {message.news.from.host}, true);
  }
  if (message.revision <= host->items.complete_revision()) return;
  Host* const peer = Find(message.news.from.host);
  if (peer == nullptr || !IsActive(*peer) ||
      IsBlocked(host->domain, peer->domain)) {
    return;
  }
  Message reply;
  reply.to = host->self.host;
  reply.from_domain = peer->domain;
  reply.carries_items = true;
  reply.changes = peer->items.ChangesAfter(host->items.known_until());
  SendMessage(std::move(reply));
}

void FleetModel::Read(Host& host) {
  host.next_read_at = now_ + kReadPeriod;
  if (!host.table->ShouldRead(host.items.complete_revision() == 0, now_))
    return;
  host.is_store_answering = !IsBlocked(host.domain, kStoreDomain) &&
                            !IsBlocked(kStoreDomain, host.domain);
  ++store_calls_;
  if (!host.is_store_answering) return;
  ++steps_;
  Message reply;
  reply.to = host.self.host;
  reply.from_domain = kStoreDomain;
  reply.carries_items = true;
  reply.changes = store_.ChangesAfter(host.items.known_until());
  SendMessage(std::move(reply));
}

void FleetModel::PublishChange() {
  const Revision revision = store_.complete_revision() + 1;
  const std::string key = absl::StrCat("key", random_() % kKeyCount);
  store_.Merge({{key, absl::StrCat(revision), revision, WithProbability(0.1)}},
               {{}, revision});
}

void FleetModel::Merge(Host& host, const PublishedChanges& changes) {
  const std::map<std::string, PublishedItem> before = host.items.items();
  const Revision prior = host.items.complete_revision();
  if (host.items.Merge(changes)) NotifyDownstream(host);
  if (host.items.complete_revision() < prior) Fail("newest revision decreased");
  for (const auto& [key, item] : before) {
    if (host.items.items().at(key).revision < item.revision) {
      Fail(absl::StrCat(key, " reverted to an older revision"));
    }
  }
  for (const auto& [key, published] : store_.items()) {
    if (published.revision > host.items.complete_revision()) continue;
    const auto found = host.items.items().find(key);
    if (found == host.items.items().end() || !(found->second == published)) {
      Fail(absl::StrCat(host.self.host, " has newest revision ",
                        host.items.complete_revision(), " but lacks ", key,
                        " of revision ", published.revision));
    }
  }
}

void FleetModel::ServeRequest(Host& host) {
  ++steps_;
  host.budget->OnRequest(kService, now_);
  requests_at_.push_back(now_);
  const int extra_attempts = now_ < failing_targets_until_ ? 3
                             : WithProbability(0.05)       ? 1
                                                           : 0;
  for (int i = 0; i < extra_attempts; ++i) {
    if (!host.budget->TryAcquire(kService,
                                 WithProbability(0.5)
                                     ? RetryPriority::kRequired
                                     : RetryPriority::kOptional,
                                 now_)) {
      continue;
    }
    extra_sends_at_.push_back(now_);
    ++extra_sends_;
  }
  const absl::Duration window = Bounds().retry_window;
  while (!extra_sends_at_.empty() && extra_sends_at_.front() <= now_ - window) {
    extra_sends_at_.pop_front();
  }
  while (!requests_at_.empty() && requests_at_.front() <= now_ - 2 * window) {
    requests_at_.pop_front();
  }
  // The limit follows from the requests of the window that ends now, half a
  // window earlier, or a window earlier, whichever has the most.
  const int64_t requests =
      std::max({RequestsInWindow(now_), RequestsInWindow(now_ - window / 2),
                RequestsInWindow(now_ - window)});
  const double max_extra_sends =
      Bounds().retry_ratio * static_cast<double>(requests) +
      Bounds().retry_slack;
  if (static_cast<double>(extra_sends_at_.size()) > max_extra_sends) {
    Fail(absl::StrCat(extra_sends_at_.size(),
                      " extra sends in a window, expected ", max_extra_sends,
                      " at most"));
  }
}

int64_t FleetModel::RequestsInWindow(absl::Time end) const {
  const auto first = std::upper_bound(requests_at_.begin(), requests_at_.end(),
                                      end - Bounds().retry_window);
  return std::upper_bound(first, requests_at_.end(), end) - first;
}

void FleetModel::SendCold(Host& host) {
  ++steps_;
  const size_t domain = random_() % kDomains.size();
  if (IsBlocked(host.domain, domain) || IsBlocked(domain, host.domain)) return;
  const TargetId target = TargetIn(domain);
  ColdSendLimiter& cold_limiter = host.cold[target];
  FleetRank& rank = host.ranks[target];
  host.shares->Update(rank, target, kDomains[domain]);
  const int share = host.shares->StrictShareOf(kColdRequestsPerS, rank);
  if (!cold_limiter.MaySend(share, now_)) return;
  cold_limiter.OnSent(now_);
  ++cold_sends_;
  // All sends take equally long and keep their order; the longer window of
  // ColdSendLimiter covers differences in latency.
  std::deque<Arrival>& arrivals = cold_arrivals_[target];
  arrivals.push_back({now_, now_});
  while (arrivals.front().sent <= now_ - absl::Seconds(1)) {
    arrivals.pop_front();
  }
  if (static_cast<double>(arrivals.size()) > kColdRequestsPerS) {
    Fail(absl::StrCat(arrivals.size(), " requests to cold target ", target,
                      " in a second, expected ", kColdRequestsPerS,
                      " at most"));
  }
}

void FleetModel::Kill(Host& host) {
  host.alive = false;
  host.starts_at = now_ + RandomDelay(400, 3000);
}

void FleetModel::InjectFault() {
  next_fault_at_ =
      now_ + options_.fault_period * (0.2 + 1.6 * WithProbability(0.5));
  const auto random_index = [&](size_t count) { return random_() % count; };
  const size_t domain = random_index(kDomains.size());
  Host& host = *hosts_[random_index(hosts_.size())];
  switch (random_index(8)) {
    case 0:
      lossy_network_until_ = now_ + RandomDelay(500, 8000);
      break;
    case 1:
      failing_targets_until_ = now_ + RandomDelay(500, 15000);
      break;
    case 2:
      if (options_.freezes) host.frozen_until = now_ + RandomDelay(200, 6000);
      break;
    case 3:
      if (options_.restarts && host.alive) Kill(host);
      break;
    case 4:
      if (!options_.restarts || !WithProbability(0.3)) break;
      for (const auto& other : hosts_) {
        if (other->alive && WithProbability(0.8)) Kill(*other);
      }
      break;
    case 5: {
      if (!options_.partitions) break;
      const size_t other =
          WithProbability(0.3) ? kStoreDomain : random_index(kDomains.size());
      if (other == domain) break;
      const absl::Time until = now_ + RandomDelay(500, 20'000);
      partitioned_until_[{domain, other}] = until;
      // Some partitions block one direction only.
      if (WithProbability(0.7)) partitioned_until_[{other, domain}] = until;
      break;
    }
    case 6:
      if (!options_.restarts || !WithProbability(0.3) || host.replaced) break;
      // Replace the host by one with another address.
      host.alive = false;
      host.replaced = true;
      AddHost(host.domain);
      break;
    default:
      if (!options_.freezes) break;
      for (const auto& other : hosts_) {
        if (other->domain == domain) {
          other->frozen_until = now_ + absl::Seconds(1) + RandomDelay(0, 2000);
        }
      }
  }
}

}  // namespace cherrydyke
