#include "support/fake_link.h"

#include <sys/socket.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/write.hpp"

namespace cherrydyke {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint Parse(const Endpoint& endpoint) {
  const size_t colon = endpoint.rfind(':');
  return {asio::ip::make_address(endpoint.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1)))};
}

void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// One direction of a forwarded connection.
struct Pump {
  std::array<char, 16384> buffer;
  size_t held = 0;
  bool is_reading = false;
};

struct Forwarded {
  tcp::socket client;
  tcp::socket server;
  Pump to_server;
  Pump to_client;

  void Close(bool reset) {
    error_code ignored;
    for (tcp::socket* socket : {&client, &server}) {
      if (reset) {
        Reset(*socket);
      } else {
        socket->close(ignored);
      }
    }
  }
};

}  // namespace

struct FakeLink::Shared : std::enable_shared_from_this<FakeLink::Shared> {
  Shared(engine::EventLoop& loop, const Endpoint& server_endpoint)
      : acceptor(loop.context()), server(Parse(server_endpoint)) {
    Listen(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    address = acceptor.local_endpoint();
    endpoint = "127.0.0.1:" + std::to_string(address.port());
  }

  void Listen(const tcp::endpoint& at) {
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen();
  }

  void Accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error,
                                                      tcp::socket client) {
      if (error) return;
      // It was accepted, but not yet known, when the link went down.
      if (self->state == State::kReset) return Reset(client);
      tcp::socket to_server(client.get_executor());
      error_code failed;
      to_server.connect(self->server, failed);
      if (!failed) {
        auto forwarded = std::make_shared<Forwarded>(
            Forwarded{std::move(client), std::move(to_server), {}, {}});
        self->connections.push_back(forwarded);
        self->Resume(forwarded);
      }
      self->Accept();
    });
  }

  bool Passes() const { return state != State::kSilent; }

  void Resume(const std::shared_ptr<Forwarded>& forwarded) {
    Forward(forwarded, forwarded->client, forwarded->server,
            forwarded->to_server);
    Forward(forwarded, forwarded->server, forwarded->client,
            forwarded->to_client);
  }

  void Forward(const std::shared_ptr<Forwarded>& forwarded, tcp::socket& from,
               tcp::socket& to, Pump& pump) {
    if (!Passes() || pump.is_reading || !from.is_open()) return;
    error_code ignored;
    if (const size_t held = std::exchange(pump.held, 0); held > 0) {
      asio::write(to, asio::buffer(pump.buffer.data(), held), ignored);
    }
    pump.is_reading = true;
    from.async_read_some(asio::buffer(pump.buffer),
                         [self = shared_from_this(), forwarded, &from, &to,
                          &pump](const error_code& error, size_t bytes) {
                           pump.is_reading = false;
                           if (error == asio::error::operation_aborted) return;
                           if (error)
                             return forwarded->Close(error != asio::error::eof);
                           pump.held = bytes;
                           self->Forward(forwarded, from, to, pump);
                         });
  }

  void CloseAll(bool reset) {
    for (const auto& forwarded : std::exchange(connections, {})) {
      forwarded->Close(reset);
    }
  }

  // The kernel drops connection attempts while the accept queue is full.
  void FillAcceptQueue() {
    error_code ignored;
    acceptor.cancel(ignored);
    acceptor.listen(0, ignored);
    constexpr int kConnectionsToFillQueue = 2;
    for (int i = 0; i < kConnectionsToFillQueue; ++i) {
      tcp::socket& filler =
          queue_fillers.emplace_back(acceptor.get_executor(), tcp::v4());
      filler.non_blocking(true);
      // Does not wait, unlike the member function `connect`.
      (void)::connect(filler.native_handle(), address.data(),
                      static_cast<socklen_t>(address.size()));
    }
  }

  void SetState(State next) {
    if (next == state) return;
    const State previous = std::exchange(state, next);
    error_code ignored;
    queue_fillers.clear();
    if (previous != State::kOpen) {
      acceptor.close(ignored);
      Listen(address);
      Accept();
    }
    switch (next) {
      case State::kOpen:
        for (const auto& forwarded : connections) Resume(forwarded);
        return;
      case State::kSilent:
        return FillAcceptQueue();
      case State::kReset:
        CloseAll(true);
        [[fallthrough]];
      case State::kRefuseNew:
        for (const auto& forwarded : connections) Resume(forwarded);
        acceptor.close(ignored);
        return;
    }
  }

  tcp::acceptor acceptor;
  tcp::endpoint address;
  Endpoint endpoint;
  const tcp::endpoint server;
  State state = State::kOpen;
  std::vector<tcp::socket> queue_fillers;
  std::vector<std::shared_ptr<Forwarded>> connections;
};

FakeLink::FakeLink(engine::EventLoop& loop, const Endpoint& server)
    : shared_(std::make_shared<Shared>(loop, server)) {
  shared_->Accept();
}

FakeLink::~FakeLink() {
  error_code ignored;
  shared_->acceptor.close(ignored);
  shared_->CloseAll(true);
}

void FakeLink::SetState(State state) { shared_->SetState(state); }

const Endpoint& FakeLink::endpoint() const { return shared_->endpoint; }

}  // namespace cherrydyke
