#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "catalogue/types.h"
#include "wire/messages.h"

namespace cherrydyke {

/// This daemon's part of each catalogue entry's fleet-wide limits.
///
/// The concurrency of an entry is divided into units. Every unit has a home
/// among the entry hosts that the host list names, and each unit carries its
/// part of the entry's rate. A daemon short of units borrows from a peer for a
/// bounded time. The invariant is: **units usable in the whole fleet <=
/// limit**. The lender counts a loan from when it grants it and adds a margin;
/// the borrower counts it from when it asked, and admits a request on a
/// borrowed unit only if the request's hard deadline ends before the loan does.
///
/// A change of members raises the shares of some and lowers those of others:
/// a fall takes effect at once, a rise only after `increase_delay`, when the
/// others have let go. Without a recent change of members a rise is immediate.
///
/// Pure: time is an argument.
class LimitShares {
 public:
  struct Options {
    absl::Duration lease = absl::Seconds(3);
    absl::Duration margin = absl::Milliseconds(500);
    absl::Duration increase_delay = absl::Seconds(4);
    /// Depth of a rate bucket, as time at the full rate.
    absl::Duration burst = absl::Milliseconds(250);
  };

  LimitShares(HostId self, Options options)
      : self_(std::move(self)), options_(options) {}

  /// Sets the hosts that share every limit.
  void SetMembers(std::vector<HostId> members, absl::Time now);

  /// Sets an entry's limits, new or changed.
  void Configure(const EntryName& entry, const EntryLimits& limits,
                 absl::Time now);

  /// Forgets entries that are not in `entries`, once nothing of them is in use,
  /// lent or borrowed.
  void Retain(const std::set<EntryName>& entries, absl::Time now);

  /// Which unit a request uses, for its release.
  struct Unit {
    /// 0 for an own unit, else the loan it belongs to.
    uint64_t loan = 0;
  };

  enum class Refusal { kConcurrency, kRate, kUnknownEntry };

  /// Takes a unit and a token of the rate.
  /// @param hard_deadline the longest time for which the unit is kept.
  std::variant<Unit, Refusal> TryAcquire(const EntryName& entry,
                                         absl::Duration hard_deadline,
                                         absl::Time now);
  void Release(const EntryName& entry, Unit unit);

  /// @return a request to send to a peer, if the daemon is short of units.
  std::optional<LendRequest> MakeLendRequest(const EntryName& entry,
                                             absl::Time now);

  /// @return the grant to send back, if units can be spared.
  std::optional<LendGrant> OnLendRequest(const LendRequest& request,
                                         absl::Time now);
  void OnLendGrant(const LendGrant& grant, absl::Time now);

  /// @return whether the shares of the present members are in force.
  bool InEffect(absl::Time now) const {
    return !members_.empty() &&
           now >= members_changed_at_ + options_.increase_delay;
  }

  /// @return units that this daemon may use now, in use or not.
  int UsableUnits(const EntryName& entry, absl::Time now);
  int InUse(const EntryName& entry) const;

 private:
  struct Loan {
    int units = 0;
    int in_use = 0;
    absl::Time ends;
  };

  struct Share {
    EntryLimits limits;
    int own_units = 0;
    int pending_units = 0;
    absl::Time pending_from = absl::InfiniteFuture();
    int own_in_use = 0;
    std::vector<Loan> lent;
    std::map<uint64_t, Loan> borrowed;
    std::map<uint64_t, absl::Time> requests_sent;
    double tokens = 0;
    absl::Time tokens_at;
  };

  void Divide(const EntryName& entry, Share& share, absl::Time now);
  void Refresh(Share& share, absl::Time now);
  int Lent(const Share& share) const;
  bool TakeToken(Share& share, absl::Time now);

  const HostId self_;
  const Options options_;
  uint64_t last_request_ = 0;
  std::vector<HostId> members_;
  absl::Time members_changed_at_;
  std::map<EntryName, Share> shares_;
};

}  // namespace cherrydyke
