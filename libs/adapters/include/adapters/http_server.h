#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"

namespace cherrydyke {

/// A received HTTP request, independent of the HTTP library.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::map<std::string, std::string> parameters;
  /// Address of the client, `IP:PORT`.
  std::string peer;

  /// @return the value of the header, or "" if it is absent.
  std::string Header(const std::string& lower_case_name) const;
  /// @return the value of the query parameter, or `fallback` if it is absent.
  std::string Parameter(const std::string& name,
                        const std::string& fallback = "") const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  /// Closes the connection without sending a body. Only fakes use it.
  bool drop_connection = false;
};

/// HTTP/1.1 server with a fixed number of threads.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  struct Options {
    /// Connections served concurrently.
    int threads = 64;
    /// Largest accepted body; a larger one gets status 413.
    size_t max_body_bytes = 1 << 20;
  };

  explicit HttpServer(Options options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Adds a route. Call it before `Start`. Requests for unknown paths get
  /// status 404 with a JSON body.
  void Get(const std::string& path, Handler handler);
  void Post(const std::string& path, Handler handler);

  /// Listens and serves in the background.
  /// @param port 0 to let the kernel choose.
  /// @return the port, or an error if the address cannot be bound.
  Result<int> Start(const std::string& address, int port);

  /// Stops accepting connections and waits until the requests in progress are
  /// finished. Idempotent.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cherrydyke
