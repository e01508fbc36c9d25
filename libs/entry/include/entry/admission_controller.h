#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "admission/owner_limiter.h"
#include "admission/quarantine.h"
#include "base/clock.h"
#include "catalogue/config_store.h"
#include "entry/refusal.h"
#include "shares/limit_shares.h"

namespace cherrydyke {

/// Decides which requests an entry host admits. Enforces this host's share of
/// the limits of each catalogue entry, the concurrency limit of this host with
/// its reserve for each owner, and the quarantine. Thread-safe.
class AdmissionController {
 public:
  struct Options {
    HostId self;
    /// Requests that this host runs concurrently.
    int max_concurrent = 128;
    /// Fraction of `max_concurrent` that is reserved for the owners.
    double owner_reserve = 0.5;
  };

  AdmissionController(Options options, const Clock& clock);

  // For the control thread.
  void OnCatalogue(const Catalogue& catalogue);
  /// @param members entry hosts among which the limits are divided.
  void OnMembers(std::vector<HostId> members);
  std::optional<BorrowGrant> OnBorrowRequest(const BorrowRequest& request);
  void OnBorrowGrant(const BorrowGrant& grant);
  /// @return whether a fingerprint was not quarantined before.
  bool OnQuarantineNotices(const std::vector<QuarantineNotice>& notices);
  /// @return at most `limit` notices to send to peers.
  std::vector<QuarantineNotice> QuarantineNotices(size_t limit);
  /// @return requests to send to peers, one for each catalogue entry that has
  /// become short of units since the last call.
  std::vector<BorrowRequest> TakeBorrowRequests();

  /// The owner's slot and the unit of an admitted request. The destructor
  /// releases both.
  class Permit {
   public:
    Permit(AdmissionController& admission, const Entry& entry,
           LimitShares::Unit unit)
        : admission_(&admission),
          entry_(entry.name),
          owner_(entry.owner),
          unit_(unit) {}
    ~Permit();
    Permit(Permit&& other) noexcept;
    Permit& operator=(Permit&&) = delete;

   private:
    AdmissionController* admission_;
    EntryName entry_;
    OwnerName owner_;
    LimitShares::Unit unit_;
  };

  /// Reason for which a request was not admitted, as HTTP status, reason code
  /// and text for the caller.
  struct Denied {
    int status = 429;
    std::string reason;
    std::string message;
    absl::Duration retry_after;
  };

  /// @param hard_deadline longest time that the request will run.
  std::variant<Permit, Denied> Admit(const Entry& entry,
                                     absl::Duration hard_deadline);

  /// @return the remaining time in quarantine, or zero.
  absl::Duration QuarantineRemaining(uint64_t fingerprint);
  /// @return whether the fingerprint was not quarantined before.
  bool AddQuarantine(uint64_t fingerprint);

  /// @return whether this host's limit shares have taken effect since it became
  /// a member. Later changes of other members do not reset this.
  bool ready();
  int in_flight() const;
  /// @return usable units and units in use of every catalogue entry.
  std::map<EntryName, std::pair<int, int>> Units();

 private:
  void Release(const EntryName& entry, const OwnerName& owner,
               LimitShares::Unit unit);

  const Clock& clock_;
  const HostId self_;
  mutable absl::Mutex mutex_;
  LimitShares shares_ ABSL_GUARDED_BY(mutex_);
  OwnerLimiter owners_ ABSL_GUARDED_BY(mutex_);
  Quarantine quarantine_ ABSL_GUARDED_BY(mutex_);
  std::map<EntryName, absl::Time> borrow_requested_at_ ABSL_GUARDED_BY(mutex_);
  std::vector<EntryName> entries_short_of_units_ ABSL_GUARDED_BY(mutex_);
  bool ready_ ABSL_GUARDED_BY(mutex_) = false;
  std::set<EntryName> entries_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
