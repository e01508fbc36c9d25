#include "wire/link.h"

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace cherrydyke {
namespace {

/// Longest time for which the accepting and reading threads of the server block
/// before they check whether to stop.
constexpr absl::Duration kAcceptTimeout = absl::Milliseconds(100);
constexpr absl::Duration kServerReadTimeout = absl::Milliseconds(500);
/// Of frames that a server receives over all links.
constexpr size_t kMaxReceivedFrameBytes = 24U << 20U;
constexpr absl::Duration kLinkConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration kReconnectDelay = absl::Milliseconds(100);
constexpr absl::Duration kPingPeriod = absl::Milliseconds(250);
/// A link on which no message has arrived for this long is closed and reopened.
constexpr absl::Duration kLinkLivenessTimeout = absl::Milliseconds(1000);

}  // namespace

bool Link::Send(const Message& message) {
  const std::string frame = EncodeFrame(message);
  const absl::MutexLock lock(&write_mutex_);
  if (stream_->Write(frame.data(), frame.size()) == StreamState::kOpen) {
    return true;
  }
  // A frame may have been written in part, so no other frame may follow it.
  stream_->Close();
  return false;
}

LinkServer::LinkServer(Listener listener, Connector& connector, Handler handler,
                       ErrorHandler on_error)
    : listener_(std::move(listener)),
      connector_(connector),
      handler_(std::move(handler)),
      on_error_(std::move(on_error)),
      frame_budget_(kMaxReceivedFrameBytes),
      thread_([this] { AcceptLoop(); }) {}

LinkServer::~LinkServer() { Stop(); }

void LinkServer::AcceptLoop() {
  while (!stopping_) {
    JoinFinishedSessions();
    std::unique_ptr<Stream> stream = listener_.Accept(kAcceptTimeout);
    if (stream == nullptr) continue;
    auto session = std::make_unique<Session>();
    session->link =
        std::make_shared<Link>(connector_.WrapAccepted(std::move(stream)));
    Session& accepted_session = *session;
    const absl::MutexLock lock(&mutex_);
    sessions_.push_back(std::move(session));
    accepted_session.thread =
        std::thread([this, &accepted_session] { Serve(accepted_session); });
  }
}

void LinkServer::Serve(Session& session) {
  while (!stopping_) {
    Result<Message> received =
        ReadFrame(session.link->stream(), kServerReadTimeout, &frame_budget_);
    if (const Error* error = GetError(received)) {
      if (error->code == ErrorCode::kTimeout) continue;
      if (error->code != ErrorCode::kUnavailable) on_error_(*error);
      break;
    }
    Message message = GetValue(std::move(received));
    if (const auto* ping = std::get_if<Ping>(&message)) {
      session.link->Send(Pong{ping->sequence});
      continue;
    }
    handler_(session.link, std::move(message));
  }
  session.link->Close();
  session.finished = true;
}

void LinkServer::JoinFinishedSessions() {
  std::vector<std::unique_ptr<Session>> finished;
  {
    const absl::MutexLock lock(&mutex_);
    const auto first_finished = std::stable_partition(
        sessions_.begin(), sessions_.end(),
        [](const auto& session) { return !session->finished.load(); });
    std::move(first_finished, sessions_.end(), std::back_inserter(finished));
    sessions_.erase(first_finished, sessions_.end());
  }
  for (const auto& session : finished) session->thread.join();
}

void LinkServer::Broadcast(const Message& message) {
  std::vector<std::shared_ptr<Link>> links;
  {
    const absl::MutexLock lock(&mutex_);
    for (const auto& session : sessions_) links.push_back(session->link);
  }
  for (const auto& link : links) link->Send(message);
}

void LinkServer::Stop() {
  if (stopping_.exchange(true)) return;
  listener_.Shutdown();
  thread_.join();
  std::vector<std::unique_ptr<Session>> sessions;
  {
    const absl::MutexLock lock(&mutex_);
    sessions.swap(sessions_);
  }
  for (const auto& session : sessions) session->link->Close();
  for (const auto& session : sessions) session->thread.join();
}

LinkClient::LinkClient(Endpoint peer, Hello hello, Connector& connector,
                       Events& events)
    : peer_(std::move(peer)),
      hello_(std::move(hello)),
      connector_(connector),
      events_(events),
      thread_([this] { Run(); }) {}

LinkClient::~LinkClient() { Stop(); }

LinkClient::SendResult LinkClient::Send(const Message& message) {
  std::shared_ptr<Link> link;
  {
    const absl::MutexLock lock(&mutex_);
    link = link_;
  }
  if (link == nullptr) return SendResult::kNotSent;
  return link->Send(message) ? SendResult::kSent : SendResult::kUncertain;
}

void LinkClient::Run() {
  while (!stopping_) {
    auto connect_result = connector_.Connect(peer_, kLinkConnectTimeout);
    auto* stream = std::get_if<std::unique_ptr<Stream>>(&connect_result);
    if (stream == nullptr) {
      absl::SleepFor(kReconnectDelay);
      continue;
    }
    auto link = std::make_shared<Link>(std::move(*stream));
    link->Send(hello_);
    {
      const absl::MutexLock lock(&mutex_);
      link_ = link;
      connected_ = true;
    }
    ReceiveMessages(*link);
    {
      const absl::MutexLock lock(&mutex_);
      link_ = nullptr;
      connected_ = false;
    }
    link->Close();
    events_.OnLinkDown();
    if (!stopping_) absl::SleepFor(kReconnectDelay);
  }
}

void LinkClient::ReceiveMessages(Link& link) {
  absl::Duration idle_time;
  uint64_t ping_sequence = 0;
  while (!stopping_ && idle_time < kLinkLivenessTimeout) {
    Result<Message> received = ReadFrame(link.stream(), kPingPeriod);
    if (const Error* error = GetError(received)) {
      if (error->code != ErrorCode::kTimeout) return;
      idle_time += kPingPeriod;
      if (!link.Send(Ping{++ping_sequence})) return;
      continue;
    }
    idle_time = absl::ZeroDuration();
    Message message = GetValue(std::move(received));
    if (!std::holds_alternative<Pong>(message)) {
      events_.OnMessage(std::move(message));
    }
  }
}

void LinkClient::Stop() {
  if (stopping_.exchange(true)) return;
  {
    const absl::MutexLock lock(&mutex_);
    if (link_ != nullptr) link_->Close();
  }
  thread_.join();
}

}  // namespace cherrydyke
