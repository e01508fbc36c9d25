#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"

namespace cherrydyke {

/// The calls of a client that makes a second call beside one that is late
/// (hedged requests): a slow path answers the first one, a connection that has
/// fallen silent is overcome by the second.
///
/// There are two calls at most. The older one is kept until a limit that
/// doubles whenever it ends a call, so no path is too slow for ever. The
/// younger one is replaced when it is late as well.
///
/// Pure: time is an argument.
class HedgedCalls {
 public:
  using CallNumber = int64_t;

  struct Options {
    /// Time without a byte after which the older call is given up, at first and
    /// at most.
    absl::Duration patience;
    absl::Duration max_patience;
  };

  /// How a call ended without an answer.
  struct Failure {
    absl::Time started_at;
    /// Whether it was late before.
    bool was_late = false;
  };

  /// What an answer tells of the other calls.
  struct Answer {
    /// When the call that was answered began.
    absl::Time started_at;
    /// Starts of late calls that got no answer although they began before the
    /// one that did, oldest first.
    std::vector<absl::Time> lost;
    /// Starts of late calls that began after it, oldest first: lost as well, or
    /// as slow as it was.
    std::vector<absl::Time> overtaken;
    /// Calls that have become useless.
    std::vector<CallNumber> useless;
  };

  explicit HedgedCalls(Options options) : options_(options) {}

  /// @return the call to cancel before the next one is made, if any. It is no
  /// longer one of the calls.
  std::optional<CallNumber> MakeRoom();
  /// A call was made. There must be room for it.
  CallNumber OnStarted(absl::Time now);
  void OnLate(CallNumber call);
  /// A call failed.
  Failure OnFailed(CallNumber call);
  /// A call was given up after `patience`.
  Failure OnGivenUp(CallNumber call);
  /// A call was answered, after which there are none.
  Answer OnAnswered(CallNumber call);

  bool empty() const { return calls_.empty(); }
  int size() const { return static_cast<int>(calls_.size()); }
  /// @return the time without a byte after which a call that is made now is to
  /// be given up.
  absl::Duration patience() const { return patience_; }

 private:
  struct Call {
    CallNumber number = 0;
    absl::Time started_at;
    bool is_late = false;
  };

  std::vector<Call>::iterator Find(CallNumber number);
  void AddUnresolved(absl::Time started_at);

  const Options options_;
  absl::Duration patience_ = options_.patience;
  /// Oldest first.
  std::vector<Call> calls_;
  CallNumber last_number_ = 0;
  /// Starts of late calls that were cancelled, of which it is not known yet
  /// whether the path is slow or they were lost; oldest first.
  std::vector<absl::Time> unresolved_;
};

}  // namespace cherrydyke
