#include "tier/handover_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "handover_peers.h"
#include "telemetry/log.h"
#include "tier/handover_message.h"

namespace cherrydyke {
namespace {

/// How long a peer gets no requests after it took one no further, and after it
/// did not understand one.
constexpr absl::Duration kRejectionExclusion = absl::Milliseconds(200);
constexpr absl::Duration kMalformedExclusion = absl::Seconds(1);
/// As above, for one that fetches a newer configuration from this host.
constexpr absl::Duration kOutdatedExclusion = absl::Milliseconds(50);
/// Hosts that a request is offered to, if the first one does not take it.
constexpr int kMaxTries = 2;
/// Longest idle time of a connection for a request that must not run twice: a
/// peer that restarts closes its connections.
constexpr absl::Duration kMaxConnectionIdleTime = absl::Milliseconds(400);
/// A peer answers by the deadline; its answer may arrive a little later.
constexpr absl::Duration kReplySlack = absl::Milliseconds(5);
constexpr int kStatusBadRequest = 400;

}  // namespace

struct HandoverClient::Handover {
  OutgoingHandover outgoing;
  HostId peer;
  engine::ExchangeId exchange = 0;
  engine::TimerId deadline_timer = 0;
  absl::Time started_at;
  int tries = 0;
  bool ended = false;
};

HandoverClient::HandoverClient(Dependencies dependencies)
    : loop_(dependencies.loop),
      protocol_(dependencies.protocol),
      versions_(dependencies.versions),
      metrics_(dependencies.metrics),
      policy_(dependencies.policy),
      peers_(std::make_unique<HandoverPeers>(
          dependencies.loop, std::move(dependencies.locality),
          dependencies.fleet_port, dependencies.hosts, dependencies.on_version,
          std::move(dependencies.on_peers_changed))),
      on_version_(std::move(dependencies.on_version)) {}

HandoverClient::~HandoverClient() = default;

void HandoverClient::Prepare() { peers_->Prepare(); }

bool HandoverClient::Start(OutgoingHandover outgoing) {
  peers_->Prepare();
  const auto handover = std::make_shared<Handover>();
  handover->outgoing = std::move(outgoing);
  handover->started_at = loop_.Now();
  if (!SendToPeer(handover)) return false;
  running_.insert(handover);
  handover->outgoing.exchange->OnDisconnect(
      [this, weak = std::weak_ptr<Handover>(handover)] {
        if (const auto alive = weak.lock()) OnCallerDisconnected(alive);
      });
  handover->deadline_timer =
      timers_.RunAt(handover->outgoing.deadline + kReplySlack,
                    [this, handover] { OnDeadline(handover); });
  return true;
}

std::optional<absl::Time> HandoverClient::WaitEnd(
    const UnplacedRequest& request) {
  return peers_->WaitEnd(request);
}

bool HandoverClient::SendToPeer(const HandoverPtr& handover) {
  OutgoingHandover& outgoing = handover->outgoing;
  outgoing.criteria.config_version = versions_.LeastForPeers();
  outgoing.criteria.allowed_regions = outgoing.allowed_regions();
  const std::optional<HostId> peer = peers_->Choose(outgoing.criteria);
  if (!peer) {
    LogLackOfPeers(outgoing);
    return false;
  }
  handover->peer = *peer;
  ++handover->tries;
  engine::PoolRequest request;
  request.exchange.write = [this, handover]() -> std::optional<std::string> {
    OutgoingHandover& sent = handover->outgoing;
    // A change may have come into force while the connection was opened.
    sent.criteria.config_version = versions_.LeastForPeers();
    sent.criteria.allowed_regions = sent.allowed_regions();
    if (!peers_->MayReceiveBody(handover->peer, sent.criteria)) {
      return std::nullopt;
    }
    const engine::CallerConnectionInfo caller =
        sent.exchange->connection_info();
    const std::string body = EncodeHandoverRequest(
        {sent.exchange->request(), loop_.Now() - sent.exchange->received_at(),
         // The caller has also waited for a new connection to open.
         caller.round_trip * (caller.is_new_connection ? 2 : 1),
         sent.criteria.config_version, sent.service, sent.tried});
    return HandoverPeers::RequestHead(
               "POST", kHandoverPath, handover->peer, body.size(),
               absl::StrCat(kUnderstoodRejectionHeader, ": ", kRejectedAsNewer,
                            "\r\n")) +
           body;
  };
  request.exchange.done = [this,
                           handover](const engine::ExchangeResult& result) {
    OnResult(handover, result);
  };
  if (!outgoing.idempotent) request.max_idle_time = kMaxConnectionIdleTime;
  handover->exchange = peers_->Send(*peer, std::move(request));
  if (log_rate_limiter_.TryAcquire("handed over", policy_.log_lines,
                                   loop_.Now())) {
    LogInfo("request handed over",
            {{"request", outgoing.request_id},
             {"peer", *peer},
             {"tries", handover->tries},
             {"tried_services", outgoing.tried.size()},
             {"config_version", outgoing.criteria.config_version}});
  }
  return true;
}

void HandoverClient::LogLackOfPeers(const OutgoingHandover& outgoing) {
  if (!log_rate_limiter_.TryAcquire("no peer", policy_.log_lines,
                                    loop_.Now())) {
    return;
  }
  LogInfo("no peer can take the request over",
          {{"request", outgoing.request_id},
           {"config_version", outgoing.criteria.config_version},
           {"peers_by_obstacle",
            absl::StrJoin(peers_->CountObstacles(outgoing.criteria), ",",
                          absl::PairFormatter("="))}});
}

void HandoverClient::OnResult(const HandoverPtr& handover,
                              const engine::ExchangeResult& result) {
  if (handover->ended) return;
  if (result.status == engine::ExchangeStatus::kWithdrawn) {
    // The peer was asked nothing, so that this was no try.
    --handover->tries;
    return OnNotTaken(handover, "region_excluded");
  }
  if (result.status == engine::ExchangeStatus::kNotSent) {
    peers_->OnSilent(handover->peer);
    return OnRejected(handover, "not_connected", absl::ZeroDuration());
  }
  const bool complete = result.status == engine::ExchangeStatus::kComplete;
  if (complete && result.response.status == kStatusBadRequest) {
    return OnRejected(handover, "malformed", kMalformedExclusion);
  }
  std::optional<HandoverReply> reply;
  if (complete && result.response.status == 200) {
    Result<HandoverReply> decoded = DecodeHandoverReply(result.response.body);
    if (GetError(decoded) == nullptr) reply = std::move(GetValue(decoded));
  }
  if (!reply) {
    Finish(handover, "lost");
    return handover->outgoing.on_failed(RefusalReason::kTargetsFailed, true);
  }
  if (!reply->accepted && reply->rejection == kRejectedAsNewer &&
      reply->config_version > handover->outgoing.criteria.config_version) {
    return OnNewer(handover, reply->config_version);
  }
  if (!reply->accepted) {
    return OnRejected(handover, reply->rejection,
                      reply->rejection == kRejectedAsOutdated
                          ? kOutdatedExclusion
                          : kRejectionExclusion);
  }
  OnVersion(*handover, reply->config_version);
  const bool denies_run = protocol_.DeniesRun(reply->response);
  const bool from_target = protocol_.IsFromTarget(reply->response);
  if (denies_run && from_target && !handover->outgoing.idempotent) {
    // Hosts of earlier versions relay such failures of targets.
    Finish(handover, "misleading");
    return handover->outgoing.on_failed(RefusalReason::kTargetsFailed, true);
  }
  const bool refused = denies_run && !from_target;
  if (refused) peers_->Exclude(handover->peer, kRejectionExclusion);
  Finish(handover, refused ? "refused" : "answered");
  handover->outgoing.exchange->Respond(std::move(reply->response));
}

void HandoverClient::OnVersion(const Handover& handover, int64_t version) {
  if (version == 0) version = peers_->OfferedVersion(handover.peer);
  if (versions_.OnRunByPeer(version) &&
      version > handover.outgoing.criteria.config_version) {
    LogInfo("peer has run a request by a newer configuration",
            {{"request", handover.outgoing.request_id},
             {"peer", handover.peer},
             {"config_version", version},
             {"asked_for", handover.outgoing.criteria.config_version}});
  }
  on_version_(handover.peer, version);
}

void HandoverClient::OnNewer(const HandoverPtr& handover, int64_t version) {
  peers_->RaiseOfferedVersion(handover->peer, version);
  if (versions_.OnRunByPeer(version)) {
    LogInfo("peer has a newer configuration",
            {{"request", handover->outgoing.request_id},
             {"peer", handover->peer},
             {"config_version", version},
             {"asked_for", handover->outgoing.criteria.config_version}});
  }
  on_version_(handover->peer, version);
  // Each further rejection of this kind has a newer version, so that they end.
  --handover->tries;
  OnNotTaken(handover, kRejectedAsNewer);
}

void HandoverClient::OnRejected(const HandoverPtr& handover,
                                const std::string& reason,
                                absl::Duration exclusion) {
  peers_->Exclude(handover->peer, exclusion);
  OnNotTaken(handover, reason);
}

void HandoverClient::OnNotTaken(const HandoverPtr& handover,
                                const std::string& reason) {
  if (log_rate_limiter_.TryAcquire("rejected", policy_.log_lines,
                                   loop_.Now())) {
    LogInfo("peer did not take the request over",
            {{"request", handover->outgoing.request_id},
             {"peer", handover->peer},
             {"reason", reason}});
  }
  if (handover->tries < kMaxTries && SendToPeer(handover)) return;
  Finish(handover, "rejected");
  handover->outgoing.on_failed(RefusalReason::kNoTarget,
                               !handover->outgoing.tried.empty());
}

void HandoverClient::OnDeadline(const HandoverPtr& handover) {
  if (handover->ended) return;
  peers_->Cancel(handover->peer, handover->exchange);
  Finish(handover, "deadline");
  handover->outgoing.on_failed(RefusalReason::kDeadline, true);
}

void HandoverClient::EndRunning() {
  const std::set<HandoverPtr> ended = running_;
  for (const HandoverPtr& handover : ended) {
    peers_->Cancel(handover->peer, handover->exchange);
    Finish(handover, "shutdown");
    handover->outgoing.on_failed(RefusalReason::kShutdown, true);
  }
}

void HandoverClient::OnCallerDisconnected(const HandoverPtr& handover) {
  if (handover->ended) return;
  peers_->Cancel(handover->peer, handover->exchange);
  Finish(handover, "caller_left");
}

void HandoverClient::Finish(const HandoverPtr& handover,
                            const std::string& outcome) {
  handover->ended = true;
  running_.erase(handover);
  loop_.Cancel(handover->deadline_timer);
  metrics_
      .counter("cherrydyke_handovers_total",
               absl::StrCat("outcome=\"", outcome, "\""))
      .Add();
  const bool answered = outcome == "answered";
  if (!log_rate_limiter_.TryAcquire(
          absl::StrCat("done ", outcome),
          answered ? policy_.answer_log_lines : policy_.log_lines,
          loop_.Now())) {
    return;
  }
  LogInfo(
      "handover done",
      {{"request", handover->outgoing.request_id},
       {"peer", handover->peer},
       {"handover", outcome},
       {"ms", absl::ToDoubleMilliseconds(loop_.Now() - handover->started_at)}});
}

}  // namespace cherrydyke
