#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.h"
#include "engine/event_loop.h"

namespace cherrydyke {

/// Runs the loop until `done` holds.
/// @return whether `done` held within `limit`.
bool RunUntil(engine::EventLoop& loop, const std::function<bool()>& done,
              absl::Duration limit = absl::Seconds(5));

void RunFor(engine::EventLoop& loop, absl::Duration duration);

/// Runs the loop until `EventLoop::Stop` ends it; may be called repeatedly.
void RunUntilStopped(engine::EventLoop& loop);

/// One end of a TCP connection, to which tests write arbitrary bytes, including
/// invalid HTTP.
class RawConnection {
 public:
  virtual ~RawConnection() = default;
  virtual void Write(const std::string& bytes) = 0;
  /// Shuts down both directions and closes the connection.
  virtual void Close() = 0;
  /// Closes the connection with a TCP reset.
  virtual void Reset() = 0;
  /// @return all bytes received so far.
  virtual const std::string& received() const = 0;
  virtual bool closed_by_peer() const = 0;
};

/// Connects synchronously and starts to receive.
/// @throw boost::system::system_error if the connection fails.
std::shared_ptr<RawConnection> RawConnect(engine::EventLoop& loop,
                                          const Endpoint& endpoint);

/// A TCP server whose responses are written by the test.
class RawServer {
 public:
  /// When the test is called.
  enum class Framing {
    /// When the bytes received since the previous call on the connection
    /// contain the end of a request header; gets these bytes.
    kHead,
    /// Once for each request, with its header and as many bytes as its
    /// `Content-Length` says. Bytes that belong to no request stand in front of
    /// the next one.
    kWholeRequest,
  };
  using OnRequest =
      std::function<void(RawConnection& connection, const std::string& bytes)>;

  /// @param endpoint address to listen on; port 0 is a free one.
  RawServer(engine::EventLoop& loop, OnRequest on_request,
            const Endpoint& endpoint = "127.0.0.1:0",
            Framing framing = Framing::kHead);
  ~RawServer();

  /// @return the listening address as `IP:PORT`.
  const Endpoint& endpoint() const;
  /// @return the number of connections accepted so far.
  int accepted() const;
  /// Makes the server reset each of the next `connections` connections right
  /// after accepting it.
  void ResetNextConnections(int connections);
  /// Resets all open connections.
  void ResetConnections();
  /// Stops listening and resets all open connections.
  void Stop();
  /// From now on nothing is read or written, and connection attempts get no
  /// reply, as if the server had lost power.
  void FallSilent();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// @return the value of a header field of an HTTP message, or "". `name` is
/// matched case-sensitively.
std::string HeaderOf(const std::string& message, const std::string& name);

std::string BodyOf(const std::string& response);

/// @return the size in bytes of the first message, with as much of a body as
/// its `Content-Length` says; nothing while it is not complete.
std::optional<size_t> SizeOfFirstMessage(const std::string& bytes);

/// @return whether a response with `Content-Length` has arrived completely.
bool IsComplete(const std::string& response);

/// @return a response with status 200 and `Content-Length`.
/// @param headers further header lines, each ending in CRLF
std::string OkResponse(const std::string& body,
                       const std::string& headers = "");

}  // namespace cherrydyke
