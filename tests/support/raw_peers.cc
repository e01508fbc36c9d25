#include "support/raw_peers.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/write.hpp"

namespace cherrydyke {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint ParseAddress(const Endpoint& endpoint) {
  const size_t colon = endpoint.rfind(':');
  return {asio::ip::make_address(endpoint.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1)))};
}

class Connection : public RawConnection,
                   public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(tcp::socket socket) : socket_(std::move(socket)) {}

  void Write(const std::string& bytes) override {
    error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }

  void Close() override {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  void Reset() override {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  const std::string& received() const override { return received_; }
  bool closed_by_peer() const override { return closed_by_peer_; }

  void Read(const std::function<void(Connection&)>& on_bytes) {
    socket_.async_read_some(
        asio::buffer(chunk_), [self = shared_from_this(), on_bytes](
                                  const error_code& error, size_t bytes) {
          if (error) {
            self->closed_by_peer_ = error != asio::error::operation_aborted;
            return;
          }
          self->received_.append(self->chunk_.data(), bytes);
          if (on_bytes) on_bytes(*self);
          if (self->socket_.is_open()) self->Read(on_bytes);
        });
  }

  size_t handled_bytes = 0;

 private:
  tcp::socket socket_;
  std::array<char, 4096> chunk_;
  std::string received_;
  bool closed_by_peer_ = false;
};

}  // namespace

bool RunUntil(engine::EventLoop& loop, const std::function<bool()>& done,
              absl::Duration limit) {
  const absl::Time deadline = loop.Now() + limit;
  while (!done() && loop.Now() < deadline) {
    loop.context().restart();
    loop.context().run_one_for(std::chrono::milliseconds(5));
  }
  return done();
}

void RunFor(engine::EventLoop& loop, absl::Duration duration) {
  RunUntil(
      loop, [] { return false; }, duration);
}

void RunUntilStopped(engine::EventLoop& loop) {
  loop.context().restart();
  loop.Run();
}

std::shared_ptr<RawConnection> RawConnect(engine::EventLoop& loop,
                                          const Endpoint& endpoint) {
  tcp::socket socket(loop.context());
  socket.connect(ParseAddress(endpoint));
  auto connection = std::make_shared<Connection>(std::move(socket));
  connection->Read(nullptr);
  return connection;
}

struct RawServer::State {
  State(engine::EventLoop& loop, OnRequest handler, const Endpoint& listen_at,
        Framing bytes_framing)
      : on_request(std::move(handler)),
        framing(bytes_framing),
        acceptor(loop.context(), ParseAddress(listen_at)) {
    const tcp::endpoint address = acceptor.local_endpoint();
    endpoint =
        address.address().to_string() + ":" + std::to_string(address.port());
  }

  static void Accept(const std::shared_ptr<State>& state) {
    state->acceptor.async_accept(
        [state](const error_code& error, tcp::socket socket) {
          if (error) return;
          ++state->accepted;
          auto connection = std::make_shared<Connection>(std::move(socket));
          state->connections.push_back(connection);
          if (state->connections_to_reset > 0) {
            --state->connections_to_reset;
            connection->Reset();
            return Accept(state);
          }
          connection->Read([state](Connection& from) {
            if (!state->is_silent) OnBytes(*state, from);
          });
          Accept(state);
        });
  }

  static void OnBytes(State& state, Connection& from) {
    const std::string new_bytes = from.received().substr(from.handled_bytes);
    if (state.framing == Framing::kHead) {
      if (new_bytes.find("\r\n\r\n") == std::string::npos) return;
      from.handled_bytes = from.received().size();
      return state.on_request(from, new_bytes);
    }
    size_t begin = 0;
    while (const auto size = SizeOfFirstMessage(new_bytes.substr(begin))) {
      from.handled_bytes += *size;
      state.on_request(from, new_bytes.substr(begin, *size));
      begin += *size;
    }
  }

  OnRequest on_request;
  const Framing framing;
  tcp::acceptor acceptor;
  Endpoint endpoint;
  int accepted = 0;
  int connections_to_reset = 0;
  bool is_silent = false;
  std::vector<tcp::socket> queue_fillers;
  std::vector<std::shared_ptr<Connection>> connections;
};

RawServer::RawServer(engine::EventLoop& loop, OnRequest on_request,
                     const Endpoint& endpoint, Framing framing)
    : state_(std::make_shared<State>(loop, std::move(on_request), endpoint,
                                     framing)) {
  State::Accept(state_);
}

RawServer::~RawServer() { Stop(); }

const Endpoint& RawServer::endpoint() const { return state_->endpoint; }

int RawServer::accepted() const { return state_->accepted; }

void RawServer::ResetNextConnections(int connections) {
  state_->connections_to_reset = connections;
}

void RawServer::Stop() {
  error_code ignored;
  state_->acceptor.close(ignored);
  ResetConnections();
}

void RawServer::FallSilent() {
  error_code ignored;
  state_->is_silent = true;
  state_->acceptor.cancel(ignored);
  // The kernel drops connection attempts while the accept queue is full.
  state_->acceptor.listen(0, ignored);
  constexpr int kConnectionsToFillQueue = 2;
  for (int i = 0; i < kConnectionsToFillQueue; ++i) {
    tcp::socket& filler = state_->queue_fillers.emplace_back(
        state_->acceptor.get_executor(), tcp::v4());
    filler.non_blocking(true);
    // Does not wait, unlike the member function `connect`.
    const tcp::endpoint address = state_->acceptor.local_endpoint(ignored);
    (void)::connect(filler.native_handle(), address.data(),
                    static_cast<socklen_t>(address.size()));
  }
}

void RawServer::ResetConnections() {
  for (const auto& connection : state_->connections) connection->Reset();
  state_->connections.clear();
}

std::string HeaderOf(const std::string& message, const std::string& name) {
  const size_t field = message.find("\r\n" + name + ": ");
  if (field == std::string::npos) return "";
  const size_t begin = field + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}

std::string BodyOf(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

namespace {

// Of the first message, if its header states one.
std::optional<size_t> StatedLength(const std::string& bytes) {
  const std::string header = bytes.substr(0, bytes.find("\r\n\r\n") + 2);
  size_t length = 0;
  if (!absl::SimpleAtoi(HeaderOf(header, "Content-Length"), &length)) {
    return std::nullopt;
  }
  return length;
}

}  // namespace

std::optional<size_t> SizeOfFirstMessage(const std::string& bytes) {
  const size_t header_end = bytes.find("\r\n\r\n");
  if (header_end == std::string::npos) return std::nullopt;
  const size_t size = header_end + 4 + StatedLength(bytes).value_or(0);
  return bytes.size() < size ? std::nullopt : std::make_optional(size);
}

bool IsComplete(const std::string& response) {
  return StatedLength(response) && SizeOfFirstMessage(response);
}

std::string OkResponse(const std::string& body, const std::string& headers) {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace cherrydyke
