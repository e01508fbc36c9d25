#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "engine/event_loop.h"

namespace cherrydyke {

/// Runs the loop until `done` holds.
/// @return whether it held within `limit`.
bool RunUntil(engine::EventLoop& loop, const std::function<bool()>& done,
              absl::Duration limit = absl::Seconds(5));

/// Runs the loop for a time.
void RunFor(engine::EventLoop& loop, absl::Duration time);

/// Runs the loop until it is stopped.
void RunUntilStopped(engine::EventLoop& loop);

/// One end of a TCP connection that tests write any bytes to.
class RawConnection {
 public:
  virtual ~RawConnection() = default;
  virtual void Write(const std::string& bytes) = 0;
  /// Ends the connection in order.
  virtual void Close() = 0;
  /// Ends it with a reset.
  virtual void Reset() = 0;
  /// @return everything received so far.
  virtual const std::string& received() const = 0;
  virtual bool closed_by_peer() const = 0;
};

/// Opens a connection.
std::shared_ptr<RawConnection> RawConnect(engine::EventLoop& loop,
                                          const Endpoint& endpoint);

/// A server whose answers are whatever the test makes them.
class RawServer {
 public:
  /// Called each time that bytes came which end a request's header, with
  /// everything received since the last call.
  using OnRequest =
      std::function<void(RawConnection& connection, const std::string& bytes)>;

  RawServer(engine::EventLoop& loop, OnRequest on_request);
  ~RawServer();

  /// @return `IP:PORT` where it listens.
  const Endpoint& endpoint() const;
  int accepted() const;
  /// Resets the next connections as soon as they are accepted.
  void ResetNextConnections(int connections);
  /// Resets every connection.
  void ResetConnections();
  /// Stops to listen and resets every connection.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// @return the value of a header in a request or response, or "".
std::string HeaderOf(const std::string& message, const std::string& name);

/// @return the body of a response.
std::string BodyOf(const std::string& response);

/// @return whether a response with a length is whole.
bool IsComplete(const std::string& response);

/// @return a complete response with a length.
std::string OkResponse(const std::string& body,
                       const std::string& headers = "");

}  // namespace cherrydyke
