#include "adapters/http_server.h"

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <thread>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"
#include "limited_server.h"

namespace cherrydyke {
namespace {

constexpr int kListenBacklog = 1024;
constexpr time_t kKeepAliveTimeoutSeconds = 30;
constexpr std::chrono::milliseconds kClosePollInterval(50);
constexpr size_t kMaxRequestsPerConnection = 1'000'000;
/// Per connection, of what the process has not read.
constexpr int kReceiveBufferBytes = 32 << 10;

HttpRequest FromLibrary(const httplib::Request& from) {
  HttpRequest request;
  request.method = from.method;
  request.path = from.path;
  request.body = from.body;
  request.peer = absl::StrCat(from.remote_addr, ":", from.remote_port);
  for (const auto& [name, value] : from.headers) {
    request.headers[absl::AsciiStrToLower(name)] = value;
  }
  for (const auto& [name, value] : from.params) {
    request.parameters[name] = value;
  }
  return request;
}

void ToLibrary(const HttpResponse& from, httplib::Response& to) {
  to.status = from.status;
  for (const auto& [name, value] : from.headers) to.set_header(name, value);
  if (from.drop_connection) {
    // A content provider that fails makes the library close the connection
    // after the response headers.
    to.set_content_provider(
        1, "text/plain",
        [](size_t, size_t, httplib::DataSink&) { return false; });
    return;
  }
  to.set_content(from.body, from.content_type);
}

bool IsLocalPort(int fd, int port) {
  sockaddr_in local{};
  socklen_t length = sizeof(local);
  const int got = getsockname(fd, reinterpret_cast<sockaddr*>(&local), &length);
  return got == 0 && local.sin_family == AF_INET &&
         ntohs(local.sin_port) == port;
}

// The library waits for idle keep-alive connections until their timeout and has
// no function to close them. Shutting down the read side of every accepted
// socket closes the idle connections; responses in progress are still written.
void CloseIdleConnections(int port) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  const int limit = static_cast<int>(std::min<rlim_t>(files.rlim_cur, 65'536));
  for (int fd = 0; fd < limit; ++fd) {
    if (IsLocalPort(fd, port)) shutdown(fd, SHUT_RD);
  }
}

// The library limits only bodies that announce their length.
httplib::Server::Handler Wrap(HttpServer::Handler handler,
                              size_t max_body_bytes) {
  return [handler = std::move(handler), max_body_bytes](
             const httplib::Request& request, httplib::Response& response) {
    if (request.body.size() > max_body_bytes) {
      response.status = 413;
      return;
    }
    ToLibrary(handler(FromLibrary(request)), response);
  };
}

}  // namespace

std::string HttpRequest::Header(const std::string& lower_case_name) const {
  const auto found = headers.find(lower_case_name);
  return found == headers.end() ? "" : found->second;
}

std::string HttpRequest::Parameter(const std::string& name,
                                   const std::string& fallback) const {
  const auto found = parameters.find(name);
  return found == parameters.end() ? fallback : found->second;
}

struct HttpServer::Impl {
  explicit Impl(const Options& options)
      : max_body_bytes(options.max_body_bytes),
        server(options.threads, options.max_body_bytes) {}

  const size_t max_body_bytes;
  LimitedServer server;
  int listen_fd = -1;
  int port = 0;
  std::thread thread;
};

HttpServer::HttpServer(Options options)
    : impl_(std::make_unique<Impl>(options)) {
  httplib::Server& server = impl_->server;
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server.set_keep_alive_timeout(kKeepAliveTimeoutSeconds);
  server.set_socket_options([this](socket_t fd) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    impl_->listen_fd = fd;
  });
  server.set_error_handler([](const httplib::Request& request,
                              httplib::Response& response) {
    if (!response.body.empty()) return;
    const char* reason = response.status == 413   ? "body_too_large"
                         : response.status == 404 ? "unknown_path"
                                                  : "malformed_request";
    response.set_content(
        absl::StrCat(R"({"outcome":"not_run","reason":")", reason,
                     R"(","message":")", request.method, " ", reason, R"("})"),
        "application/json");
  });
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Get(const std::string& path, Handler handler) {
  impl_->server.Get(path, Wrap(std::move(handler), impl_->max_body_bytes));
}

void HttpServer::Post(const std::string& path, Handler handler) {
  impl_->server.Post(path, Wrap(std::move(handler), impl_->max_body_bytes));
}

Result<int> HttpServer::Start(const std::string& address, int port) {
  httplib::Server& server = impl_->server;
  int bound = port;
  if (port == 0) {
    bound = server.bind_to_any_port(address);
  } else if (!server.bind_to_port(address, port)) {
    bound = -1;
  }
  if (bound <= 0) {
    return Error{ErrorCode::kUnavailable,
                 absl::StrCat("cannot listen on ", address, ":", port)};
  }
  impl_->port = bound;
  // The library uses a backlog of 5, which is too small for a burst of
  // connections.
  listen(impl_->listen_fd, kListenBacklog);
  impl_->thread = std::thread([&server] { server.listen_after_bind(); });
  while (!server.is_running()) std::this_thread::yield();
  return bound;
}

void HttpServer::Stop() {
  if (!impl_->thread.joinable()) return;
  impl_->server.stop();
  std::atomic<bool> stopped{false};
  std::thread idle_closer([this, &stopped] {
    while (!stopped) {
      CloseIdleConnections(impl_->port);
      std::this_thread::sleep_for(kClosePollInterval);
    }
  });
  impl_->thread.join();
  stopped = true;
  idle_closer.join();
}

}  // namespace cherrydyke
