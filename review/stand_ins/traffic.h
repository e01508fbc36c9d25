#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace cherrydyke::review {

/// One consumer attempt and what became of it.
struct Attempt {
  std::string id;
  std::string host;
  HttpResult result;
};

/// Sends requests at an even rate, each on a connection of its own, from
/// threads of its own.
class Traffic {
 public:
  struct Request {
    std::string id;
    /// Name of the host, for the record.
    std::string host;
    Address address;
    std::string text;
    int64_t deadline_ms = 0;
    ReadRate rate;
  };

  explicit Traffic(Record& record) : record_(record) {}

  /// Sends a request and returns at once.
  void Send(const Request& request);
  /// Sends requests until a time, and returns then.
  /// @param make the request with a number; called at its time.
  void Run(int64_t until_ms, double per_s,
           const std::function<Request(int)>& make);
  /// Waits until all requests have ended.
  void Wait() const;
  /// @return the attempts that have ended, by id.
  std::map<std::string, Attempt> Attempts() const;

 private:
  Record& record_;
  mutable std::mutex mutex_;
  std::map<std::string, Attempt> attempts_;
  int running_ = 0;
};

}  // namespace cherrydyke::review
