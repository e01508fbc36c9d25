#include "entry/gate_links.h"

#include <algorithm>

#include "telemetry/log.h"

namespace cherrydyke {

void SubAnswerQueue::Put(SubAnswer answer) {
  const absl::MutexLock lock(&mutex_);
  answers_.push_back(std::move(answer));
  arrived_.Signal();
}

bool SubAnswerQueue::Take(SubAnswer& answer, absl::Time until,
                          const Clock& clock) {
  const absl::MutexLock lock(&mutex_);
  while (answers_.empty()) {
    const absl::Duration left = until - clock.Now();
    if (left <= absl::ZeroDuration()) return false;
    arrived_.WaitWithTimeout(&mutex_, left);
  }
  answer = std::move(answers_.front());
  answers_.pop_front();
  return true;
}

/// The link to one gate.
class GateLinks::Peer : public LinkClient::Events {
 public:
  Peer(GateLinks& owner, HostId gate, std::string address)
      : owner_(owner),
        gate_(std::move(gate)),
        address_(std::move(address)),
        client_(MakeEndpoint(address_, owner.link_port_), owner.hello_,
                owner.connector_, *this) {}

  void OnMessage(Message message) override {
    owner_.OnMessage(gate_, std::move(message));
  }
  void OnBroken() override { owner_.OnBroken(gate_); }

  LinkClient& client() { return client_; }
  const std::string& address() const { return address_; }

 private:
  GateLinks& owner_;
  const HostId gate_;
  const std::string address_;
  LinkClient client_;
};

GateLinks::GateLinks(Hello hello, int link_port, Connector& connector,
                     TargetDirectory& directory, const Clock& clock,
                     Metrics& metrics)
    : hello_(std::move(hello)),
      link_port_(link_port),
      connector_(connector),
      directory_(directory),
      clock_(clock),
      metrics_(metrics) {}

GateLinks::~GateLinks() { Stop(); }

void GateLinks::Stop() {
  std::map<HostId, std::shared_ptr<Peer>> peers;
  {
    const absl::MutexLock lock(&mutex_);
    peers.swap(peers_);
  }
  for (const auto& [gate, peer] : peers) peer->client().Stop();
}

void GateLinks::OnHosts(const HostList& hosts) {
  std::vector<std::shared_ptr<Peer>> closed;
  {
    const absl::MutexLock lock(&mutex_);
    std::map<HostId, std::shared_ptr<Peer>> next;
    for (const Host& host : hosts.hosts) {
      if (host.kind != HostKind::kEntry) continue;
      const auto found = peers_.find(host.id);
      if (found != peers_.end() && found->second->address() == host.address) {
        next[host.id] = found->second;
        continue;
      }
      next[host.id] = std::make_shared<Peer>(*this, host.id, host.address);
    }
    for (const auto& [gate, peer] : peers_) {
      const auto kept = next.find(gate);
      if (kept == next.end() || kept->second != peer) closed.push_back(peer);
    }
    peers_ = std::move(next);
  }
  for (const auto& peer : closed) peer->client().Stop();
}

std::shared_ptr<GateLinks::Peer> GateLinks::FindPeer(const HostId& gate) const {
  const absl::MutexLock lock(&mutex_);
  const auto found = peers_.find(gate);
  return found == peers_.end() ? nullptr : found->second;
}

size_t GateLinks::connected() const {
  const absl::MutexLock lock(&mutex_);
  return static_cast<size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& peer) { return peer.second->client().connected(); }));
}

void GateLinks::Send(const HostId& gate, const SubRequestBatch& batch,
                     const std::shared_ptr<SubAnswerQueue>& box) {
  std::vector<AttemptId> sent;
  {
    const absl::MutexLock lock(&pending_mutex_);
    for (const SubRequest& sub : batch.sub_requests) {
      attempts_[sub.attempt] = {gate, sub.target, box};
      sent.push_back(sub.attempt);
    }
  }
  for (const SubRequest& sub : batch.sub_requests) {
    directory_.AdjustOutstanding(sub.target, 1);
  }
  metrics_.counter("cherrydyke_sub_requests_total").Add(sent.size());
  const std::shared_ptr<Peer> peer = FindPeer(gate);
  const LinkClient::SendResult result = peer == nullptr
                                            ? LinkClient::SendResult::kNotSent
                                            : peer->client().Send(batch);
  if (result != LinkClient::SendResult::kSent) {
    FailAttempts(sent, result == LinkClient::SendResult::kNotSent);
  }
}

void GateLinks::FailAttempts(const std::vector<AttemptId>& attempts,
                             bool not_sent) {
  for (const AttemptId& attempt : attempts) {
    SubAnswer answer;
    answer.attempt = attempt;
    answer.outcome =
        not_sent ? AttemptOutcome::kUnreachable : AttemptOutcome::kLinkLost;
    answer.not_run = not_sent;
    OnSubAnswer(std::move(answer));
  }
}

void GateLinks::OnSubAnswer(SubAnswer answer) {
  PendingAttempt pending;
  {
    const absl::MutexLock lock(&pending_mutex_);
    const auto found = attempts_.find(answer.attempt);
    if (found == attempts_.end()) {
      // Late, doubled, or of an earlier life of this daemon.
      metrics_.counter("cherrydyke_dropped_answers_total").Add();
      return;
    }
    pending = std::move(found->second);
    attempts_.erase(found);
  }
  directory_.AdjustOutstanding(pending.target, -1);
  if (answer.outcome == AttemptOutcome::kNotHeld) {
    directory_.OnNotHeld(pending.target);
  }
  if (const auto box = pending.box.lock()) box->Put(std::move(answer));
}

void GateLinks::Cancel(const std::vector<AttemptId>& attempts) {
  std::map<HostId, CancelAttempts> by_gate;
  std::vector<TargetId> targets;
  {
    const absl::MutexLock lock(&pending_mutex_);
    for (const AttemptId& attempt : attempts) {
      const auto found = attempts_.find(attempt);
      if (found == attempts_.end()) continue;
      by_gate[found->second.gate].attempts.push_back(attempt);
      targets.push_back(found->second.target);
      attempts_.erase(found);
    }
  }
  for (const TargetId& target : targets)
    directory_.AdjustOutstanding(target, -1);
  for (const auto& [gate, cancel] : by_gate) {
    if (const auto peer = FindPeer(gate)) peer->client().Send(cancel);
  }
}

void GateLinks::OnMessage(const HostId& gate, Message message) {
  if (auto* answer = std::get_if<SubAnswer>(&message)) {
    OnSubAnswer(std::move(*answer));
  } else if (const auto* reports = std::get_if<TargetReports>(&message)) {
    directory_.OnLinkState(gate, true);
    directory_.OnReports(gate, *reports);
  } else if (const auto* ticket = std::get_if<TicketReply>(&message)) {
    OnCallReply(ticket->call_id, *ticket);
  } else if (const auto* action = std::get_if<ActionReply>(&message)) {
    OnCallReply(action->call_id, *action);
  }
}

void GateLinks::OnBroken(const HostId& gate) {
  directory_.OnLinkState(gate, false);
  std::vector<AttemptId> lost;
  {
    const absl::MutexLock lock(&pending_mutex_);
    for (const auto& [attempt, pending] : attempts_) {
      if (pending.gate == gate) lost.push_back(attempt);
    }
    for (auto it = calls_.begin(); it != calls_.end();) {
      const bool waits = it->second.gate == gate && !it->second.reply;
      it = waits ? calls_.erase(it) : std::next(it);
    }
    call_answered_.SignalAll();
  }
  FailAttempts(lost, false);
}

void GateLinks::OnCallReply(uint64_t call_id, Message message) {
  const absl::MutexLock lock(&pending_mutex_);
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    metrics_.counter("cherrydyke_dropped_answers_total").Add();
    return;
  }
  found->second.reply = std::move(message);
  call_answered_.SignalAll();
}

std::optional<Message> GateLinks::Call(const HostId& gate, uint64_t call_id,
                                       const Message& request,
                                       absl::Duration timeout) {
  const absl::Time until = clock_.Now() + timeout;
  {
    const absl::MutexLock lock(&pending_mutex_);
    calls_[call_id] = {gate, std::nullopt};
  }
  const std::shared_ptr<Peer> peer = FindPeer(gate);
  const bool sent = peer != nullptr && peer->client().Send(request) ==
                                           LinkClient::SendResult::kSent;
  const absl::MutexLock lock(&pending_mutex_);
  std::optional<Message> reply;
  while (sent) {
    const auto found = calls_.find(call_id);
    if (found == calls_.end()) break;
    if (found->second.reply) {
      reply = std::move(found->second.reply);
      break;
    }
    const absl::Duration left = until - clock_.Now();
    if (left <= absl::ZeroDuration()) break;
    call_answered_.WaitWithTimeout(&pending_mutex_, left);
  }
  calls_.erase(call_id);
  return reply;
}

TicketReply GateLinks::RequestTicket(const HostId& gate, TicketRequest request,
                                     absl::Duration timeout) {
  {
    const absl::MutexLock lock(&pending_mutex_);
    request.call_id = ++last_call_;
  }
  const std::optional<Message> reply =
      Call(gate, request.call_id, request, timeout);
  const auto* ticket = reply ? std::get_if<TicketReply>(&*reply) : nullptr;
  if (ticket != nullptr) return *ticket;
  TicketReply lost;
  lost.outcome = AttemptOutcome::kLinkLost;
  return lost;
}

ActionReply GateLinks::RunAction(const HostId& gate, ActionRequest request,
                                 absl::Duration timeout) {
  {
    const absl::MutexLock lock(&pending_mutex_);
    request.call_id = ++last_call_;
  }
  const std::optional<Message> reply =
      Call(gate, request.call_id, request, timeout);
  const auto* action = reply ? std::get_if<ActionReply>(&*reply) : nullptr;
  if (action != nullptr) return *action;
  ActionReply lost;
  lost.outcome = AttemptOutcome::kLinkLost;
  return lost;
}

}  // namespace cherrydyke
