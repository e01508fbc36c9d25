#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>

#include "httplib.h"

namespace cherrydyke {

/// What the connections of a server hold together. Thread-safe.
class ConnectionLoad {
 public:
  /// @param threads connections that are served concurrently
  explicit ConnectionLoad(int threads) : threads_(threads) {}

  void AddConnection() { ++connections_; }
  void RemoveConnection() { --connections_; }
  /// @return whether accepted connections wait for a thread.
  bool HasWaiting() const { return connections_ > threads_; }

  void Hold(size_t bytes) { held_bytes_ += bytes; }
  void Release(size_t bytes) { held_bytes_ -= bytes; }
  /// @return whether large requests have to wait until others have ended.
  bool IsFull() const;

 private:
  const int threads_;
  std::atomic<int> connections_{0};
  std::atomic<size_t> held_bytes_{0};
};

/// Server of the library with limits for what a request brings, besides its
/// body, and for what all connections hold together.
class LimitedServer : public httplib::Server {
 public:
  /// @param threads connections served concurrently
  /// @param max_body_bytes limit of a body; its framing has its own
  LimitedServer(int threads, size_t max_body_bytes);

 private:
  bool process_and_close_socket(socket_t socket) override;

  const size_t max_body_bytes_;
  ConnectionLoad load_;
};

}  // namespace cherrydyke
