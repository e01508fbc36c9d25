#include "engine/http_server.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endpoint.h"
#include "server_connection.h"

namespace cherrydyke::engine {
namespace {

namespace asio = boost::asio;

/// How often connections are checked against their time limits.
constexpr absl::Duration kSweepPeriod = absl::Milliseconds(250);
/// Delay after a failed accept, such as when file descriptors run out.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);
/// Number of connections that may wait to be accepted.
constexpr int kListenBacklog = 1024;
/// Of the kernel for one connection; requests without a large body fit into the
/// least.
constexpr size_t kMinReceiveBufferBytes = 8U << 10U;
constexpr size_t kMaxReceiveBufferBytes = 64U << 10U;

int ReceiveBufferBytes(const ServerGroup* group) {
  if (group == nullptr) return kMaxReceiveBufferBytes;
  return static_cast<int>(
      std::clamp(group->budget().limits().BytesPerConnection(),
                 kMinReceiveBufferBytes, kMaxReceiveBufferBytes));
}

void AddConnection(const std::shared_ptr<HttpServer::State>& state,
                   asio::ip::tcp::socket socket) {
  auto connection =
      std::make_shared<ServerConnection>(state, std::move(socket));
  state->connections.push_back(connection);
  connection->Start();
}

}  // namespace

HttpServer::State::State(EventLoop& event_loop)
    : loop(event_loop), acceptor(event_loop.context()) {}

HttpServer::HttpServer(EventLoop& loop, std::function<ServerLimits()> limits,
                       Handler handler, ServerGroup* group)
    : state_(std::make_shared<State>(loop)), timers_(loop) {
  state_->group = group;
  state_->receive_buffer_bytes = ReceiveBufferBytes(group);
  state_->limits = std::move(limits);
  state_->handler = std::move(handler);
}

void HttpServer::SetProvisionalRefusal(std::function<HttpResponse()> refusal) {
  state_->provisional_refusal = std::move(refusal);
}

void HttpServer::SetOverloadRefusal(std::function<HttpResponse()> refusal) {
  state_->overload_refusal = std::move(refusal);
}

HttpServer::~HttpServer() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  for (const auto& entry : state_->connections) {
    if (const auto connection = entry.lock()) {
      connection->Close();
      // A connection that its handler holds may outlive the group.
      connection->LeaveGroup();
    }
  }
  // A connection that was accepted already may still be handled.
  state_->group = nullptr;
}

Status HttpServer::Listen(const Endpoint& endpoint) {
  const auto address = ParseEndpoint(endpoint);
  if (!address) {
    return Error{
        ErrorCode::kInvalidInput,
        absl::StrCat("cannot listen: expected an IP:PORT address, got ",
                     endpoint)};
  }
  boost::system::error_code error;
  auto& acceptor = state_->acceptor;
  acceptor.open(address->protocol(), error);
  if (!error) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  // Inherited by connections. What the kernel holds for all of them is within
  // the group's limit as well.
  if (!error) {
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(state_->receive_buffer_bytes),
        error);
  }
  if (!error) acceptor.bind(*address, error);
  if (!error) acceptor.listen(kListenBacklog, error);
  if (error) {
    return Error{
        ErrorCode::kUnavailable,
        absl::StrCat("cannot listen on ", endpoint, ": ", error.message())};
  }
  Accept();
  timers_.Every(kSweepPeriod, [this] { Sweep(); });
  return OkStatus();
}

void HttpServer::Accept() {
  state_->acceptor.async_accept([this, state = state_](
                                    const boost::system::error_code& error,
                                    asio::ip::tcp::socket socket) {
    if (!error) AddConnection(state, std::move(socket));
    if (error == asio::error::operation_aborted || !state->acceptor.is_open()) {
      return;
    }
    if (error) {
      timers_.RunAfter(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    Accept();
  });
}

void HttpServer::Sweep() {
  const absl::Time now = state_->loop.Now();
  auto& all = state_->connections;
  for (auto entry = all.begin(); entry != all.end();) {
    if (const auto connection = entry->lock()) {
      connection->CheckTimeout(now);
      ++entry;
    } else {
      entry = all.erase(entry);
    }
  }
}

void HttpServer::CloseAfterResponses() { state_->close_after_response = true; }

void HttpServer::CloseIdle() {
  for (const auto& entry : state_->connections) {
    if (const auto connection = entry.lock()) connection->CloseIfIdle();
  }
}

void HttpServer::StopAccepting() {
  asio::ip::tcp::acceptor& acceptor = state_->acceptor;
  if (!acceptor.is_open()) return;
  // Closing would reset connections in the backlog, with the requests on them.
  boost::system::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(state_->loop.context());
    acceptor.accept(socket, error);
    if (!error) AddConnection(state_, std::move(socket));
  }
  boost::system::error_code ignored;
  acceptor.close(ignored);
}

size_t HttpServer::busy_connections() const {
  const auto& all = state_->connections;
  return static_cast<size_t>(
      std::count_if(all.begin(), all.end(), [](const auto& entry) {
        const auto connection = entry.lock();
        return connection != nullptr && connection->IsBusy();
      }));
}

size_t HttpServer::requests_in_flight() const {
  return state_->requests_in_flight;
}

size_t HttpServer::connection_count() const {
  return state_->connections.size();
}

}  // namespace cherrydyke::engine
