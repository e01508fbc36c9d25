#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"

namespace cherrydyke {

/// A received HTTP request, free of the library that read it.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::map<std::string, std::string> parameters;
  /// The connection's other end, `IP:PORT`.
  std::string peer;

  /// @return the header's value, or "".
  std::string Header(const std::string& lower_case_name) const;
  /// @return the query parameter's value, or `fallback`.
  std::string Parameter(const std::string& name,
                        const std::string& fallback = "") const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  /// Ends the connection without an answer; only stand-ins use it.
  bool drop_connection = false;
};

/// Serves HTTP/1.1 with a fixed number of threads.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  struct Options {
    /// Connections served at once.
    int threads = 64;
    /// Largest body accepted, in bytes; larger ones get 413.
    size_t max_body = 1 << 20;
  };

  explicit HttpServer(Options options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Adds a route; call before `Start`. Unknown paths get 404 in JSON.
  void Get(const std::string& path, Handler handler);
  void Post(const std::string& path, Handler handler);

  /// Binds and serves in the background.
  /// @param port 0 lets the kernel choose.
  /// @return the port.
  Result<int> Start(const std::string& address, int port);

  /// Stops accepting; requests being handled are finished. Idempotent.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cherrydyke
