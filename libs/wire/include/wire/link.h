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

/// An open connection between two daemons that carries framed messages.
/// `Send` is thread-safe; only one thread may read from `stream`.
class Link {
 public:
  explicit Link(std::unique_ptr<Stream> stream) : stream_(std::move(stream)) {}

  /// Sends one message.
  /// @return false if the link is broken. Part of the message may have been
  /// sent; the link is closed.
  bool Send(const Message& message);

  void Close() { stream_->Close(); }
  Stream& stream() { return *stream_; }

 private:
  absl::Mutex write_mutex_;
  std::unique_ptr<Stream> stream_;
};

/// Accepts links on a listening port and reads each on a thread of its own.
/// Answers `Ping` messages itself.
class LinkServer {
 public:
  /// Called on the reading thread of the link. Keep the pointer to send replies
  /// after the call has returned.
  using Handler =
      std::function<void(const std::shared_ptr<Link>& link, Message message)>;
  /// Called on the reading thread if a peer sent an invalid frame; the link is
  /// closed afterwards.
  using ErrorHandler = std::function<void(const Error& error)>;

  LinkServer(Listener listener, Connector& connector, Handler handler,
             ErrorHandler on_error);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  /// Sends the message on every open link.
  void Broadcast(const Message& message);
  int port() const { return listener_.port(); }
  /// Closes all links and joins all threads. Idempotent.
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
  FrameBudget frame_budget_;
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<Session>> sessions_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

/// Keeps one link to a peer and reconnects when the link breaks or the peer
/// stops responding, pings included.
class LinkClient {
 public:
  /// Called on the thread of the client.
  class Events {
   public:
    virtual ~Events() = default;
    virtual void OnMessage(Message message) = 0;
    /// The link broke. The peer may or may not have received the messages that
    /// it has not replied to.
    virtual void OnLinkDown() = 0;
  };

  LinkClient(Endpoint peer, Hello hello, Connector& connector, Events& events);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  enum class SendResult {
    kSent,
    /// No link is open; nothing was sent.
    kNotSent,
    /// The link broke; part or all of the message may have been sent.
    kUncertain,
  };
  /// Sends on the current link. Does not wait for a connection. Thread-safe.
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
