#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// Failure of a request for which no complete HTTP response was received.
enum class HttpFailure {
  /// No connection was established, so nothing was sent.
  kNotConnected,
  /// The server closed the connection before the response was complete.
  kConnectionLost,
  /// The response was not complete in time.
  kTimeout,
  /// The response has no status of a final response.
  kMalformed,
};

struct HttpReply {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// HTTP client with one keep-alive connection to one server. Not thread-safe.
class HttpClient {
 public:
  using Headers = std::map<std::string, std::string>;
  using Outcome = std::variant<HttpReply, HttpFailure>;

  /// @param source local address for the connection, or "" to let the kernel
  /// choose.
  explicit HttpClient(const Endpoint& endpoint, const std::string& source = "");
  ~HttpClient();

  /// @param timeout for connecting (at most 1 s) and for each read and write.
  Outcome Get(const std::string& path, absl::Duration timeout);
  Outcome Post(const std::string& path, const std::string& body,
               const Headers& headers, absl::Duration timeout);

  /// @return whether the connection is open and the server has not closed it.
  bool IsOpen() const;

  /// Closes the connection. The next request opens a new one.
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cherrydyke
