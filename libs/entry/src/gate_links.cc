#include "entry/gate_links.h"

#include <algorithm>

#include "telemetry/log.h"

namespace cherrydyke {

void SubRequestReplyQueue::Push(SubRequestReply answer) {
  const absl::MutexLock lock(&mutex_);
  answers_.push_back(std::move(answer));
  arrived_.Signal();
}

bool SubRequestReplyQueue::Pop(SubRequestReply& answer, absl::Time until,
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
class GateLinks::GateLink : public LinkClient::Events {
 public:
  GateLink(GateLinks& owner, HostId gate, std::string address)
      : owner_(owner),
        gate_(std::move(gate)),
        address_(std::move(address)),
        client_(MakeEndpoint(address_, owner.link_port_), owner.hello_,
                owner.connector_, *this) {}

  void OnMessage(Message message) override {
    owner_.OnMessage(gate_, std::move(message));
  }
  void OnLinkDown() override { owner_.OnLinkDown(gate_); }

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
  std::map<HostId, std::shared_ptr<GateLink>> links;
  {
    const absl::MutexLock lock(&mutex_);
    links.swap(links_);
  }
  for (const auto& [gate, link] : links) link->client().Stop();
}

void GateLinks::OnHosts(const HostList& hosts) {
  std::vector<std::shared_ptr<GateLink>> closed;
  {
    const absl::MutexLock lock(&mutex_);
    std::map<HostId, std::shared_ptr<GateLink>> next;
    for (const Host& host : hosts.hosts) {
      if (host.kind != HostKind::kEntry) continue;
      const auto found = links_.find(host.id);
      if (found != links_.end() && found->second->address() == host.address) {
        next[host.id] = found->second;
        continue;
      }
      next[host.id] = std::make_shared<GateLink>(*this, host.id, host.address);
    }
    for (const auto& [gate, link] : links_) {
      const auto kept = next.find(gate);
      if (kept == next.end() || kept->second != link) closed.push_back(link);
    }
    links_ = std::move(next);
  }
  for (const auto& link : closed) link->client().Stop();
}

std::shared_ptr<GateLinks::GateLink> GateLinks::FindGateLink(
    const HostId& gate) const {
  const absl::MutexLock lock(&mutex_);
  const auto found = links_.find(gate);
  return found == links_.end() ? nullptr : found->second;
}

size_t GateLinks::connected_count() const {
  const absl::MutexLock lock(&mutex_);
  return static_cast<size_t>(std::count_if(
      links_.begin(), links_.end(),
      [](const auto& link) { return link.second->client().connected(); }));
}

void GateLinks::Send(const HostId& gate, const SubRequestBatch& batch,
                     const std::shared_ptr<SubRequestReplyQueue>& reply_queue) {
  std::vector<AttemptId> sent;
  {
    const absl::MutexLock lock(&pending_mutex_);
    for (const SubRequest& sub : batch.sub_requests) {
      pending_attempts_[sub.attempt] = {gate, sub.target, reply_queue};
      sent.push_back(sub.attempt);
    }
  }
  for (const SubRequest& sub : batch.sub_requests) {
    directory_.AdjustOutstanding(sub.target, 1);
  }
  metrics_.counter("cherrydyke_sub_requests_total").Add(sent.size());
  const std::shared_ptr<GateLink> link = FindGateLink(gate);
  const LinkClient::SendResult result = link == nullptr
                                            ? LinkClient::SendResult::kNotSent
                                            : link->client().Send(batch);
  if (result != LinkClient::SendResult::kSent) {
    FailAttempts(sent, result == LinkClient::SendResult::kNotSent);
  }
}

void GateLinks::FailAttempts(const std::vector<AttemptId>& attempts,
                             bool not_sent) {
  for (const AttemptId& attempt : attempts) {
    SubRequestReply answer;
    answer.attempt = attempt;
    answer.outcome =
        not_sent ? AttemptOutcome::kUnreachable : AttemptOutcome::kLinkLost;
    answer.not_run = not_sent;
    OnSubRequestReply(std::move(answer));
  }
}

void GateLinks::OnSubRequestReply(SubRequestReply answer) {
  PendingAttempt pending;
  {
    const absl::MutexLock lock(&pending_mutex_);
    const auto found = pending_attempts_.find(answer.attempt);
    if (found == pending_attempts_.end()) {
      // The answer is late, a duplicate, or for an attempt of an earlier
      // incarnation of this process.
      metrics_.counter("cherrydyke_dropped_answers_total").Add();
      return;
    }
    pending = std::move(found->second);
    pending_attempts_.erase(found);
  }
  directory_.AdjustOutstanding(pending.target, -1);
  if (answer.outcome == AttemptOutcome::kNotLeased) {
    directory_.OnNotHeld(pending.target);
  }
  if (const auto reply_queue = pending.reply_queue.lock())
    reply_queue->Push(std::move(answer));
}

void GateLinks::Cancel(const std::vector<AttemptId>& attempts) {
  std::map<HostId, CancelAttempts> by_gate;
  std::vector<TargetId> targets;
  {
    const absl::MutexLock lock(&pending_mutex_);
    for (const AttemptId& attempt : attempts) {
      const auto found = pending_attempts_.find(attempt);
      if (found == pending_attempts_.end()) continue;
      by_gate[found->second.gate].attempts.push_back(attempt);
      targets.push_back(found->second.target);
      pending_attempts_.erase(found);
    }
  }
  for (const TargetId& target : targets)
    directory_.AdjustOutstanding(target, -1);
  for (const auto& [gate, cancel] : by_gate) {
    if (const auto link = FindGateLink(gate)) link->client().Send(cancel);
  }
}

void GateLinks::OnMessage(const HostId& gate, Message message) {
  if (auto* answer = std::get_if<SubRequestReply>(&message)) {
    OnSubRequestReply(std::move(*answer));
  } else if (const auto* reports = std::get_if<TargetReports>(&message)) {
    directory_.OnLinkState(gate, true);
    directory_.OnReports(gate, *reports);
  } else if (const auto* ticket = std::get_if<TicketReply>(&message)) {
    OnCallReply(ticket->call_id, *ticket);
  } else if (const auto* action = std::get_if<ActionReply>(&message)) {
    OnCallReply(action->call_id, *action);
  }
}

void GateLinks::OnLinkDown(const HostId& gate) {
  directory_.OnLinkState(gate, false);
  std::vector<AttemptId> lost;
  {
    const absl::MutexLock lock(&pending_mutex_);
    for (const auto& [attempt, pending] : pending_attempts_) {
      if (pending.gate == gate) lost.push_back(attempt);
    }
    for (auto it = pending_calls_.begin(); it != pending_calls_.end();) {
      const bool waits = it->second.gate == gate && !it->second.reply;
      it = waits ? pending_calls_.erase(it) : std::next(it);
    }
    call_answered_.SignalAll();
  }
  FailAttempts(lost, false);
}

void GateLinks::OnCallReply(uint64_t call_id, Message message) {
  const absl::MutexLock lock(&pending_mutex_);
  const auto found = pending_calls_.find(call_id);
  if (found == pending_calls_.end()) {
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
    pending_calls_[call_id] = {gate, std::nullopt};
  }
  const std::shared_ptr<GateLink> link = FindGateLink(gate);
  const bool sent = link != nullptr && link->client().Send(request) ==
                                           LinkClient::SendResult::kSent;
  const absl::MutexLock lock(&pending_mutex_);
  std::optional<Message> reply;
  while (sent) {
    const auto found = pending_calls_.find(call_id);
    if (found == pending_calls_.end()) break;
    if (found->second.reply) {
      reply = std::move(found->second.reply);
      break;
    }
    const absl::Duration left = until - clock_.Now();
    if (left <= absl::ZeroDuration()) break;
    call_answered_.WaitWithTimeout(&pending_mutex_, left);
  }
  pending_calls_.erase(call_id);
  return reply;
}

TicketReply GateLinks::RequestTicket(const HostId& gate, TicketRequest request,
                                     absl::Duration timeout) {
  {
    const absl::MutexLock lock(&pending_mutex_);
    request.call_id = ++last_call_id_;
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
    request.call_id = ++last_call_id_;
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
