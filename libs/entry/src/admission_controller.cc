#include "entry/admission_controller.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

constexpr absl::Duration kQuarantineDuration = absl::Seconds(60);
constexpr size_t kQuarantineCapacity = 10'000;
constexpr absl::Duration kMinBorrowInterval = absl::Milliseconds(50);
/// A host requests units from peers if fewer than 1 / kLowUnitsDivisor of its
/// usable units are free.
constexpr int kLowUnitsDivisor = 4;
constexpr absl::Duration kLimitRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kOverloadRetryAfter = absl::Milliseconds(250);

}  // namespace

AdmissionController::AdmissionController(Options options, const Clock& clock)
    : clock_(clock),
      self_(options.self),
      shares_(std::move(options.self), {}),
      owners_(options.max_concurrent, options.owner_reserve),
      quarantine_(kQuarantineDuration, kQuarantineCapacity) {}

void AdmissionController::OnCatalogue(const Catalogue& catalogue) {
  const absl::MutexLock lock(&mutex_);
  entries_.clear();
  for (const auto& [name, entry] : catalogue.entries) {
    shares_.Configure(name, entry.limits, clock_.Now());
    owners_.AddOwner(entry.owner);
    entries_.insert(name);
  }
  shares_.Retain(entries_, clock_.Now());
}

void AdmissionController::OnMembers(std::vector<HostId> members) {
  const absl::MutexLock lock(&mutex_);
  const bool member =
      std::find(members.begin(), members.end(), self_) != members.end();
  if (!member) ready_ = false;
  shares_.SetMembers(std::move(members), clock_.Now());
}

std::optional<BorrowGrant> AdmissionController::OnBorrowRequest(
    const BorrowRequest& request) {
  const absl::MutexLock lock(&mutex_);
  return shares_.OnBorrowRequest(request, clock_.Now());
}

void AdmissionController::OnBorrowGrant(const BorrowGrant& grant) {
  const absl::MutexLock lock(&mutex_);
  shares_.OnBorrowGrant(grant, clock_.Now());
}

bool AdmissionController::OnQuarantineNotices(
    const std::vector<QuarantineNotice>& notices) {
  const absl::MutexLock lock(&mutex_);
  bool is_new = false;
  for (const QuarantineNotice& notice : notices) {
    is_new = quarantine_.OnNotice(notice, clock_.Now()) || is_new;
  }
  return is_new;
}

std::vector<QuarantineNotice> AdmissionController::QuarantineNotices(
    size_t limit) {
  const absl::MutexLock lock(&mutex_);
  return quarantine_.Notices(limit, clock_.Now());
}

std::vector<BorrowRequest> AdmissionController::TakeBorrowRequests() {
  const absl::MutexLock lock(&mutex_);
  std::vector<BorrowRequest> requests;
  for (const EntryName& entry : std::exchange(entries_short_of_units_, {})) {
    if (auto request = shares_.MakeBorrowRequest(entry, clock_.Now())) {
      requests.push_back(std::move(*request));
    }
  }
  return requests;
}

std::variant<AdmissionController::Permit, AdmissionController::Denied>
AdmissionController::Admit(const Entry& entry, absl::Duration hard_deadline) {
  const absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_.Now();
  if (!owners_.TryAcquire(entry.owner)) {
    return Denied{503, "overloaded",
                  "this host runs as many requests as it can for the owner",
                  kOverloadRetryAfter};
  }
  const auto acquired = shares_.TryAcquire(entry.name, hard_deadline, now);
  const int usable = shares_.UsableUnits(entry.name, now);
  const int free = usable - shares_.InUse(entry.name);
  const auto* refusal = std::get_if<LimitShares::Refusal>(&acquired);
  const bool needs_units =
      refusal != nullptr || free * kLowUnitsDivisor < usable;
  absl::Time& requested_at = borrow_requested_at_[entry.name];
  if (needs_units && now - requested_at >= kMinBorrowInterval) {
    requested_at = now;
    entries_short_of_units_.push_back(entry.name);
  }
  if (refusal == nullptr) {
    return Permit(*this, entry, std::get<LimitShares::Unit>(acquired));
  }
  owners_.Release(entry.owner);
  const bool is_rate_limit = *refusal == LimitShares::Refusal::kRate;
  return Denied{429, is_rate_limit ? "rate_limit" : "concurrency_limit",
                is_rate_limit ? "the entry's rate limit is reached"
                              : "the entry's concurrency limit is reached",
                kLimitRetryAfter};
}

void AdmissionController::Release(const EntryName& entry,
                                  const OwnerName& owner,
                                  LimitShares::Unit unit) {
  const absl::MutexLock lock(&mutex_);
  owners_.Release(owner);
  shares_.Release(entry, unit);
}

AdmissionController::Permit::Permit(Permit&& other) noexcept
    : admission_(std::exchange(other.admission_, nullptr)),
      entry_(std::move(other.entry_)),
      owner_(std::move(other.owner_)),
      unit_(other.unit_) {}

AdmissionController::Permit::~Permit() {
  if (admission_ != nullptr) admission_->Release(entry_, owner_, unit_);
}

absl::Duration AdmissionController::QuarantineRemaining(uint64_t fingerprint) {
  const absl::MutexLock lock(&mutex_);
  return quarantine_.Remaining(fingerprint, clock_.Now());
}

bool AdmissionController::AddQuarantine(uint64_t fingerprint) {
  const absl::MutexLock lock(&mutex_);
  return quarantine_.Add(fingerprint, clock_.Now());
}

bool AdmissionController::ready() {
  const absl::MutexLock lock(&mutex_);
  ready_ = ready_ || shares_.InEffect(clock_.Now());
  return ready_;
}

int AdmissionController::in_flight() const {
  const absl::MutexLock lock(&mutex_);
  return owners_.in_use();
}

std::map<EntryName, std::pair<int, int>> AdmissionController::Units() {
  const absl::MutexLock lock(&mutex_);
  std::map<EntryName, std::pair<int, int>> units;
  for (const EntryName& entry : entries_) {
    units[entry] = {shares_.UsableUnits(entry, clock_.Now()),
                    shares_.InUse(entry)};
  }
  return units;
}

}  // namespace cherrydyke
