#include "wire/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

constexpr int kListenBacklog = 512;
constexpr size_t kMaxDatagramBytes = 65'536;
constexpr absl::Duration kWriteTimeout = absl::Seconds(2);
/// Longest wait for each further part of a read of which some bytes have
/// arrived.
constexpr absl::Duration kPartialReadTimeout = absl::Seconds(2);

bool ToSockaddr(const std::string& address, int port, sockaddr_in& out) {
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  return inet_pton(AF_INET, address.c_str(), &out.sin_addr) == 1;
}

std::string FormatAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return text.data();
}

bool PollSocket(int fd, int16_t events, absl::Duration timeout) {
  pollfd descriptor{fd, events, 0};
  const int ready = poll(&descriptor, 1,
                         static_cast<int>(absl::ToInt64Milliseconds(timeout)));
  return ready > 0;
}

Error SystemError(const std::string& operation) {
  return {ErrorCode::kUnavailable,
          absl::StrCat(operation, ": ", strerror(errno))};
}

Result<Socket> OpenBoundSocket(int type, const std::string& address, int port) {
  sockaddr_in local{};
  const std::string endpoint_text = MakeEndpoint(address, port);
  if (!ToSockaddr(address, port, local)) {
    return Error{ErrorCode::kInvalidInput,
                 endpoint_text + ": expected an IPv4 address"};
  }
  Socket socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
  if (!socket.valid()) return SystemError("socket");
  const int enabled = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  if (bind(socket.fd(), reinterpret_cast<sockaddr*>(&local), sizeof(local)) !=
      0) {
    return SystemError("bind " + endpoint_text);
  }
  return socket;
}

class TcpStream : public Stream {
 public:
  TcpStream(Socket socket, std::string peer)
      : socket_(std::move(socket)), peer_(std::move(peer)) {
    const int enabled = 1;
    setsockopt(socket_.fd(), IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof(enabled));
  }

  StreamState Write(const char* data, size_t size) override {
    size_t sent = 0;
    while (sent < size) {
      const ssize_t n = send(socket_.fd(), data + sent, size - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        sent += static_cast<size_t>(n);
        continue;
      }
      if (n < 0 && errno == EINTR) continue;
      if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
        return StreamState::kClosed;
      }
      if (!PollSocket(socket_.fd(), POLLOUT, kWriteTimeout)) {
        return StreamState::kTimedOut;
      }
    }
    return StreamState::kOpen;
  }

  StreamState Read(char* data, size_t size, absl::Duration timeout) override {
    size_t received = 0;
    while (received < size) {
      if (!PollSocket(socket_.fd(), POLLIN,
                      received > 0 ? kPartialReadTimeout : timeout)) {
        // The bytes already read cannot be returned to the stream, so it is no
        // longer usable.
        return received > 0 ? StreamState::kClosed : StreamState::kTimedOut;
      }
      const ssize_t n =
          recv(socket_.fd(), data + received, size - received, MSG_DONTWAIT);
      if (n > 0) {
        received += static_cast<size_t>(n);
        continue;
      }
      if (n < 0 && (errno == EINTR || errno == EAGAIN)) continue;
      return StreamState::kClosed;
    }
    return StreamState::kOpen;
  }

  void Close() override { socket_.Shutdown(); }
  std::string PeerAddress() const override { return peer_; }

 private:
  Socket socket_;
  const std::string peer_;
};

}  // namespace

Socket::~Socket() {
  if (fd_ >= 0) close(fd_);
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

void Socket::Shutdown() {
  if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
}

Endpoint MakeEndpoint(const std::string& address, int port) {
  return absl::StrCat(address, ":", port);
}

std::string AddressOf(const Endpoint& endpoint) {
  return endpoint.substr(0, endpoint.rfind(':'));
}

int PortOf(const Endpoint& endpoint) {
  const size_t colon = endpoint.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(endpoint.substr(colon + 1), &port)) {
    return 0;
  }
  return port;
}

std::variant<std::unique_ptr<Stream>, ConnectFailure> TcpConnector::Connect(
    const Endpoint& endpoint, absl::Duration timeout) {
  Result<Socket> opened = OpenBoundSocket(SOCK_STREAM, source_address_, 0);
  sockaddr_in remote{};
  const bool valid = ToSockaddr(AddressOf(endpoint), PortOf(endpoint), remote);
  if (GetError(opened) != nullptr || !valid)
    return ConnectFailure::kUnreachable;
  Socket socket = GetValue(std::move(opened));
  fcntl(socket.fd(), F_SETFL, O_NONBLOCK);
  const int connect_result = connect(
      socket.fd(), reinterpret_cast<sockaddr*>(&remote), sizeof(remote));
  if (connect_result != 0 && errno == ECONNREFUSED)
    return ConnectFailure::kRefused;
  if (connect_result != 0 && errno != EINPROGRESS)
    return ConnectFailure::kUnreachable;
  if (connect_result != 0 && !PollSocket(socket.fd(), POLLOUT, timeout)) {
    return ConnectFailure::kUnreachable;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length);
  if (error == ECONNREFUSED) return ConnectFailure::kRefused;
  if (error != 0) return ConnectFailure::kUnreachable;
  return std::unique_ptr<Stream>(
      std::make_unique<TcpStream>(std::move(socket), AddressOf(endpoint)));
}

Result<Listener> Listener::Open(const std::string& address, int port) {
  Result<Socket> opened = OpenBoundSocket(SOCK_STREAM, address, port);
  if (const Error* error = GetError(opened)) return *error;
  Socket socket = GetValue(std::move(opened));
  if (listen(socket.fd(), kListenBacklog) != 0) {
    return SystemError("listen " + MakeEndpoint(address, port));
  }
  sockaddr_in local{};
  socklen_t length = sizeof(local);
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&local), &length);
  return Listener(std::move(socket), ntohs(local.sin_port));
}

std::unique_ptr<Stream> Listener::Accept(absl::Duration timeout) {
  if (!PollSocket(socket_.fd(), POLLIN, timeout)) return nullptr;
  sockaddr_in remote{};
  socklen_t length = sizeof(remote);
  Socket accepted(accept4(socket_.fd(), reinterpret_cast<sockaddr*>(&remote),
                          &length, SOCK_CLOEXEC | SOCK_NONBLOCK));
  if (!accepted.valid()) return nullptr;
  return std::make_unique<TcpStream>(std::move(accepted),
                                     FormatAddress(remote));
}

Result<std::unique_ptr<UdpTransport>> UdpTransport::Open(
    const std::string& address, int port) {
  Result<Socket> opened = OpenBoundSocket(SOCK_DGRAM, address, port);
  if (const Error* error = GetError(opened)) return *error;
  return std::make_unique<UdpTransport>(GetValue(std::move(opened)));
}

void UdpTransport::Send(const Endpoint& to, const std::string& payload) {
  sockaddr_in remote{};
  if (!ToSockaddr(AddressOf(to), PortOf(to), remote)) return;
  sendto(socket_.fd(), payload.data(), payload.size(), MSG_DONTWAIT,
         reinterpret_cast<sockaddr*>(&remote), sizeof(remote));
}

bool UdpTransport::Receive(Datagram& datagram, absl::Duration timeout) {
  if (!PollSocket(socket_.fd(), POLLIN, timeout)) return false;
  datagram.payload.resize(kMaxDatagramBytes);
  sockaddr_in remote{};
  socklen_t length = sizeof(remote);
  const ssize_t n =
      recvfrom(socket_.fd(), datagram.payload.data(), kMaxDatagramBytes,
               MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&remote), &length);
  if (n < 0) return false;
  datagram.payload.resize(static_cast<size_t>(n));
  datagram.sender_address = FormatAddress(remote);
  return true;
}

}  // namespace cherrydyke
