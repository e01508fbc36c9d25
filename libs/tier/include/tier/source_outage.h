#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// Tells an outage of the configuration service, in which entries of live
/// targets may have expired, from failures of single hosts' calls: in an outage
/// nobody reads. An outage that is not one keeps targets that have left.
///
/// Pure: time is an argument.
class SourceOutage {
 public:
  /// Entries do not expire in an outage that is shorter.
  static constexpr absl::Duration kMinOutage = absl::Milliseconds(1500);
  /// Entries of live targets that expired in an outage are registered again
  /// within this time after its end.
  static constexpr absl::Duration kExpiredEntryGrace = absl::Milliseconds(2200);

  /// A call of this host failed.
  /// @param started_at when it began.
  void OnReadFailed(absl::Time started_at, absl::Time now);
  /// A call of this host succeeded.
  /// @param proven_until latest time at which, before this call, some host is
  /// known to have read the service.
  /// @return whether an outage has ended.
  bool OnRead(absl::Time proven_until, absl::Time now);
  /// Some host is known to have read the service at this time. Reads between
  /// two calls of this function need not be reported.
  /// @return whether an outage has ended: peers may read again before this
  /// host.
  bool OnProven(absl::Time proven_until);
  /// A peer reported that an outage ended at this time.
  /// @return whether it may have been one, as far as this host knows.
  bool OnPeerRecovered(absl::Time recovered_at);

  /// The service has come back from an older copy, which lacks the entries of
  /// targets that have registered since.
  void OnRestored(absl::Time now);

  /// @return the end of the last outage; the infinite past if there was none.
  absl::Time recovered_at() const { return recovered_at_; }
  /// @return until when entries that are no longer listed may be of targets
  /// that are alive.
  absl::Time grace_end() const { return recovered_at_ + kExpiredEntryGrace; }

 private:
  /// @param ended_at when some host read the service again.
  void EndOutage(absl::Time ended_at);

  /// When the first call failed since some host is known to have read.
  absl::Time failing_since_ = absl::InfiniteFuture();
  /// When the last call that failed began, and when it did.
  absl::Time last_failed_start_ = absl::InfinitePast();
  absl::Time last_failed_at_ = absl::InfinitePast();
  absl::Time proven_until_ = absl::InfinitePast();
  /// End of the last time in which nobody is known to have read for as long as
  /// an outage lasts.
  absl::Time silence_end_ = absl::InfinitePast();
  absl::Time recovered_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
