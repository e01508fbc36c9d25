#include "limited_server.h"

#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kBytesPerKb = 1U << 10U;
constexpr size_t kBytesPerMb = 1U << 20U;

constexpr size_t kMaxHeaderBytes = 64 * kBytesPerKb;
/// Sizes of chunks and the like: as much as the body, and this many bytes.
constexpr size_t kMinFramingBytes = 64 * kBytesPerKb;
/// Memory of a byte of a header in short fields, and of a byte of a body.
constexpr size_t kHeldPerHeaderByte = 32;
constexpr size_t kHeldPerBodyByte = 3;
constexpr size_t kMaxHeldBytes = 48 * kBytesPerMb;
/// Requests that hold no more than this don't wait for others.
constexpr size_t kSmallRequestBytes = 64 * kBytesPerKb;

constexpr std::chrono::milliseconds kPollInterval(50);
/// Longest time without progress of a read or a write.
constexpr std::chrono::seconds kStallTimeout(5);
/// Time after which a connection makes room if others wait.
constexpr std::chrono::milliseconds kTimeToYield(500);
/// Longest time for reading what a caller still sends after a refusal.
constexpr std::chrono::seconds kLingerTime(1);
constexpr size_t kReadBufferBytes = 4 * kBytesPerKb;

bool Poll(int fd, int16_t events) {
  pollfd descriptor{fd, events, 0};
  return poll(&descriptor, 1, static_cast<int>(kPollInterval.count())) > 0;
}

void FormatPeer(const sockaddr_storage& address, socklen_t length,
                std::string& ip, int& port) {
  std::array<char, NI_MAXHOST> host{};
  std::array<char, NI_MAXSERV> service{};
  if (getnameinfo(reinterpret_cast<const sockaddr*>(&address), length,
                  host.data(), host.size(), service.data(), service.size(),
                  NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return;
  }
  ip = host.data();
  port = std::atoi(service.data());
}

/// The library would expand a compressed body without a limit. No route takes
/// one, so it is passed on as it is and refused as malformed.
void KeepCompressed(httplib::Request& request) {
  request.headers.erase("Content-Encoding");
}

/// A pool that counts the connections it serves or has waiting.
class CountingPool : public httplib::TaskQueue {
 public:
  CountingPool(int threads, ConnectionLoad& load)
      : load_(load), pool_(static_cast<size_t>(threads)) {}

  void enqueue(std::function<void()> task) override {
    load_.AddConnection();
    pool_.enqueue([this, task = std::move(task)] {
      task();
      load_.RemoveConnection();
    });
  }
  void shutdown() override { pool_.shutdown(); }

 private:
  ConnectionLoad& load_;
  httplib::ThreadPool pool_;
};

/// An accepted connection. Reads fail beyond the limits of a request.
class LimitedStream : public httplib::Stream {
 public:
  LimitedStream(int fd, size_t max_body_bytes, ConnectionLoad& load)
      : fd_(fd),
        max_message_bytes_(2 * max_body_bytes + kMinFramingBytes),
        load_(load) {}
  ~LimitedStream() override { EndRequest(); }
  LimitedStream(const LimitedStream&) = delete;
  LimitedStream& operator=(const LimitedStream&) = delete;

  /// @param is_stopping whether the server stops
  /// @return whether a request has begun to arrive in time.
  bool WaitForRequest(std::chrono::seconds timeout,
                      const std::function<bool()>& is_stopping) {
    const Clock::time_point start = Clock::now();
    while (position_ == end_) {
      if (is_stopping()) return false;
      if (Poll(fd_, POLLIN)) break;
      const auto idle = Clock::now() - start;
      if (idle >= timeout) return false;
      if (idle >= kTimeToYield && load_.HasWaiting()) return false;
    }
    request_start_ = Clock::now();
    return true;
  }

  void EndRequest() {
    load_.Release(held_bytes_);
    held_bytes_ = 0;
    header_bytes_ = 0;
    body_bytes_ = 0;
    is_in_header_ = true;
    line_bytes_ = 0;
  }

  /// @return whether a read failed, so that the position in the stream is not
  /// the start of a request.
  bool is_broken() const { return is_broken_; }

  /// Reads on for a short time, since closing a connection that has unread
  /// bytes discards the response.
  void Linger() {
    ::shutdown(fd_, SHUT_WR);
    const Clock::time_point start = Clock::now();
    while (Clock::now() - start < kLingerTime && !load_.HasWaiting()) {
      if (!Poll(fd_, POLLIN)) continue;
      const ssize_t bytes =
          recv(fd_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
      if (bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EINTR)) {
        return;
      }
    }
  }

  bool is_readable() const override {
    return position_ < end_ || Poll(fd_, POLLIN);
  }
  bool is_writable() const override {
    const Clock::time_point start = Clock::now();
    while (!Poll(fd_, POLLOUT)) {
      if (MustEndWait(start)) return false;
    }
    return true;
  }

  ssize_t read(char* data, size_t size) override {
    if (is_broken_) return -1;
    if (position_ == end_) {
      const ssize_t received = Fill();
      if (received <= 0) {
        is_broken_ = true;
        return received;
      }
    }
    const size_t bytes = std::min(size, end_ - position_);
    std::copy_n(buffer_.data() + position_, bytes, data);
    position_ += bytes;
    Count(data, bytes);
    if (header_bytes_ > kMaxHeaderBytes || body_bytes_ > max_message_bytes_) {
      LogDebug("closing a connection whose request is beyond the limits", {});
      is_broken_ = true;
      return -1;
    }
    return static_cast<ssize_t>(bytes);
  }

  ssize_t write(const char* data, size_t size) override {
    Clock::time_point progress = Clock::now();
    size_t sent = 0;
    while (sent < size) {
      const ssize_t bytes =
          send(fd_, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (bytes > 0) {
        sent += static_cast<size_t>(bytes);
        progress = Clock::now();
        continue;
      }
      if (bytes < 0 && errno == EINTR) continue;
      if (bytes == 0 || errno != EAGAIN) return -1;
      if (!Poll(fd_, POLLOUT) && MustEndWait(progress)) return -1;
    }
    return static_cast<ssize_t>(sent);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (getpeername(fd_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
      FormatPeer(address, length, ip, port);
    }
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
      FormatPeer(address, length, ip, port);
    }
  }
  socket_t socket() const override { return fd_; }

 private:
  // A wait ends early if other connections need the thread.
  bool MustEndWait(Clock::time_point start) const {
    const auto waited = Clock::now() - start;
    return waited >= kStallTimeout ||
           (waited >= kTimeToYield && load_.HasWaiting());
  }

  bool MustWaitForOthers() const {
    return held_bytes_ > kSmallRequestBytes && load_.IsFull();
  }

  // @return received bytes, 0 at the end of the stream, negative on errors.
  ssize_t Fill() {
    const Clock::time_point start = Clock::now();
    while (true) {
      const bool must_wait = MustWaitForOthers();
      const bool is_late = Clock::now() - request_start_ >= kTimeToYield;
      if (is_late && (must_wait || load_.HasWaiting())) {
        LogDebug("closing a connection that others wait for", {});
        return -1;
      }
      if (Clock::now() - start >= kStallTimeout) return -1;
      if (must_wait) {
        poll(nullptr, 0, static_cast<int>(kPollInterval.count()));
        continue;
      }
      if (!Poll(fd_, POLLIN)) continue;
      const ssize_t bytes =
          recv(fd_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
      if (bytes < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      position_ = 0;
      end_ = bytes > 0 ? static_cast<size_t>(bytes) : 0;
      return bytes;
    }
  }

  void Count(const char* data, size_t bytes) {
    size_t header_bytes = 0;
    while (is_in_header_ && header_bytes < bytes) {
      CountInHeader(data[header_bytes++]);
    }
    header_bytes_ += header_bytes;
    body_bytes_ += bytes - header_bytes;
    const size_t held = header_bytes * kHeldPerHeaderByte +
                        (bytes - header_bytes) * kHeldPerBodyByte;
    held_bytes_ += held;
    load_.Hold(held);
  }

  // The header ends with an empty line.
  void CountInHeader(char byte) {
    if (byte == '\n') {
      is_in_header_ = line_bytes_ > 0;
      line_bytes_ = 0;
    } else if (byte != '\r') {
      ++line_bytes_;
    }
  }

  const int fd_;
  const size_t max_message_bytes_;
  ConnectionLoad& load_;
  std::array<char, kReadBufferBytes> buffer_;
  size_t position_ = 0;
  size_t end_ = 0;
  bool is_broken_ = false;
  Clock::time_point request_start_;
  size_t held_bytes_ = 0;
  size_t header_bytes_ = 0;
  size_t body_bytes_ = 0;
  size_t line_bytes_ = 0;
  bool is_in_header_ = true;
};

}  // namespace

bool ConnectionLoad::IsFull() const { return held_bytes_ > kMaxHeldBytes; }

LimitedServer::LimitedServer(int threads, size_t max_body_bytes)
    : max_body_bytes_(max_body_bytes), load_(threads) {
  set_payload_max_length(max_body_bytes);
  new_task_queue = [this, threads] {
    return new CountingPool(threads, load_);  // The server deletes it.
  };
}

bool LimitedServer::process_and_close_socket(socket_t socket) {
  auto stream = std::make_unique<LimitedStream>(socket, max_body_bytes_, load_);
  bool is_open = true;
  const auto is_stopping = [this] { return svr_sock_ == INVALID_SOCKET; };
  for (size_t left = keep_alive_max_count_; is_open && left > 0; --left) {
    if (!stream->WaitForRequest(std::chrono::seconds(keep_alive_timeout_sec_),
                                is_stopping)) {
      break;
    }
    bool is_last = false;
    const bool is_served =
        process_request(*stream, left == 1, is_last, KeepCompressed);
    stream->EndRequest();
    is_open = is_served && !is_last && !stream->is_broken();
  }
  if (stream->is_broken()) stream->Linger();
  ::shutdown(socket, SHUT_RDWR);
  close(socket);
  return is_open;
}

}  // namespace cherrydyke
