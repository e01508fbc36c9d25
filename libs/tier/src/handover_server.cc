#include "tier/handover_server.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"
#include "tier/handover_message.h"

namespace cherrydyke {
namespace {

/// A request of another host's caller, as an exchange of this host.
class HandoverExchange : public engine::ServerExchange {
 public:
  HandoverExchange(std::shared_ptr<engine::ServerExchange> outer,
                   HandoverRequest handover, int64_t config_version,
                   std::shared_ptr<int> running)
      : outer_(std::move(outer)),
        handover_(std::move(handover)),
        config_version_(config_version),
        running_(std::move(running)) {
    ++*running_;
  }
  ~HandoverExchange() override { End(); }

  const engine::HttpRequest& request() const override {
    return handover_.request;
  }
  absl::Time received_at() const override {
    // As if the caller's request had arrived earlier by the way here and the
    // way back.
    return outer_->received_at() - handover_.age -
           outer_->connection_info().round_trip;
  }
  engine::CallerConnectionInfo connection_info() const override {
    if (handover_.caller_round_trip == absl::ZeroDuration()) return {};
    return {handover_.caller_round_trip, false};
  }
  void Respond(engine::HttpResponse response) override {
    End();
    engine::HttpResponse reply;
    reply.status = 200;
    reply.body =
        EncodeHandoverReply({true, "", std::move(response), config_version_});
    outer_->Respond(std::move(reply));
  }
  void OnDisconnect(std::function<void()> callback) override {
    outer_->OnDisconnect(std::move(callback));
  }

 private:
  void End() {
    if (!std::exchange(ended_, true)) --*running_;
  }

  const std::shared_ptr<engine::ServerExchange> outer_;
  const HandoverRequest handover_;
  const int64_t config_version_;
  const std::shared_ptr<int> running_;
  bool ended_ = false;
};

}  // namespace

HandoverServer::HandoverServer(engine::EventLoop& loop, Metrics& metrics,
                               const ConfigVersions& versions, Policy policy,
                               Callbacks callbacks)
    : loop_(loop),
      metrics_(metrics),
      versions_(versions),
      policy_(policy),
      callbacks_(std::move(callbacks)) {}

bool HandoverServer::Handles(const engine::HttpRequest& request) {
  return request.target == kHandoverPath ||
         request.target == kHandoverOfferPath;
}

void HandoverServer::Serve(
    const std::shared_ptr<engine::ServerExchange>& exchange) {
  if (exchange->request().target == kHandoverOfferPath) {
    return ServeOffer(*exchange);
  }
  ServeRequest(exchange);
}

void HandoverServer::ServeOffer(engine::ServerExchange& exchange) const {
  HandoverOffer offer = callbacks_.offer();
  offer.running = running();
  offer.available = offer.available &&
                    HasRoomToTakeOver(offer.running, callbacks_.lateness());
  engine::HttpResponse response;
  response.status = 200;
  response.body = EncodeHandoverOffer(offer);
  exchange.Respond(std::move(response));
}

void HandoverServer::ServeRequest(
    const std::shared_ptr<engine::ServerExchange>& exchange) {
  Result<HandoverRequest> decoded =
      DecodeHandoverRequest(exchange->request().body);
  if (const Error* error = GetError(decoded)) {
    LogWarning("malformed handover refused",
               {{"from", exchange->request().peer}, {"error", error->message}});
    engine::HttpResponse response;
    response.status = 400;
    return exchange->Respond(std::move(response));
  }
  HandoverRequest& handover = GetValue(decoded);
  const HandoverOffer offer = callbacks_.offer();
  if (!offer.available) return Reject(*exchange, "not_available");
  if (!versions_.MayTakeOver(handover.config_version)) {
    const std::string& peer = exchange->request().peer;
    callbacks_.on_newer_configuration(peer.substr(0, peer.rfind(':')));
    return Reject(*exchange, kRejectedAsOutdated);
  }
  if (!HasRoomToTakeOver(running(), callbacks_.lateness())) {
    return Reject(*exchange, "no_room");
  }
  const std::string* const understood =
      FindHeader(exchange->request().headers, kUnderstoodRejectionHeader);
  if (understood != nullptr && *understood == kRejectedAsNewer &&
      versions_.MustTellFirst(handover.config_version)) {
    return Reject(*exchange, kRejectedAsNewer, versions_.in_force());
  }
  metrics_.counter("cherrydyke_taken_over_total", "outcome=\"accepted\"").Add();
  HandoverOrigin origin{exchange->request().peer, handover.service,
                        handover.tried};
  const auto taken = std::make_shared<HandoverExchange>(
      exchange, std::move(handover), offer.config_version, running_);
  callbacks_.handle(taken, std::move(origin));
}

void HandoverServer::Reject(engine::ServerExchange& exchange,
                            const std::string& reason, int64_t config_version) {
  metrics_
      .counter("cherrydyke_taken_over_total",
               absl::StrCat("outcome=\"", reason, "\""))
      .Add();
  if (log_rate_limiter_.TryAcquire(reason, policy_.log_lines, loop_.Now())) {
    LogInfo("request not taken over",
            {{"from", exchange.request().peer},
             {"reason", reason},
             {"config_version", versions_.in_force()}});
  }
  engine::HttpResponse response;
  response.status = 200;
  response.body = EncodeHandoverReply({false, reason, {}, config_version});
  exchange.Respond(std::move(response));
}

}  // namespace cherrydyke
