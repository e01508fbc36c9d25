#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// How a request over HTTP failed below the protocol.
enum class HttpFailure {
  /// No connection could be made, so nothing was sent.
  kNotConnected,
  /// The peer ended the connection before it answered.
  kConnectionLost,
  /// No whole answer in time.
  kTimeout,
};

struct HttpReply {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// One connection to one server, kept open between requests. Not thread-safe.
class HttpClient {
 public:
  using Headers = std::map<std::string, std::string>;
  using Outcome = std::variant<HttpReply, HttpFailure>;

  /// @param source address to connect from, or "" for the system's choice.
  explicit HttpClient(const Endpoint& endpoint, const std::string& source = "");
  ~HttpClient();

  /// @param timeout for connecting and for each wait for the answer.
  Outcome Get(const std::string& path, absl::Duration timeout);
  Outcome Post(const std::string& path, const std::string& body,
               const Headers& headers, absl::Duration timeout);

  /// @return whether the connection is open and the peer has not ended it.
  bool IsOpen() const;

  /// Closes the connection; the next request makes a new one.
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cherrydyke
