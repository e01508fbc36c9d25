#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>

#include "record.h"

namespace cherrydyke::review {
namespace {

constexpr size_t kReadBytes = 64U << 10U;
constexpr int kBacklog = 512;
constexpr char kEndOfHeader[] = "\r\n\r\n";

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Parses the header lines after the first line.
std::map<std::string, std::string> ParseHeaders(std::istringstream& lines) {
  std::map<std::string, std::string> headers;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const size_t value = line.find_first_not_of(' ', colon + 1);
    headers[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return headers;
}

size_t ContentLength(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end()
             ? 0
             : std::strtoul(found->second.c_str(), nullptr, 10);
}

// @return false if the connection has ended.
bool Receive(int connection, std::string& buffer) {
  const size_t old_size = buffer.size();
  buffer.resize(old_size + kReadBytes);
  const ssize_t bytes = recv(connection, &buffer[old_size], kReadBytes, 0);
  buffer.resize(old_size + (bytes > 0 ? static_cast<size_t>(bytes) : 0));
  return bytes > 0;
}

bool SendAll(int connection, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(connection, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Reads one request; `buffer` keeps bytes that follow it.
std::optional<HttpRequest> ReadRequest(int connection, std::string& buffer) {
  size_t end = std::string::npos;
  while ((end = buffer.find(kEndOfHeader)) == std::string::npos) {
    if (!Receive(connection, buffer)) return std::nullopt;
  }
  std::istringstream lines(buffer.substr(0, end));
  HttpRequest request;
  std::string first_line;
  std::getline(lines, first_line);
  std::istringstream(first_line) >> request.method >> request.target;
  request.headers = ParseHeaders(lines);
  const size_t body_begin = end + sizeof(kEndOfHeader) - 1;
  const size_t length = ContentLength(request.headers);
  while (buffer.size() < body_begin + length) {
    if (!Receive(connection, buffer)) return std::nullopt;
  }
  request.body = buffer.substr(body_begin, length);
  buffer.erase(0, body_begin + length);
  return request;
}

std::string Serialize(const HttpResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
  for (const auto& [name, value] : response.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(response.body.size());
  return text + kEndOfHeader + response.body;
}

void ParseResponse(const std::string& received, HttpResult& result) {
  const size_t end = received.find(kEndOfHeader);
  if (end == std::string::npos) return;
  std::istringstream lines(received.substr(0, end));
  std::string version;
  std::string first_line;
  std::getline(lines, first_line);
  std::istringstream(first_line) >> version >> result.status;
  result.headers = ParseHeaders(lines);
  result.body = received.substr(end + sizeof(kEndOfHeader) - 1);
  result.complete = result.body.size() >= ContentLength(result.headers);
}

bool IsComplete(const std::string& received) {
  const size_t end = received.find(kEndOfHeader);
  if (end == std::string::npos) return false;
  std::istringstream lines(received.substr(0, end));
  return received.size() >=
         end + sizeof(kEndOfHeader) - 1 + ContentLength(ParseHeaders(lines));
}

// Waits until the socket is ready or the time is over.
bool WaitFor(int connection, int16_t events, int64_t until_ms) {
  pollfd entry{connection, events, 0};
  const int64_t left = std::max<int64_t>(0, until_ms - NowMs());
  return poll(&entry, 1, static_cast<int>(left)) > 0;
}

int Connect(const Address& server, int64_t until_ms, const ReadRate& rate) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (rate.receive_buffer_bytes > 0) {
    setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &rate.receive_buffer_bytes,
               sizeof(rate.receive_buffer_bytes));
  }
  const sockaddr_in address = ToSocketAddress(server);
  const int started = connect(
      connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  int error = 0;
  socklen_t size = sizeof(error);
  if ((started != 0 && errno != EINPROGRESS) ||
      !WaitFor(connection, POLLOUT, until_ms) ||
      getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(ToLower(name));
  return found == headers.end() ? "" : found->second;
}

std::string HttpRequest::Parameter(const std::string& name) const {
  const size_t question = target.find('?');
  if (question == std::string::npos) return "";
  std::istringstream query(target.substr(question + 1));
  std::string pair;
  while (std::getline(query, pair, '&')) {
    if (pair.rfind(name + "=", 0) == 0) return pair.substr(name.size() + 1);
  }
  return "";
}

HttpServer::HttpServer(const std::string& ip, Handler handler)
    : handler_(std::move(handler)), address_{ip, 0} {
  Listen();
}

void HttpServer::Listen() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToSocketAddress(address_);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(listener, kBacklog) != 0) {
    // The case can't run.
    _exit(2);
  }
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  address_.port = ntohs(address.sin_port);
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = listener;
  std::thread([this, listener] { Accept(listener); }).detach();
}

void HttpServer::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  // Ends the pending calls of the threads, which then close the sockets.
  shutdown(listener_, SHUT_RDWR);
  for (const int connection : connections_) shutdown(connection, SHUT_RDWR);
}

void HttpServer::Restart() { Listen(); }

void HttpServer::Accept(int listener) {
  while (true) {
    const int connection = accept(listener, nullptr, nullptr);
    if (connection < 0) break;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const linger reset = {1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      connections_.insert(connection);
    }
    std::thread([this, connection] { Serve(connection); }).detach();
  }
  close(listener);
}

void HttpServer::Serve(int connection) {
  std::string buffer;
  std::string late_copy;
  while (const auto request = ReadRequest(connection, buffer)) {
    if (!SendAll(connection, std::exchange(late_copy, ""))) break;
    HttpResponse response = handler_(*request);
    if (response.is_crash || !SendAll(connection, Serialize(response))) break;
    if (response.is_repeated_late) {
      response.headers.erase(response.headers.begin());
      late_copy = Serialize(response);
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
  close(connection);
}

HttpResult Fetch(const Address& server, const std::string& request,
                 int64_t timeout_ms, ReadRate rate) {
  HttpResult result;
  const int64_t until = NowMs() + timeout_ms;
  const int connection = Connect(server, until, rate);
  result.sent_at_ms = NowMs();
  result.ended_at_ms = result.sent_at_ms;
  if (connection < 0) return result;
  result.connected = true;
  send(connection, request.data(), request.size(), MSG_NOSIGNAL);
  result.sent_at_ms = NowMs();
  std::string received;
  int64_t reading_since = 0;
  while (!IsComplete(received) && WaitFor(connection, POLLIN, until)) {
    if (reading_since == 0) reading_since = NowMs();
    if (!Receive(connection, received)) break;
    if (rate.bytes_per_s > 0) {
      SleepUntil(reading_since + static_cast<int64_t>(received.size()) * 1000 /
                                     rate.bytes_per_s);
    }
  }
  result.ended_at_ms = NowMs();
  ParseResponse(received, result);
  close(connection);
  return result;
}

bool IsPortFree(const std::string& ip, uint16_t port) {
  const sockaddr_in address = ToSocketAddress({ip, port});
  bool is_free = true;
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int probe = socket(AF_INET, type, 0);
    if (bind(probe, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
      is_free = false;
    }
    close(probe);
  }
  return is_free;
}

}  // namespace cherrydyke::review
