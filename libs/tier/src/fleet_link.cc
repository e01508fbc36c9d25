#include "tier/fleet_link.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "archive.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Pause between the signs of life of a reader or relay to its audience.
constexpr absl::Duration kGossipPeriod = absl::Milliseconds(500);
/// Crash counts in one message, so that it fits a datagram.
constexpr size_t kMaxCrashCounts = 12;
/// Lines a second about crashes that others counted.
constexpr int kCrashLogLines = 20;
/// How often, to how many hosts and of how many targets is told what was seen
/// of them: a few seconds of failures must be avoided by all within the first.
constexpr absl::Duration kEvidencePeriod = absl::Milliseconds(250);
constexpr size_t kEvidenceFanout = 24;
constexpr size_t kMaxEvidence = 150;
/// Bytes that this may take a second, about half of what a host may spend on
/// control, and at once. Where each host sends so much that they do not go far,
/// it also sees enough of its own.
constexpr double kEvidenceBytesPerS = 6000;
constexpr double kEvidenceBurstBytes = 30'000;
/// Size of a message without evidence, headers of the network included, and of
/// the evidence of one target.
constexpr size_t kMessageBytes = 150;
constexpr size_t kEvidenceEntryBytes = 7;
/// How long a host waits for the configuration service, or for the reader of
/// its group, before it asks another peer that knows more.
constexpr absl::Duration kLagTolerance = absl::Milliseconds(700);
constexpr absl::Duration kTransferTimeout = absl::Seconds(1);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
constexpr char kTransferPath[] = "/published/";

struct Transfer {
  std::vector<PublishedItem> config;
  std::vector<PublishedItem> targets;
  /// How long ago the sender's configuration service answered again after it
  /// had not.
  int64_t regained_age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(config, targets, regained_age_ms);
  }
};

}  // namespace

FleetLink::FleetLink(engine::EventLoop& loop, Options options, HostTable& hosts,
                     CrashTracker& crashes, PublishedItems& config,
                     PublishedItems& targets)
    : loop_(loop),
      options_(std::move(options)),
      hosts_(hosts),
      crashes_(crashes),
      config_(config),
      targets_(targets),
      datagrams_(loop, [this](const std::string& bytes) { OnDatagram(bytes); }),
      transfers_(
          loop, [] { return engine::ServerLimits(); },
          [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
            ServeTransfer(*exchange);
          }),
      random_(NewIncarnation()),
      sharing_hosts_(hosts.SharingHosts(loop.Now())) {}

Endpoint FleetLink::EndpointOf(const HostId& host) const {
  return absl::StrCat(host, ":", options_.port);
}

Status FleetLink::Start(Hooks hooks) {
  hooks_ = std::move(hooks);
  const Endpoint own = EndpointOf(options_.self.host);
  if (Status bound = datagrams_.Bind(own); GetError(bound)) return bound;
  if (Status bound = transfers_.Listen(own); GetError(bound)) return bound;
  NextRound();
  timers_.Every(kGossipPeriod, [this] { NextRound(); });
  timers_.Every(kEvidencePeriod, [this] { TellEvidence(); });
  return OkStatus();
}

void FleetLink::NextRound() {
  const absl::Time now = loop_.Now();
  const int sharing = hosts_.SharingHosts(now);
  if (sharing != sharing_hosts_ || hosts_.known_hosts() != known_hosts_) {
    LogInfo("limits divided anew", {{"hosts", sharing},
                                    {"before", sharing_hosts_},
                                    {"known", hosts_.known_hosts()}});
    sharing_hosts_ = sharing;
    known_hosts_ = hosts_.known_hosts();
    hooks_.hosts_changed();
  }
  const bool names_hosts = hosts_.ShouldNameHosts(round_++, now);
  if (names_hosts) {
    Send(hosts_.GossipTargets(now, random_), hosts_.Ages(now, random_));
  }
  const std::vector<HostId> audience = Audience();
  Send(audience, names_hosts && !audience.empty() ? hosts_.Ages(now, random_)
                                                  : std::vector<HostAge>());
}

void FleetLink::TellEvidence() {
  std::vector<TargetHealthReport> evidence = hooks_.take_evidence(kMaxEvidence);
  evidence_bytes_ =
      std::min(kEvidenceBurstBytes,
               evidence_bytes_ +
                   kEvidenceBytesPerS * absl::ToDoubleSeconds(kEvidencePeriod));
  if (evidence.empty()) return;
  const auto message_bytes = static_cast<double>(
      kMessageBytes + evidence.size() * kEvidenceEntryBytes);
  const auto affordable = static_cast<size_t>(evidence_bytes_ / message_bytes);
  const std::vector<HostId> mates = hosts_.SampleMates(
      std::min(kEvidenceFanout, affordable), loop_.Now(), random_);
  evidence_bytes_ -= message_bytes * static_cast<double>(mates.size());
  Send(mates, {}, std::move(evidence));
}

std::vector<HostId> FleetLink::Audience() const {
  const absl::Time now = loop_.Now();
  return hosts_.Audience(hosts_.Role(hooks_.reads(), now), now);
}

void FleetLink::PassOn() { Send(Audience(), {}); }

void FleetLink::Gossip() {
  const absl::Time now = loop_.Now();
  Send(hosts_.GossipTargets(now, random_), {});
  PassOn();
}

void FleetLink::Send(const std::vector<HostId>& targets,
                     std::vector<HostAge> ages,
                     std::vector<TargetHealthReport> evidence) {
  if (targets.empty()) return;
  FleetMessage message;
  message.news = {options_.self, hosts_.known_hosts(),
                  hosts_.Role(hooks_.reads(), loop_.Now()), std::move(ages)};
  message.config_revision = config_.newest();
  message.targets_revision = targets_.newest();
  message.crashes = crashes_.TakeCountsToGossip(kMaxCrashCounts, loop_.Now());
  message.evidence = std::move(evidence);
  const std::string datagram = EncodeFleetMessage(message);
  for (const HostId& target : targets) {
    datagrams_.Send(EndpointOf(target), datagram);
  }
}

void FleetLink::OnDatagram(const std::string& datagram) {
  const Result<FleetMessage> decoded = DecodeFleetMessage(datagram);
  if (const Error* error = GetError(decoded)) {
    LogWarning("datagram ignored", {{"error", error->message}});
    return;
  }
  const FleetMessage& message = GetValue(decoded);
  const absl::Time now = loop_.Now();
  const KnownHost& sender = message.news.from;
  if (hosts_.OnNews(message.news, now)) {
    Send({sender.host}, hosts_.Ages(now, random_));
  }
  bool quarantined_any = false;
  for (const CrashCount& count : message.crashes) {
    const int64_t known = crashes_.Total(count.fingerprint);
    const bool quarantined = crashes_.MergeCount(count, now);
    const int64_t crashes = crashes_.Total(count.fingerprint);
    if (quarantined) hooks_.quarantined(count.fingerprint);
    quarantined_any = quarantined_any || quarantined;
    if (crashes == known) continue;
    if (!log_budget_.Take("crash", kCrashLogLines, now)) continue;
    LogInfo(quarantined ? "request quarantined" : "crash counted elsewhere",
            {{"fingerprint", ToHex(count.fingerprint)},
             {"counted_by", ToHex(count.incarnation)},
             {"crashes", crashes},
             {"told_by", sender.host}});
  }
  // Each further host that runs the request loses targets to it.
  if (quarantined_any) Gossip();
  if (!message.evidence.empty()) hooks_.evidence(message.evidence);
  if (!IsBehind(message)) return;
  behind_since_ = std::min(behind_since_, now);
  // Who reads itself will know soon, and so will one whose failure domain has a
  // reader; others take the news at once, from anywhere.
  const bool is_blank = config_.newest() == 0 || targets_.newest() == 0;
  const bool is_foreign = sender.failure_domain != options_.self.failure_domain;
  const bool waits =
      !is_blank && (hooks_.reads() || (is_foreign && hosts_.DomainReads(now)));
  if (!waits || now - behind_since_ >= kLagTolerance) FetchFrom(sender.host);
}

bool FleetLink::IsBehind(const FleetMessage& message) const {
  return message.config_revision > config_.newest() ||
         message.targets_revision > targets_.newest();
}

void FleetLink::FetchFrom(const HostId& peer) {
  if (fetching_) return;
  fetching_ = true;
  std::unique_ptr<engine::HttpCaller>& caller = callers_[peer];
  if (caller == nullptr) {
    caller = std::make_unique<engine::HttpCaller>(loop_, EndpointOf(peer),
                                                  kConnectTimeout);
  }
  const std::string path =
      absl::StrCat(kTransferPath, config_.newest(), "/", targets_.newest());
  caller->Get(
      path, kTransferTimeout,
      [this, peer](Result<engine::HttpResponse> result) {
        fetching_ = false;
        behind_since_ = absl::InfiniteFuture();
        const Error* error = GetError(result);
        Result<Transfer> decoded =
            error != nullptr ? Result<Transfer>(*error)
                             : DecodeArchive<Transfer>(GetValue(result).body);
        if (error = GetError(decoded); error != nullptr) {
          LogWarning("no news from peer",
                     {{"peer", peer}, {"error", error->message}});
          return;
        }
        const Transfer& transfer = GetValue(decoded);
        hooks_.regained(absl::Milliseconds(transfer.regained_age_ms));
        const bool config = config_.Merge(transfer.config);
        const bool targets = targets_.Merge(transfer.targets);
        LogInfo("news from peer", {{"peer", peer},
                                   {"config_items", transfer.config.size()},
                                   {"target_items", transfer.targets.size()},
                                   {"config_revision", config_.newest()},
                                   {"targets_revision", targets_.newest()}});
        hooks_.changed(config, targets);
        // Those who are told by this host take it from here.
        PassOn();
      });
}

void FleetLink::ServeTransfer(engine::ServerExchange& exchange) {
  engine::HttpResponse response;
  response.status = 400;
  const std::vector<std::string> path =
      absl::StrSplit(exchange.request().target, '/');
  Revision config = 0;
  Revision targets = 0;
  if (path.size() == 4 && absl::SimpleAtoi(path[2], &config) &&
      absl::SimpleAtoi(path[3], &targets)) {
    response.status = 200;
    response.body = EncodeArchive(
        Transfer{config_.ChangesAfter(config), targets_.ChangesAfter(targets),
                 absl::ToInt64Milliseconds(hooks_.regained_age())});
  }
  exchange.Respond(std::move(response));
}

}  // namespace cherrydyke
