#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "absl/time/time.h"
#include "engine/event_loop.h"
#include "engine/http_server.h"

namespace cherrydyke {

/// Requests that nobody has begun and that wait for a host that can run them.
/// Each is handled anew when its wait ends.
class WaitingRequests {
 public:
  using Handler = std::function<void(std::shared_ptr<engine::ServerExchange>)>;

  /// @param handle called when the wait of a request ends.
  WaitingRequests(engine::EventLoop& loop, Handler handle);
  ~WaitingRequests();
  WaitingRequests(const WaitingRequests&) = delete;
  WaitingRequests& operator=(const WaitingRequests&) = delete;

  /// @return false if too many requests wait already.
  bool Add(std::shared_ptr<engine::ServerExchange> exchange, absl::Time until);

  /// Ends the wait of all present requests, a few at a time: hosts that were
  /// away have requests of their own callers to catch up with.
  void Resume();
  /// Ends the wait of all requests at once.
  void ResumeAll();

  size_t size() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::shared_ptr<engine::ServerExchange> exchange;
    engine::TimerId timer = 0;
  };

  void ResumeSome();
  void EndFirst(size_t count);
  std::shared_ptr<engine::ServerExchange> Remove(
      std::list<Waiting>::iterator entry);
  void End(std::list<Waiting>::iterator entry);

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Handler handle_;
  /// In the order in which their waits began.
  std::list<Waiting> waiting_;
  size_t body_bytes_ = 0;
  /// How many more waits are to end soon.
  size_t to_resume_ = 0;
};

}  // namespace cherrydyke
