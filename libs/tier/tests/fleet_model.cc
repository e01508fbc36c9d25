#include "fleet_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

constexpr char kService[] = "s";
constexpr absl::Duration kTick = absl::Milliseconds(10);
/// As the link between hosts has it.
constexpr absl::Duration kRound = absl::Milliseconds(500);
constexpr absl::Duration kReadPeriod = absl::Milliseconds(300);
constexpr int kKeys = 6;
/// The number of the store among failure domains.
constexpr size_t kStore = 99;
const std::vector<FailureDomainName> kDomains = {"a1", "a2", "b1"};
const std::map<FailureDomainName, RegionName> kRegions = {
    {"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
constexpr size_t kSeeds = 3;

FleetLimits Bounds() {
  FleetLimits bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_window = absl::Seconds(10);
  bounds.retry_slack = 54;
  return bounds;
}

/// Requests that a cold target bears in a second.
constexpr double kColdAllowance = 12.5;

TargetId TargetIn(size_t domain) {
  return absl::StrCat("t-", kDomains[domain]);
}

}  // namespace

FleetModel::FleetModel(Options options, uint32_t seed)
    : options_(options),
      random_(seed),
      now_(absl::UnixEpoch() + absl::Hours(1)),
      next_trouble_(now_ + absl::Seconds(15)),
      bad_network_until_(now_),
      bad_targets_until_(now_) {
  for (int round = 0; round < options_.hosts_per_domain; ++round) {
    for (size_t domain = 0; domain < kDomains.size(); ++domain) {
      AddHost(domain);
    }
  }
}

absl::Duration FleetModel::Between(int low_ms, int high_ms) {
  return absl::Milliseconds(
      std::uniform_int_distribution<int>(low_ms, high_ms)(random_));
}

bool FleetModel::Chance(double part) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < part;
}

void FleetModel::Break(const std::string& what) {
  if (broken_.empty()) {
    broken_ = absl::StrCat(
        "after ", steps_, " steps, ",
        absl::FormatTime("%H:%M:%E3S", now_, absl::UTCTimeZone()), ": ", what);
  }
}

void FleetModel::AddHost(size_t domain) {
  auto host = std::make_unique<Host>();
  host->self = {absl::StrCat("10.0.0.", next_address_++), kDomains[domain]};
  host->domain = domain;
  host->boot_at = now_ + Between(0, 300);
  hosts_.push_back(std::move(host));
}

void FleetModel::Boot(Host& host) {
  ++lifetimes_;
  host.alive = true;
  host.lifetime = lifetimes_;
  host.frozen_until = now_;
  host.next_round = now_;
  host.next_read = now_;
  host.round = 0;
  std::vector<HostId> seeds;
  // Some may be down; those of replaced hosts are not handed out.
  while (seeds.size() < kSeeds) {
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
  host.items = {};
  host.is_answered = false;
}

bool FleetModel::IsCut(size_t from, size_t to) const {
  const auto found = cut_until_.find({from, to});
  return found != cut_until_.end() && now_ < found->second;
}

bool FleetModel::Acts(const Host& host) const {
  return host.alive && now_ >= host.frozen_until;
}

FleetModel::Host* FleetModel::Find(const HostId& id) {
  for (const auto& host : hosts_) {
    if (host->self.host == id && !host->replaced) return host.get();
  }
  return nullptr;
}

std::string FleetModel::Play(int64_t steps) {
  while (steps_ < steps && broken_.empty()) Tick();
  return broken_;
}

void FleetModel::Tick() {
  now_ += kTick;
  while (!messages_.empty() && messages_.top().at <= now_) {
    Message message = messages_.top();
    messages_.pop();
    Deliver(std::move(message));
  }
  if (now_ >= next_trouble_) Trouble();
  if (Chance(0.02)) Publish();
  // Hosts that Trouble adds are there from the next tick on.
  const size_t count = hosts_.size();
  for (size_t i = 0; i < count; ++i) {
    Host& host = *hosts_[i];
    if (host.replaced) continue;
    if (!host.alive && now_ >= host.boot_at) Boot(host);
    if (Acts(host)) Act(host);
  }
}

void FleetModel::Act(Host& host) {
  if (now_ >= host.next_round) NextRound(host);
  if (now_ >= host.next_read) Read(host);
  if (Chance(0.1)) Serve(host);
  if (Chance(0.3)) SendCold(host);
}

void FleetModel::NextRound(Host& host) {
  ++steps_;
  host.next_round = now_ + kRound;
  host.shares->Refresh(now_);
  host.budget->SetHostCount(host.shares->hosts());
  if (host.table->ShouldNameHosts(host.round++, now_)) {
    Tell(host, host.table->GossipTargets(now_, random_), true);
  }
  PassOn(host);
}

NewsRole FleetModel::RoleOf(const Host& host) const {
  const bool reads = host.is_answered && host.table->ShouldRead(false, now_);
  return host.table->Role(reads, now_);
}

void FleetModel::PassOn(Host& host) {
  Tell(host, host.table->Audience(RoleOf(host), now_), false);
}

void FleetModel::Tell(Host& host, const std::vector<HostId>& to,
                      bool names_hosts) {
  HostNews news{
      host.self, host.table->known_hosts(), RoleOf(host),
      names_hosts ? host.table->Ages(now_, random_) : std::vector<HostAge>()};
  for (const HostId& id : to) {
    Message message;
    message.to = id;
    message.from_domain = host.domain;
    message.news = news;
    message.revision = host.items.newest();
    Post(std::move(message));
  }
}

void FleetModel::Post(Message message) {
  const Host* const to = Find(message.to);
  if (to == nullptr || IsCut(message.from_domain, to->domain)) return;
  const bool bad = now_ < bad_network_until_;
  if (Chance(bad ? options_.loss : 0.01)) return;
  message.to_lifetime = to->lifetime;
  message.sequence = ++messages_sent_;
  message.at = now_ + Between(1, bad && Chance(0.2) ? 2500 : 40);
  messages_.push(std::move(message));
}

void FleetModel::Deliver(Message message) {
  Host* const host = Find(message.to);
  if (host == nullptr || !host->alive ||
      host->lifetime != message.to_lifetime ||
      IsCut(message.from_domain, host->domain)) {
    return;
  }
  if (!Acts(*host)) {
    // It waits in the socket until the host runs again.
    message.at = host->frozen_until + kTick;
    messages_.push(std::move(message));
    return;
  }
  ++steps_;
  if (message.brings_items) return Merge(*host, message.items);
  if (host->table->OnNews(message.news, now_)) {
    Tell(*host, {message.news.from.host}, true);
  }
  if (message.revision <= host->items.newest()) return;
  Host* const peer = Find(message.news.from.host);
  if (peer == nullptr || !Acts(*peer) || IsCut(host->domain, peer->domain)) {
    return;
  }
  Message reply;
  reply.to = host->self.host;
  reply.from_domain = peer->domain;
  reply.brings_items = true;
  reply.items = peer->items.ChangesAfter(host->items.newest());
  Post(std::move(reply));
}

void FleetModel::Read(Host& host) {
  host.next_read = now_ + kReadPeriod;
  if (!host.table->ShouldRead(host.items.newest() == 0, now_)) return;
  host.is_answered = !IsCut(host.domain, kStore) && !IsCut(kStore, host.domain);
  ++store_calls_;
  if (!host.is_answered) return;
  ++steps_;
  Message reply;
  reply.to = host.self.host;
  reply.from_domain = kStore;
  reply.brings_items = true;
  reply.items = store_.ChangesAfter(host.items.newest());
  Post(std::move(reply));
}

void FleetModel::Publish() {
  const Revision revision = store_.newest() + 1;
  const std::string key = absl::StrCat("key", random_() % kKeys);
  store_.Merge({{key, absl::StrCat(revision), revision, Chance(0.1)}});
}

void FleetModel::Merge(Host& host, const std::vector<PublishedItem>& items) {
  const std::map<std::string, PublishedItem> before = host.items.items();
  const Revision newest = host.items.newest();
  if (host.items.Merge(items)) PassOn(host);
  if (host.items.newest() < newest) Break("the newest revision went back");
  for (const auto& [key, item] : before) {
    if (host.items.items().at(key).revision < item.revision) {
      Break(absl::StrCat(key, " went back in one lifetime"));
    }
  }
  for (const auto& [key, truth] : store_.items()) {
    if (truth.revision > host.items.newest()) continue;
    const auto found = host.items.items().find(key);
    if (found == host.items.items().end() || !(found->second == truth)) {
      Break(absl::StrCat(host.self.host, " counts as knowing revision ",
                         host.items.newest(), " and lacks ", key, " of ",
                         truth.revision));
    }
  }
}

void FleetModel::Serve(Host& host) {
  ++steps_;
  host.budget->OnRequest(kService, now_);
  requests_.push_back(now_);
  const int tries = now_ < bad_targets_until_ ? 3 : Chance(0.05) ? 1 : 0;
  for (int i = 0; i < tries; ++i) {
    if (!host.budget->TryAcquire(
            kService,
            Chance(0.5) ? RetryPriority::kRequired : RetryPriority::kOptional,
            now_)) {
      continue;
    }
    extras_.push_back(now_);
    ++extra_sends_;
  }
  const absl::Duration window = Bounds().retry_window;
  while (!extras_.empty() && extras_.front() <= now_ - window) {
    extras_.pop_front();
  }
  while (!requests_.empty() && requests_.front() <= now_ - 2 * window) {
    requests_.pop_front();
  }
  // The bound counts the requests of the window, of the one before it or of the
  // one half a window before it, whichever has most.
  const int64_t requests =
      std::max({RequestsBefore(now_), RequestsBefore(now_ - window / 2),
                RequestsBefore(now_ - window)});
  const double most = Bounds().retry_ratio * static_cast<double>(requests) +
                      Bounds().retry_slack;
  if (static_cast<double>(extras_.size()) > most) {
    Break(absl::StrCat(extras_.size(), " extra arrivals in a window, expected ",
                       most, " at most"));
  }
}

int64_t FleetModel::RequestsBefore(absl::Time end) const {
  const auto first = std::upper_bound(requests_.begin(), requests_.end(),
                                      end - Bounds().retry_window);
  return std::upper_bound(first, requests_.end(), end) - first;
}

void FleetModel::SendCold(Host& host) {
  ++steps_;
  const size_t domain = random_() % kDomains.size();
  if (IsCut(host.domain, domain) || IsCut(domain, host.domain)) return;
  const TargetId target = TargetIn(domain);
  ColdSendLimiter& allowance = host.cold[target];
  FleetRank& rank = host.ranks[target];
  host.shares->Update(rank, target, kDomains[domain]);
  const int share = host.shares->StrictShareOf(kColdAllowance, rank);
  if (!allowance.MaySend(share, now_)) return;
  allowance.OnSent(now_);
  ++cold_sends_;
  // All sends take as long, so that their order is kept; differences are what
  // the allowance's longer window is for.
  std::deque<Arrival>& arrivals = cold_arrivals_[target];
  arrivals.push_back({now_, now_});
  while (arrivals.front().sent <= now_ - absl::Seconds(1)) {
    arrivals.pop_front();
  }
  if (static_cast<double>(arrivals.size()) > kColdAllowance) {
    Break(absl::StrCat(arrivals.size(), " requests at cold ", target,
                       " in a second, expected ", kColdAllowance, " at most"));
  }
}

void FleetModel::Kill(Host& host) {
  host.alive = false;
  host.boot_at = now_ + Between(400, 3000);
}

void FleetModel::Trouble() {
  next_trouble_ = now_ + options_.trouble_period * (0.2 + 1.6 * Chance(0.5));
  const auto one_of = [&](size_t count) { return random_() % count; };
  const size_t domain = one_of(kDomains.size());
  Host& host = *hosts_[one_of(hosts_.size())];
  switch (one_of(8)) {
    case 0:
      bad_network_until_ = now_ + Between(500, 8000);
      break;
    case 1:
      bad_targets_until_ = now_ + Between(500, 15000);
      break;
    case 2:
      if (options_.freezes) host.frozen_until = now_ + Between(200, 6000);
      break;
    case 3:
      if (options_.kills && host.alive) Kill(host);
      break;
    case 4:
      if (!options_.kills || !Chance(0.3)) break;
      for (const auto& other : hosts_) {
        if (other->alive && Chance(0.8)) Kill(*other);
      }
      break;
    case 5: {
      if (!options_.cuts) break;
      const size_t other = Chance(0.3) ? kStore : one_of(kDomains.size());
      if (other == domain) break;
      const absl::Time until = now_ + Between(500, 20'000);
      cut_until_[{domain, other}] = until;
      // Some cuts are one way.
      if (Chance(0.7)) cut_until_[{other, domain}] = until;
      break;
    }
    case 6:
      if (!options_.kills || !Chance(0.3) || host.replaced) break;
      // Another machine takes the place of this one.
      host.alive = false;
      host.replaced = true;
      AddHost(host.domain);
      break;
    default:
      if (!options_.freezes) break;
      for (const auto& other : hosts_) {
        if (other->domain == domain) {
          other->frozen_until = now_ + absl::Seconds(1) + Between(0, 2000);
        }
      }
  }
}

}  // namespace cherrydyke
