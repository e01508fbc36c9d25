#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cherrydyke::review {

struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

struct HttpRequest {
  std::string method;
  std::string target;
  /// Header values by lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;

  /// @return a header's value, empty if it is absent.
  std::string Header(const std::string& name) const;
  /// @return a parameter of the query, empty if it is absent.
  std::string Parameter(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Whether a faulty server sends a copy of the response, without the first
  /// header, when the next request arrives on the connection.
  bool is_repeated_late = false;
  /// Whether the server's process crashes instead of responding.
  bool is_crash = false;
};

/// What a client saw of one request on a connection of its own.
struct HttpResult {
  /// Whether the connection was opened.
  bool connected = false;
  /// 0 without a complete response header.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether the body has the announced length.
  bool complete = false;
  int64_t sent_at_ms = 0;
  int64_t ended_at_ms = 0;
};

/// HTTP/1.1 server with keep-alive and one thread per connection.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Listens on a free port.
  HttpServer(const std::string& ip, Handler handler);

  const Address& address() const { return address_; }
  /// Refuses connections and ends all that are open, as if the process had
  /// crashed.
  void Stop();
  /// Listens again on the same port.
  void Restart();

 private:
  void Listen();
  void Accept(int listener);
  void Serve(int connection);

  Handler handler_;
  Address address_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
};

/// How fast a client reads a response.
struct ReadRate {
  /// 0 for as fast as possible.
  int64_t bytes_per_s = 0;
  /// Size of the socket's receive buffer, 0 for the system's default.
  int receive_buffer_bytes = 0;
};

/// Sends a request on a new connection and reads its response.
HttpResult Fetch(const Address& server, const std::string& request,
                 int64_t timeout_ms, ReadRate rate = {});

/// @return whether a TCP and a UDP socket can be bound to the port.
bool IsPortFree(const std::string& ip, uint16_t port);

}  // namespace cherrydyke::review
