#include "engine/datagram_socket.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "boost/asio/ip/udp.hpp"
#include "endpoint.h"

namespace cherrydyke::engine {
namespace {

namespace asio = boost::asio;

std::optional<asio::ip::udp::endpoint> ParseUdp(const Endpoint& endpoint) {
  const auto parsed = ParseEndpoint(endpoint);
  if (!parsed) return std::nullopt;
  return asio::ip::udp::endpoint(parsed->address(), parsed->port());
}

}  // namespace

struct DatagramSocket::Socket {
  Socket(asio::io_context& context, Handler on_datagram)
      : udp(context), handler(std::move(on_datagram)) {}

  asio::ip::udp::socket udp;
  Handler handler;
  std::array<char, 4096> input;
  asio::ip::udp::endpoint sender;
};

DatagramSocket::DatagramSocket(EventLoop& loop, Handler handler)
    : socket_(std::make_shared<Socket>(loop.context(), std::move(handler))) {}

DatagramSocket::~DatagramSocket() {
  boost::system::error_code ignored;
  socket_->udp.close(ignored);
}

Status DatagramSocket::Bind(const Endpoint& endpoint) {
  const auto address = ParseUdp(endpoint);
  boost::system::error_code error = asio::error::invalid_argument;
  if (address) socket_->udp.open(asio::ip::udp::v4(), error);
  if (!error) socket_->udp.bind(*address, error);
  if (!error) socket_->udp.non_blocking(true, error);
  if (error) {
    return Error{ErrorCode::kUnavailable,
                 absl::StrCat("cannot bind UDP socket to ", endpoint, ": ",
                              error.message())};
  }
  Receive();
  return OkStatus();
}

void DatagramSocket::Receive() {
  socket_->udp.async_receive_from(
      asio::buffer(socket_->input), socket_->sender,
      [this, socket = socket_](const boost::system::error_code& error,
                               size_t bytes) {
        if (error == asio::error::operation_aborted) return;
        if (!error) socket->handler(std::string(socket->input.data(), bytes));
        Receive();
      });
}

void DatagramSocket::Send(const Endpoint& to, const std::string& datagram) {
  const auto address = ParseUdp(to);
  if (!address) return;
  boost::system::error_code ignored;
  socket_->udp.send_to(asio::buffer(datagram), *address, 0, ignored);
}

}  // namespace cherrydyke::engine
