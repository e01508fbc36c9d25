#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "absl/time/time.h"

namespace cherrydyke {

/// How an attempt at a target ended without a response.
enum class AttemptLoss {
  /// The connection that carried it was lost.
  kConnectionLost,
  /// It was given up and aborted while the connection seemed intact.
  kAbandoned,
};

/// What became of a target while an attempt ran on it.
enum class CrashVerdict {
  /// The target's process ended.
  kCrashed,
  /// The process went on running: only the response was lost or late.
  kSurvived,
  /// Nothing was found out in time.
  kUnexplained,
};

/// Decides for attempts that got no response whether the target instance
/// crashed under them. No single kind of evidence is required: a process that
/// ends may reset its connections or fall silent, may be restarted before
/// anybody connects to it, and its entry may go first.
///
/// A connection that times out is evidence only if the network path to the
/// target's failure domain is known to work; in a partition all its targets are
/// silent. A partition can also reset all connections and refuse new ones, one
/// target after another, so a refused connection is evidence only if the path
/// still works some time later. Pure: time is an argument.
///
///     detector.OnUnanswered(attempt, now, [](CrashVerdict) { ... });
///     if (detector.NeedsProbe()) pool.Probe();
class CrashDetector {
 public:
  using OnVerdict = std::function<void(CrashVerdict)>;

  /// An attempt that got no response.
  struct Attempt {
    AttemptLoss loss = AttemptLoss::kConnectionLost;
    absl::Time sent_at;
    /// Since when the target answers nothing; infinite if it answers.
    absl::Time silent_since = absl::InfiniteFuture();
  };

  /// @param on_verdict called once, possibly from within this call.
  void OnUnanswered(const Attempt& attempt, absl::Time now,
                    OnVerdict on_verdict);
  /// The instance sent a complete response.
  void OnResponse(absl::Time now);
  /// A process at the instance's address accepted a connection.
  void OnConnected(absl::Time now);
  /// A connection attempt failed.
  /// @param refused whether the address was reachable and had no listener.
  /// @param path_works whether other targets of the failure domain respond; of
  /// a refusal, `OnPoll` decides.
  void OnConnectFailed(bool refused, bool path_works, absl::Time now);
  /// The instance's entry was removed, or another instance has its id or
  /// address.
  /// @param announced whether the instance had announced its shutdown.
  /// @param is_connected whether a process at its address keeps a connection
  /// established; that process is then another instance.
  void OnInstanceEnded(bool announced, bool is_connected, absl::Time now);
  /// The instance is listed at its address again, after another one had
  /// responded there.
  void OnListedAgain() { ended_at_.reset(); }
  /// Decides the attempts for which time is evidence.
  /// @param is_connected whether a connection to the instance is established.
  /// @param path_works whether the path to other targets works at this time.
  void OnPoll(bool is_connected, bool path_works, absl::Time now);

  /// @return whether attempts wait for a verdict, so that `OnPoll` is needed.
  bool HasPending() const { return !pending_.empty(); }
  /// @return whether a connection attempt would help to decide.
  bool NeedsProbe() const;

 private:
  struct Pending {
    AttemptLoss loss;
    absl::Time ended_at;
    /// Whether a connection was accepted since. It may have been another
    /// process, so the verdict waits for evidence of a restart.
    bool accepted = false;
    /// When a connection was refused, until it is known whether the path works.
    absl::Time refused_at = absl::InfiniteFuture();
    OnVerdict on_verdict;
  };

  /// Removes the pending attempts to which the predicate applies and reports
  /// the verdict.
  template <typename Predicate>
  void Decide(CrashVerdict verdict, Predicate predicate);

  std::vector<Pending> pending_;
  absl::Time last_response_at_ = absl::InfinitePast();
  absl::Time last_connected_at_ = absl::InfinitePast();
  /// When a connection attempt last timed out although the path works.
  absl::Time last_timeout_at_ = absl::InfinitePast();
  /// When the instance ended without announcement, if it did.
  std::optional<absl::Time> ended_at_;
};

}  // namespace cherrydyke
