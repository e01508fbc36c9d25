#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the second review: a store, searchers and consumers that do
/// what the users' pages say, and the real processes of the tier. One thread a
/// connection; loopback addresses only.
namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// The file in which a case writes what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  /// @return the time since the start, such as "120 ms".
  std::string Now() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

/// A request or a response.
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// @return the value of a header; empty if it is absent.
  std::string Header(const std::string& name) const;
  /// @return the second word of the start line: target or status.
  std::string SecondWord() const;
  std::string Method() const;
};

/// A TCP socket; calls block.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Connect(const std::string& ip, int port);
  bool Listen(const std::string& ip, int port);
  /// @return a descriptor, or -1 if the socket was shut down.
  int Accept() const;
  bool Write(const std::string& bytes) const;
  /// Reads the next message.
  /// @return false if the connection ended or fell silent before its end.
  bool Read(Message& message, Ms silence);
  /// Ends all calls of other threads.
  void Shutdown() const;

 private:
  bool Fill(Ms silence);

  int descriptor_ = -1;
  std::string input_;
};

/// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;

  Server(const std::string& ip, int port, Serve serve);
  ~Server();
  bool is_listening() const { return is_listening_; }
  /// Ends all open connections.
  void Reset();

 private:
  Socket listener_;
  Serve serve_;
  bool is_listening_ = false;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Socket>> open_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

/// The platform's store (PROTOCOL.md): reading calls only.
class Store {
 public:
  struct Options {
    std::string ip;
    int port = 8229;
    /// Until an answer is sent: the store's own time and the way.
    Ms answer{0};
    /// Age of what reads with `serializable` return.
    Ms stale_by{0};
  };

  explicit Store(Options options);
  ~Store();
  bool is_listening() const { return server_->is_listening(); }
  int64_t Put(const std::string& key, const std::string& value);
  int64_t Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    bool removed = false;
    Clock::time_point written_at;
  };

  int64_t Write(const std::string& key, const std::string& value, bool removed);
  void Serve(Socket& socket);
  std::string Range(const std::string& prefix, const std::string& after,
                    Clock::time_point until);
  std::string Watch(const std::string& prefix, int64_t after, Ms wait);

  const Options options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  /// By key, oldest first.
  std::map<std::string, std::vector<Item>> items_;
  int64_t revision_ = 100;
  bool stopping_ = false;
  std::unique_ptr<Server> server_;
};

/// A searcher. It works on a few requests at a time, queues some more, and
/// rejects those for another instance.
class Searcher {
 public:
  struct Run {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
  };
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int port = 8080;
    int slots = 2;
    int queue = 12;
    Ms work{8};
  };

  Searcher(Options options, std::function<void(const Run&)> on_run);
  ~Searcher();
  bool is_listening() const { return server_->is_listening(); }
  /// @return the entry in the store.
  std::string Entry(const std::string& state = "ready") const;
  const Options& options() const { return options_; }
  /// Stands still until then.
  void Pause(Ms time);
  int running() const { return running_; }
  int waiting() const { return waiting_; }

 private:
  void Serve(Socket& socket);
  std::string Answer(const Message& request);

  const Options options_;
  const std::function<void(const Run&)> on_run_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Clock::time_point paused_until_;
  std::atomic<int> running_{0};
  std::atomic<int> waiting_{0};
  int64_t answers_ = 0;
  std::unique_ptr<Server> server_;
};

/// A process of the tier, started with the command of the deploy file.
class Tier {
 public:
  struct Options {
    std::string name;
    std::string zone;
    std::string ip;
    std::vector<std::string> seeds;
    std::string store;
    std::string folder;
  };

  explicit Tier(Options options);
  ~Tier();
  void Start();
  void Signal(int signal) const;
  /// @return whether it has ended by itself.
  bool HasEnded();
  void Kill();
  bool IsReady() const;
  const Options& options() const { return options_; }

  static constexpr int kFrontPort = 8226;
  static constexpr int kReadyPort = 8227;

 private:
  const Options options_;
  pid_t process_ = -1;
};

/// @return a network of loopback addresses, "127.N.", whose ports are free.
std::string OwnNetwork();
/// @return whether the disruption is to be played: TROUBLE is not 0.
bool HasTrouble();
/// @return the number after the name in a JSON text or query, or the fallback.
int64_t NumberAfter(const std::string& text, const std::string& name,
                    int64_t fallback);

}  // namespace review
