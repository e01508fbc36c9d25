#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "dispatch/published_state.h"

namespace cherrydyke {

/// A request that has ended at this host, as far as a change that becomes known
/// later may concern it.
struct HandledRequest {
  std::string id;
  std::string host;
  std::string path;
  /// Length of the prefix of the route that handled it; 0 for none.
  size_t matched_prefix = 0;
  int64_t config_version = 0;
  std::string outcome;
  /// Instance hashes of the targets to which it was sent.
  std::vector<uint32_t> targets;
  PublishedState state;
  absl::Time received_at;
  absl::Time ended_at;
  bool has_line = false;
};

/// The last requests. A host that is late learns of a change only after the
/// requests that it handled without it, which had no line when they ended.
///
/// Pure: time is an argument.
class RequestTrail {
 public:
  static constexpr size_t kCapacity = 4096;
  /// Requests of each changed route or target that get a line: the last ones
  /// were the latest after the change. More of those whose host was not proven
  /// current for half of the bound.
  static constexpr int kLinesPerChange = 8;
  static constexpr int kLateLinesPerChange = 64;
  static constexpr int kNoChange = -1;

  /// @param bound time within which changes must take effect. Requests are kept
  /// for `kWindowInBounds` of it.
  explicit RequestTrail(absl::Duration bound)
      : window_(kWindowInBounds * bound), late_age_(bound / 2) {}
  static constexpr int kWindowInBounds = 4;

  void Add(HandledRequest request);
  /// @param change_of returns the number of the change that concerns a request,
  /// or `kNoChange`.
  /// @return the last requests that changes concern and that had no line yet,
  /// the latest first.
  std::vector<const HandledRequest*> TakeConcerned(
      absl::FunctionRef<int(const HandledRequest&)> change_of, absl::Time now);

  size_t size() const { return requests_.size(); }

 private:
  absl::Duration window_;
  absl::Duration late_age_;
  std::deque<HandledRequest> requests_;
};

}  // namespace cherrydyke
