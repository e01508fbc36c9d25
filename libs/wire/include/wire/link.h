#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "wire/frame.h"
#include "wire/socket.h"

namespace cherrydyke {

/// One open connection between two of the system's processes. Thread-safe.
class Link {
 public:
  explicit Link(std::unique_ptr<Stream> stream) : stream_(std::move(stream)) {}

  /// Sends one message whole.
  /// @return false if the link is broken; part of it may have been sent.
  bool Send(const Message& message);

  void Close() { stream_->Close(); }
  Stream& stream() { return *stream_; }

 private:
  absl::Mutex write_mutex_;
  std::unique_ptr<Stream> stream_;
};

/// Serves links on a listening port, one reading thread a link.
class LinkServer {
 public:
  /// Called on the link's reading thread. The link outlives the call for as
  /// long as the pointer is kept, so that answers can be sent later.
  using Handler =
      std::function<void(const std::shared_ptr<Link>& link, Message message)>;
  /// Called when a link sent something that is not a message.
  using ErrorHandler = std::function<void(const Error& error)>;

  LinkServer(Listener listener, Connector& connector, Handler handler,
             ErrorHandler on_error);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  /// Sends to every open link.
  void Broadcast(const Message& message);
  int port() const { return listener_.port(); }
  /// Closes every link and joins all threads. Idempotent.
  void Stop();

 private:
  struct Session {
    std::shared_ptr<Link> link;
    std::thread thread;
    std::atomic<bool> finished{false};
  };

  void AcceptLoop();
  void Serve(Session& session);
  void JoinFinishedSessions();

  Listener listener_;
  Connector& connector_;
  Handler handler_;
  ErrorHandler on_error_;
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<Session>> sessions_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

/// Keeps one link to a peer, redialling when it breaks or falls silent.
class LinkClient {
 public:
  class Events {
   public:
    virtual ~Events() = default;
    virtual void OnMessage(Message message) = 0;
    /// Everything sent and not answered may or may not have been received.
    virtual void OnLinkDown() = 0;
  };

  LinkClient(Endpoint peer, Hello hello, Connector& connector, Events& events);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  enum class SendResult {
    kSent,
    /// Nothing left this process.
    kNotSent,
    /// Some of it may have left.
    kUncertain,
  };
  SendResult Send(const Message& message);

  bool connected() const { return connected_; }
  void Stop();

 private:
  void Run();
  void ReceiveMessages(Link& link);

  const Endpoint peer_;
  const Hello hello_;
  Connector& connector_;
  Events& events_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> connected_{false};
  absl::Mutex mutex_;
  std::shared_ptr<Link> link_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace cherrydyke
