#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace cherrydyke::review {

/// Stand-in of the platform's metadata store: range reads in pages and watches.
/// Reads that may be stale (`serializable`) can be answered from a replica that
/// lags behind.
class Store {
 public:
  struct Options {
    size_t items_per_page = 500;
    /// How far behind the replica is that answers serializable reads of the
    /// second and later pages.
    int64_t replica_lag_ms = 0;
  };

  Store(const std::string& ip, Options options, Record& record);

  const Address& address() const { return server_.address(); }
  /// Writes an item. The change is confirmed when the call returns.
  void Put(const std::string& key, const std::string& value);
  /// Removes an item. The change is confirmed when the call returns.
  void Remove(const std::string& key);

 private:
  struct Change {
    std::string key;
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    bool removed = false;
    int64_t time_ms = 0;
  };
  using Items = std::map<std::string, Change>;

  void Append(Change change);
  /// @return the items and the revision that the store had at a time.
  Items ItemsAt(int64_t time_ms, int64_t& revision) const;
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse ReadRange(const HttpRequest& request);
  HttpResponse Watch(const HttpRequest& request);
  static std::string ToJson(const Change& change);

  const Options options_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Change> history_;
  std::map<std::string, int64_t> created_;
  int64_t revision_ = 100;
  HttpServer server_;
};

}  // namespace cherrydyke::review
