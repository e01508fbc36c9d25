#include "tier/fleet_gossip.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "packed_era.h"
#include "telemetry/log.h"
#include "tier/compression.h"
#include "tier/transfer_message.h"

namespace cherrydyke {
namespace {

/// Period of gossip rounds, which also serve as heartbeats of readers and
/// relays to their downstream hosts.
constexpr absl::Duration kGossipPeriod = absl::Milliseconds(500);
/// Crash reports in one message, which has to fit a datagram.
constexpr size_t kMaxCrashReports = 12;
/// Log lines per second about crashes that other hosts counted.
constexpr int kCrashLogLinesPerS = 20;
/// How often health reports of targets are sent, to how many hosts, and of how
/// many targets: if a target fails for a few seconds, all hosts of the failure
/// domain must avoid it within the first second.
constexpr absl::Duration kHealthReportPeriod = absl::Milliseconds(250);
constexpr size_t kHealthReportFanoutHosts = 24;
constexpr size_t kMaxReportedTargets = 150;
/// Rate and burst limits of health reports; the rate is about half of a host's
/// budget for control traffic. A fleet with more reports than this also sends
/// so many requests that each host observes enough failures itself.
constexpr double kHealthReportBytesPerS = 6000;
constexpr double kHealthReportBurstBytes = 30'000;
/// Size of a message without health reports, network headers included, and of
/// the report of one target.
constexpr size_t kMessageBytes = 190;
constexpr size_t kBytesPerHealthReport = 7;
/// How long a host whose published items are stale waits for the configuration
/// service or the reader of its group before it fetches them from another peer.
constexpr absl::Duration kLagTolerance = absl::Milliseconds(700);
/// How often a peer whose messages echo none of this host is sent one.
constexpr absl::Duration kEchoRequestPeriod = absl::Milliseconds(250);
/// Messages that are on their way for longer than this are logged, as many in
/// a second.
constexpr absl::Duration kLateDatagram = absl::Milliseconds(200);
constexpr int kLateLogLinesPerS = 2;
/// Log lines per second about transfers of earlier eras.
constexpr int kEarlierEraLogLinesPerS = 2;
/// The hosts of a group fetch a change at the same time, so that its bytes
/// share the sender's link with as many copies. A transfer on a slow path has
/// time for a round trip before it begins and between its parts.
constexpr engine::ResponseTimeouts kTransferTimeouts = {
    absl::Milliseconds(2500), absl::Milliseconds(2500), absl::Seconds(10)};
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
/// Negotiates compressed transfers: hosts of earlier versions ignore the header
/// of the request and answer without compression.
constexpr char kAcceptHeader[] = "Accept-Encoding";
constexpr char kEncodingHeader[] = "Content-Encoding";
constexpr char kCompressed[] = "deflate";
/// The era of the revisions in the path of the request: hosts of earlier
/// versions neither send it nor read it.
constexpr char kEraHeader[] = "Published-Era";
/// Largest transfer after decompression, as without compression.
constexpr size_t kMaxTransferBytes = 16U << 20U;
/// Transfers under way at the same time: a peer that sends slowly does not keep
/// this host from asking another one. Begun `kLagTolerance` apart, silent ones
/// have ended before there are as many.
constexpr size_t kMaxFetches = 4;
/// After this time a peer is asked again beside a transfer that is late, whose
/// connection may have fallen silent.
constexpr absl::Duration kRepeatTime = absl::Seconds(2);
constexpr int kMaxFetchesPerPeer = 2;
/// How long a peer that failed to send its items is not asked again.
constexpr absl::Duration kFailedPeerPause = absl::Seconds(1);
/// How long an encoded transfer is sent to further hosts that lack the same
/// changes: these ask at the same time.
constexpr absl::Duration kTransferReuseTime = absl::Milliseconds(200);

Result<TransferMessage> DecodeResponse(const engine::HttpResponse& response) {
  const std::string* const encoding =
      FindHeader(response.headers, kEncodingHeader);
  if (encoding == nullptr) return DecodeTransferMessage(response.body);
  if (*encoding != kCompressed) {
    return Error{ErrorCode::kInvalidInput,
                 absl::StrCat("unknown content encoding ", *encoding)};
  }
  const Result<std::string> body = Decompress(response.body, kMaxTransferBytes);
  if (const Error* error = GetError(body)) return *error;
  return DecodeTransferMessage(GetValue(body));
}

/// @param own_era the era of this host's items, which only a snapshot can
/// replace by a later one.
Result<TransferMessage> ReadTransfer(
    const Result<engine::HttpResponse>& response, const SourceEra& own_era) {
  if (const Error* error = GetError(response)) return *error;
  Result<TransferMessage> decoded = DecodeResponse(GetValue(response));
  if (GetError(decoded) != nullptr) return decoded;
  const auto& [config, targets, source_recovery_age] = GetValue(decoded);
  if (config.as_of.era > own_era &&
      !(config.is_snapshot && targets.is_snapshot)) {
    return Error{ErrorCode::kInvalidInput, "changes without those before them"};
  }
  return decoded;
}

/// @return the era of a request for a transfer, which is the first one for
/// hosts of earlier versions; `kInvalidInput` if the header is malformed.
Result<SourceEra> EraOf(const engine::HttpRequest& request) {
  const std::string* const header = FindHeader(request.headers, kEraHeader);
  if (header == nullptr) return SourceEra();
  const std::vector<std::string> parts = absl::StrSplit(*header, '.');
  PackedEra era;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &era.stated) ||
      !absl::SimpleAtoi(parts[1], &era.inferred)) {
    return Error{ErrorCode::kInvalidInput, "malformed era"};
  }
  return Unpack(era);
}

}  // namespace

FleetGossip::FleetGossip(engine::EventLoop& loop, Options options,
                         HostTable& hosts, CrashTracker& crashes,
                         PublishedItems& config, PublishedItems& targets,
                         PublishedFreshness& freshness)
    : loop_(loop),
      options_(std::move(options)),
      hosts_(hosts),
      crashes_(crashes),
      config_(config),
      targets_(targets),
      freshness_(freshness),
      transit_times_(std::max(static_cast<uint32_t>(NewIncarnation()), 1U)),
      datagram_socket_(loop,
                       [this](const std::string& bytes) { OnDatagram(bytes); }),
      random_(NewIncarnation()),
      sharing_hosts_(hosts.FleetSizeUpperBound(loop.Now())) {}

Endpoint FleetGossip::EndpointOf(const HostId& host) const {
  return absl::StrCat(host, ":", options_.port);
}

Status FleetGossip::Start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  const Endpoint own = EndpointOf(options_.self.host);
  if (Status bound = datagram_socket_.Bind(own); GetError(bound)) return bound;
  RunGossipRound();
  timers_.Every(kGossipPeriod, [this] { RunGossipRound(); });
  timers_.Every(kHealthReportPeriod, [this] { SendHealthReports(); });
  return OkStatus();
}

void FleetGossip::RunGossipRound() {
  const absl::Time now = loop_.Now();
  const int sharing = hosts_.FleetSizeUpperBound(now);
  if (sharing != sharing_hosts_ || hosts_.known_hosts() != known_hosts_) {
    LogInfo("limits divided anew", {{"hosts", sharing},
                                    {"before", sharing_hosts_},
                                    {"known", hosts_.known_hosts()}});
    sharing_hosts_ = sharing;
    known_hosts_ = hosts_.known_hosts();
    callbacks_.on_hosts_changed();
  }
  const bool includes_hosts = hosts_.ShouldSendDigest(round_++, now);
  if (includes_hosts || crashes_.HasNewQuarantine(now)) {
    Send(hosts_.GossipPeers(now, random_),
         includes_hosts ? hosts_.BuildDigest(now, random_)
                        : std::vector<HostLastSeen>());
  }
  const std::vector<HostId> downstream = DownstreamHosts();
  Send(downstream, includes_hosts && !downstream.empty()
                       ? hosts_.BuildDigest(now, random_)
                       : std::vector<HostLastSeen>());
}

void FleetGossip::SendHealthReports() {
  std::vector<TargetHealthReport> health_reports =
      callbacks_.take_health_reports(kMaxReportedTargets);
  health_report_allowance_bytes_ = std::min(
      kHealthReportBurstBytes,
      health_report_allowance_bytes_ +
          kHealthReportBytesPerS * absl::ToDoubleSeconds(kHealthReportPeriod));
  if (health_reports.empty()) return;
  const auto message_bytes = static_cast<double>(
      kMessageBytes + health_reports.size() * kBytesPerHealthReport);
  const auto max_recipients =
      static_cast<size_t>(health_report_allowance_bytes_ / message_bytes);
  const std::vector<HostId> domain_peers = hosts_.SampleDomainPeers(
      std::min(kHealthReportFanoutHosts, max_recipients), loop_.Now(), random_);
  health_report_allowance_bytes_ -=
      message_bytes * static_cast<double>(domain_peers.size());
  Send(domain_peers, {}, std::move(health_reports));
}

std::vector<HostId> FleetGossip::DownstreamHosts() const {
  const absl::Time now = loop_.Now();
  return hosts_.Recipients(hosts_.Role(callbacks_.is_reading(), now), now);
}

void FleetGossip::NotifyDownstream() { Send(DownstreamHosts(), {}); }

void FleetGossip::Gossip() {
  const absl::Time now = loop_.Now();
  Send(hosts_.GossipPeers(now, random_), {});
  NotifyDownstream();
}

void FleetGossip::Send(const std::vector<HostId>& recipients,
                       std::vector<HostLastSeen> ages,
                       std::vector<TargetHealthReport> health_reports) {
  if (recipients.empty()) return;
  GossipMessage message;
  message.membership_update = {
      options_.self, hosts_.known_hosts(),
      hosts_.Role(callbacks_.is_reading(), loop_.Now()), std::move(ages)};
  message.config_revision = config_.complete_revision();
  message.targets_revision = targets_.complete_revision();
  message.crashes = crashes_.TakeReportsToGossip(kMaxCrashReports, loop_.Now());
  message.reports = std::move(health_reports);
  message.known_until = KnownUntil();
  message.proofs = freshness_.ProofsForPeers(loop_.Now());
  std::string datagram = EncodeGossipMessage(message);
  for (const HostId& recipient : recipients) {
    ReplaceStamp(transit_times_.StampFor(recipient, loop_.Now()), datagram);
    datagram_socket_.Send(EndpointOf(recipient), datagram);
  }
}

void FleetGossip::OnDatagram(const std::string& datagram) {
  const Result<GossipMessage> decoded = DecodeGossipMessage(datagram);
  if (const Error* error = GetError(decoded)) {
    LogWarning("datagram ignored", {{"error", error->message}});
    return;
  }
  const GossipMessage& message = GetValue(decoded);
  const absl::Time now = loop_.Now();
  const KnownHost& sender = message.membership_update.from;
  if (hosts_.OnMembershipUpdate(message.membership_update, now)) {
    Send({sender.host}, hosts_.BuildDigest(now, random_));
  }
  bool quarantined_any = false;
  for (const CrashReport& report : message.crashes) {
    const int known = crashes_.Total(report.fingerprint);
    const bool quarantined = crashes_.Merge(report, now);
    const int crashes = crashes_.Total(report.fingerprint);
    if (quarantined) callbacks_.on_quarantined(report.fingerprint);
    quarantined_any = quarantined_any || quarantined;
    if (crashes == known) continue;
    if (!log_rate_limiter_.TryAcquire("crash", kCrashLogLinesPerS, now))
      continue;
    LogInfo(quarantined ? "request quarantined" : "crash counted elsewhere",
            {{"fingerprint", ToHex(report.fingerprint)},
             {"target_hash", ToHex(report.target)},
             {"crashes", crashes},
             {"told_by", sender.host}});
  }
  // Until other hosts hear of it, each one that runs the request crashes more
  // targets.
  if (quarantined_any) Gossip();
  if (!message.reports.empty()) callbacks_.on_health_reports(message.reports);
  peer_eras_[sender.host] = message.known_until.era;
  latest_peer_era_ = std::max(latest_peer_era_, message.known_until.era);
  AddProofs(message);
  ApplyProofs();
  if (message.known_until <= KnownUntil()) return;
  // A reader gets the changes from the service soon, and a host whose failure
  // domain has a reader gets them from that one; others fetch at once from any
  // peer.
  const bool is_empty =
      config_.complete_revision() == 0 || targets_.complete_revision() == 0;
  const bool is_other_domain =
      sender.failure_domain != options_.self.failure_domain;
  const bool waits =
      !is_empty && (callbacks_.is_reading() ||
                    (is_other_domain && hosts_.HasDomainReader(now)));
  if (!waits || now - behind_since() >= kLagTolerance) FetchFrom(sender.host);
}

void FleetGossip::AddProofs(const GossipMessage& message) {
  const absl::Time now = loop_.Now();
  const HostId& sender = message.membership_update.from.host;
  const TransitTime transit =
      transit_times_.OnMessage(sender, message.stamp, now);
  if (transit.time && *transit.time >= kLateDatagram &&
      log_rate_limiter_.TryAcquire("late", kLateLogLinesPerS, now)) {
    LogInfo("datagram was late",
            {{"peer", sender},
             {"ms", absl::ToInt64Milliseconds(*transit.time)},
             {"both_ways", transit.is_bounded}});
  }
  const bool has_stamp = message.stamp.incarnation != 0;
  if (has_stamp && !transit.is_bounded &&
      now - echo_requested_at_ >= kEchoRequestPeriod) {
    echo_requested_at_ = now;
    Send({sender}, {});
  }
  pending_proofs_.Add(
      {sender, message.known_until,
       transit.time ? message.proofs : std::vector<ReadProof>()},
      now - transit.time.value_or(absl::ZeroDuration()));
}

PublishedVersion FleetGossip::KnownUntil() const {
  return std::min(config_.known_until(), targets_.known_until());
}

void FleetGossip::ApplyProofs() {
  pending_proofs_.Apply(KnownUntil(), freshness_);
}

bool FleetGossip::CanFetchFrom(const HostId& peer) const {
  const absl::Time now = loop_.Now();
  const auto excluded = excluded_until_.find(peer);
  if (excluded != excluded_until_.end() && now < excluded->second) return false;
  const auto era = peer_eras_.find(peer);
  if (era != peer_eras_.end() && era->second < KnownUntil().era) return false;
  if (fetches_.size() >= kMaxFetches) return false;
  const auto from_peer = std::count_if(
      fetches_.begin(), fetches_.end(),
      [&](const auto& fetch) { return fetch.second.peer == peer; });
  return from_peer < kMaxFetchesPerPeer &&
         std::all_of(fetches_.begin(), fetches_.end(), [&](const auto& fetch) {
           return now - fetch.second.started_at >=
                  (fetch.second.peer == peer ? kRepeatTime : kLagTolerance);
         });
}

void FleetGossip::FetchFrom(const HostId& peer) {
  if (!CanFetchFrom(peer)) return;
  const int64_t number = ++last_fetch_;
  const Fetch fetch = {peer, loop_.Now(), config_.known_until(),
                       targets_.known_until()};
  fetches_[number] = fetch;
  std::unique_ptr<engine::AsyncHttpClient>& client = transfer_clients_[peer];
  if (client == nullptr) {
    client = std::make_unique<engine::AsyncHttpClient>(loop_, EndpointOf(peer),
                                                       kConnectTimeout);
  }
  const std::string path =
      absl::StrCat(kTransferPath, fetch.config_from.revision, "/",
                   fetch.targets_from.revision);
  const std::vector<engine::HttpHeader> headers = {
      {kAcceptHeader, kCompressed}, {kEraHeader, KnownUntil().era.ToString()}};
  client->Get(
      path, headers, kTransferTimeouts,
      [this, number, fetch](const Result<engine::HttpResponse>& response) {
        fetches_.erase(number);
        OnTransfer(fetch, response);
      });
}

void FleetGossip::OnTransfer(const Fetch& fetch,
                             const Result<engine::HttpResponse>& response) {
  const absl::Time now = loop_.Now();
  const int64_t elapsed_ms = absl::ToInt64Milliseconds(now - fetch.started_at);
  const PublishedVersion before = KnownUntil();
  Result<TransferMessage> decoded = ReadTransfer(response, before.era);
  if (const Error* error = GetError(decoded)) {
    excluded_until_[fetch.peer] = now + kFailedPeerPause;
    LogWarning(
        "no news from peer",
        {{"peer", fetch.peer}, {"error", error->message}, {"ms", elapsed_ms}});
    return;
  }
  auto& [config, targets, source_recovery_age] = GetValue(decoded);
  const PublishedVersion sent = std::min(config.as_of, targets.as_of);
  if (sent.era < before.era) {
    if (log_rate_limiter_.TryAcquire("earlier_era", kEarlierEraLogLinesPerS,
                                     now)) {
      LogInfo("published items of an earlier era dropped",
              {{"peer", fetch.peer},
               {"ms", elapsed_ms},
               {"era", sent.era.ToString()},
               {"revision", sent.revision},
               {"own_era", before.era.ToString()},
               {"own_revision", before.revision}});
    }
    return;
  }
  // All changes are all keys, whatever the peer's version.
  if (fetch.config_from.revision == 0) config.is_snapshot = true;
  if (fetch.targets_from.revision == 0) targets.is_snapshot = true;
  callbacks_.on_source_recovered(source_recovery_age);
  const bool config_changed = config_.Merge(config);
  const bool targets_changed = targets_.Merge(targets);
  const PublishedVersion after = KnownUntil();
  if (after.era != before.era && before != PublishedVersion()) {
    LogInfo("published items are of a later era of the store",
            {{"peer", fetch.peer},
             {"era_before", before.era.ToString()},
             {"revision_before", before.revision},
             {"era", after.era.ToString()},
             {"revision", after.revision},
             {"config_items", config.items.size()},
             {"target_items", targets.items.size()},
             {"config_retained", config_.retained()},
             {"targets_retained", targets_.retained()}});
  }
  LogInfo("published items fetched from peer",
          {{"peer", fetch.peer},
           {"ms", elapsed_ms},
           {"bytes", GetValue(response).body.size()},
           {"config_items", config.items.size()},
           {"target_items", targets.items.size()},
           {"snapshot", config.is_snapshot || targets.is_snapshot},
           {"era", after.era.ToString()},
           {"config_revision", config_.complete_revision()},
           {"targets_revision", targets_.complete_revision()}});
  ApplyProofs();
  callbacks_.on_published_changed(config_changed, targets_changed);
  // Downstream hosts fetch the changes from this host.
  NotifyDownstream();
}

void FleetGossip::ServeTransfer(engine::ServerExchange& exchange) {
  engine::HttpResponse response;
  response.status = 400;
  const std::vector<std::string> path =
      absl::StrSplit(exchange.request().target, '/');
  Revision config = 0;
  Revision targets = 0;
  const Result<SourceEra> era = EraOf(exchange.request());
  if (path.size() == 4 && absl::SimpleAtoi(path[2], &config) &&
      absl::SimpleAtoi(path[3], &targets) && GetError(era) == nullptr) {
    response.status = 200;
    const std::string* const accepted =
        FindHeader(exchange.request().headers, kAcceptHeader);
    const bool compress = accepted != nullptr && *accepted == kCompressed;
    if (compress) response.headers.push_back({kEncodingHeader, kCompressed});
    response.body = EncodeTransfer(
        {{GetValue(era), config}, {GetValue(era), targets}, compress});
  }
  exchange.Respond(std::move(response));
}

const std::string& FleetGossip::EncodeTransfer(const TransferRequest& request) {
  const absl::Time now = loop_.Now();
  const auto known =
      std::make_pair(config_.known_until(), targets_.known_until());
  if (last_transfer_.request == request && last_transfer_.known == known &&
      now - last_transfer_.encoded_at < kTransferReuseTime) {
    return last_transfer_.body;
  }
  std::string body =
      EncodeTransferMessage({config_.ChangesAfter(request.config),
                             targets_.ChangesAfter(request.targets),
                             callbacks_.source_recovery_age()});
  if (request.compress) body = Compress(body);
  last_transfer_ = {request, known, now, std::move(body)};
  return last_transfer_.body;
}

}  // namespace cherrydyke
