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

/// Decides which requests an entry takes in: the shares of each catalogue
/// entry's limits, the division between owners, and the quarantine.
/// Thread-safe.
class AdmissionController {
 public:
  struct Options {
    HostId self;
    int max_concurrent = 128;
    double owner_reserve = 0.5;
  };

  AdmissionController(Options options, const Clock& clock);

  // Control thread.
  void OnCatalogue(const Catalogue& catalogue);
  void OnMembers(std::vector<HostId> members);
  std::optional<LendGrant> OnLendRequest(const LendRequest& request);
  void OnLendGrant(const LendGrant& grant);
  /// @return whether a notice was new.
  bool OnQuarantineNotices(const std::vector<QuarantineNotice>& notices);
  std::vector<QuarantineNotice> QuarantineNotices(size_t limit);
  /// @return requests for units that peers should get, one for each entry that
  /// is short of units.
  std::vector<LendRequest> TakeLendRequests();

  /// What an admitted request holds until it ends.
  class Admitted {
   public:
    Admitted(AdmissionController& desk, const Entry& entry,
             LimitShares::Unit unit)
        : desk_(&desk), entry_(entry.name), owner_(entry.owner), unit_(unit) {}
    ~Admitted();
    Admitted(Admitted&& other) noexcept;
    Admitted& operator=(Admitted&&) = delete;

   private:
    AdmissionController* desk_;
    EntryName entry_;
    OwnerName owner_;
    LimitShares::Unit unit_;
  };

  struct Denied {
    int status = 429;
    std::string reason;
    std::string message;
    absl::Duration retry_after;
  };

  /// @param hard_deadline the longest time that the request will run.
  std::variant<Admitted, Denied> Admit(const Entry& entry,
                                       absl::Duration hard_deadline);

  /// @return the time left in quarantine, or zero.
  absl::Duration QuarantineRemaining(uint64_t fingerprint);
  /// @return whether the fingerprint is new here.
  bool AddQuarantine(uint64_t fingerprint);

  /// @return whether this daemon's shares of the limits have been in force
  /// since it became one of the members, so that it can admit requests.
  bool ready();
  int in_flight() const;
  /// @return usable and used units of every entry.
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
  std::vector<EntryName> short_of_units_ ABSL_GUARDED_BY(mutex_);
  bool ready_ ABSL_GUARDED_BY(mutex_) = false;
  std::set<EntryName> entries_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
