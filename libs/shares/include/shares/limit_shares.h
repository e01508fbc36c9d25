#pragma once

#include <limits>
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

/// This process's share of the fleet-wide quota of each catalogue entry.
///
/// The concurrency limit of an entry is divided into units. Each unit is
/// assigned to one of the entry hosts in the host list and carries its part of
/// the entry's rate limit. A process that is short of units borrows some from a
/// peer for a limited time. The invariant is: **units usable in the whole fleet
/// <= limit**. The lender counts a loan from the time of its grant and adds a
/// margin; the borrower counts it from the time of its request, and admits a
/// request on a borrowed unit only if the request's hard deadline is not after
/// the end of the loan.
///
/// A host lends its last unit if it does not use the entry, or to a host to
/// which none is assigned; else it keeps one, so that it is not without a unit
/// for the time of a loan because others ask early.
///
/// A change of members increases the shares of some hosts and decreases those
/// of others. A decrease takes effect at once, an increase only after
/// `increase_delay`, when the other hosts have applied their decreases. Without
/// a recent change of members an increase takes effect at once.
///
/// Has no clock: the current time is a parameter.
class LimitShares {
 public:
  struct Options {
    /// Duration of a loan.
    absl::Duration lease = absl::Seconds(3);
    /// Time for which the lender keeps lent units back beyond the lease.
    absl::Duration margin = absl::Milliseconds(500);
    /// Time from a change of members until increased shares take effect.
    absl::Duration increase_delay = absl::Seconds(4);
    /// Capacity of the token bucket of the rate limit, as time at the full
    /// rate.
    absl::Duration burst = absl::Milliseconds(250);
    /// Time after its last request for which a host counts as using an entry.
    absl::Duration use_time = absl::Seconds(10);
  };

  LimitShares(HostId self, Options options)
      : self_(std::move(self)), options_(options) {}

  /// Sets the hosts among which every limit is divided.
  void SetMembers(std::vector<HostId> members, absl::Time now);

  /// Sets the limits of a new or known entry.
  void Configure(const EntryName& entry, const EntryLimits& limits,
                 absl::Time now);

  /// Removes the entries that are not in `entries` and have no unit in use,
  /// lent or borrowed.
  void Retain(const std::set<EntryName>& entries, absl::Time now);

  /// The unit that a request uses, to be passed to `Release`.
  struct Unit {
    /// Loan that the unit belongs to; 0 for a unit of this host.
    uint64_t loan_id = 0;
  };

  enum class Refusal { kConcurrency, kRate, kUnknownEntry };

  /// Takes a unit and a token of the rate limit.
  /// @param hard_deadline longest time for which the request keeps the unit.
  /// @return the unit, or why the request is not admitted.
  std::variant<Unit, Refusal> TryAcquire(const EntryName& entry,
                                         absl::Duration hard_deadline,
                                         absl::Time now);
  void Release(const EntryName& entry, Unit unit);

  /// @return a request for units to send to a peer, or nullopt if the entry is
  /// not known. Call it when the process is short of units.
  std::optional<BorrowRequest> MakeBorrowRequest(const EntryName& entry,
                                                 absl::Time now);

  /// @return the grant to send back, or nullopt if there are no spare units.
  std::optional<BorrowGrant> OnBorrowRequest(const BorrowRequest& request,
                                             absl::Time now);
  void OnBorrowGrant(const BorrowGrant& grant, absl::Time now);

  /// @return whether the shares of the current members have taken effect.
  bool InEffect(absl::Time now) const {
    return !members_.empty() &&
           now >= members_changed_at_ + options_.increase_delay;
  }

  /// @return the units that this process may use now, whether in use or not.
  int UsableUnits(const EntryName& entry, absl::Time now);
  int InUse(const EntryName& entry) const;

 private:
  struct Loan {
    int units = 0;
    int in_use = 0;
    absl::Time expires_at;
  };

  /// Share of one entry.
  struct Share {
    EntryLimits limits;
    int own_units = 0;
    /// Replaces `own_units` at `pending_from`.
    int pending_units = 0;
    absl::Time pending_from = absl::InfiniteFuture();
    int own_in_use = 0;
    std::vector<Loan> lent;
    /// Loans to this process, by the id of its request.
    std::map<uint64_t, Loan> borrowed;
    std::map<uint64_t, absl::Time> requests_sent;
    /// Tokens of the rate limit; a new entry starts with a full bucket, whose
    /// capacity `TakeToken` applies.
    double tokens = std::numeric_limits<double>::infinity();
    absl::Time tokens_updated_at;
    /// Last request on this host, admitted or not.
    absl::Time last_used_at = absl::InfinitePast();
  };

  void ReassignUnits(const EntryName& entry, Share& share, absl::Time now);
  void Refresh(Share& share, absl::Time now);
  int LentUnits(const Share& share) const;
  /// @return whether this host lends its last usable unit.
  bool LendsLastUnit(const Share& share, const BorrowRequest& request,
                     absl::Time now) const;
  bool TakeToken(Share& share, absl::Time now);

  const HostId self_;
  const Options options_;
  uint64_t last_request_id_ = 0;
  std::vector<HostId> members_;
  absl::Time members_changed_at_;
  std::map<EntryName, Share> shares_;
};

}  // namespace cherrydyke
