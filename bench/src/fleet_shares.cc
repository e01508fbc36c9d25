#include "membership/fleet_shares.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/invariant.h"
#include "bench/experiments.h"
#include "membership/host_table.h"

namespace cherrydyke {
namespace {

constexpr int kDomains = 16;
constexpr int kRegions = 4;
/// Hosts added one by one after the initial fleet.
constexpr int kAddedHosts = 5;
/// Services that share the targets, and connection limit of each service.
constexpr int kServices = 140;
constexpr double kMaxConnections = 175;

FailureDomainName DomainOf(int number) {
  return absl::StrCat("domain-", number % kDomains);
}

HostId HostOf(int number) {
  return absl::StrCat("10.", number % kDomains, ".", number / 250, ".",
                      number % 250);
}

// One host's table of the fleet, and its rank at each target.
class FleetView {
 public:
  explicit FleetView(int targets) {
    for (int target = 0; target < targets; ++target) {
      targets_.push_back({absl::StrCat("i-", target), DomainOf(target)});
    }
    ranks_.resize(targets_.size());
  }

  void AddHost(int host) {
    hosts_.OnMembershipUpdate(
        {{HostOf(host), DomainOf(host)}, 1, DisseminationRole::kFollower, {}},
        now_);
  }

  // @return time in milliseconds to recompute the ranks at all targets.
  double MeasureRankUpdate() {
    const absl::Time start = absl::Now();
    shares_.Refresh(now_);
    size_t sum = 0;
    for (size_t target = 0; target < targets_.size(); ++target) {
      shares_.Update(ranks_[target], targets_[target].id,
                     targets_[target].domain);
      sum += ranks_[target].preceding_hosts;
    }
    CHERRYDYKE_INVARIANT(sum < targets_.size() * (kAddedHosts + 100'000),
                         "the mean rank is below the bound on hosts");
    return absl::ToDoubleMilliseconds(absl::Now() - start);
  }

  // @return mean time in milliseconds to choose where to borrow a connection
  // among the targets of one service.
  double MeasureBorrowChoice() {
    std::vector<BorrowCandidate> candidates;
    for (const Target& target : targets_) {
      if (candidates.size() * kServices >= targets_.size()) break;
      candidates.push_back({target.id, target.domain, true});
    }
    const absl::Time start = absl::Now();
    size_t chosen_count = 0;
    for (int service = 0; service < kServices; ++service) {
      if (shares_.ChooseBorrowTarget(candidates, kMaxConnections))
        ++chosen_count;
    }
    CHERRYDYKE_INVARIANT(
        chosen_count <= kServices,
        "at most one borrow candidate is chosen for each service");
    return absl::ToDoubleMilliseconds(absl::Now() - start) / kServices;
  }

 private:
  struct Target {
    TargetId id;
    FailureDomainName domain;
  };

  static Locality OwnLocality() {
    Locality locality{HostOf(0), DomainOf(0), {}};
    for (int domain = 0; domain < kDomains; ++domain) {
      locality.regions[DomainOf(domain)] =
          absl::StrCat("region-", domain % kRegions);
    }
    return locality;
  }

  const absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  HostTable hosts_{{HostOf(0), DomainOf(0)}, {}, HostTable::Options(), now_};
  FleetShares shares_{OwnLocality(), hosts_};
  std::vector<Target> targets_;
  std::vector<FleetRank> ranks_;
};

}  // namespace

Table MeasureFleetShares() {
  Table table(
      "Recomputing one host's shares of fleet-wide limits: for the whole "
      "fleet, and after one more host is added; choosing where to borrow a "
      "connection",
      {"hosts, targets", "all ms", "one more ms", "one lender ms"});
  for (const auto& [hosts, targets] :
       {std::pair{88, 288}, {301, 563}, {1450, 8000}, {2900, 16000}}) {
    FleetView fleet(targets);
    for (int host = 1; host < hosts; ++host) fleet.AddHost(host);
    const double all_ms = fleet.MeasureRankUpdate();
    double one_more_ms = 0;
    for (int host = hosts; host < hosts + kAddedHosts; ++host) {
      fleet.AddHost(host);
      one_more_ms += fleet.MeasureRankUpdate() / kAddedHosts;
    }
    table.AddRow(absl::StrCat(hosts, ", ", targets),
                 {all_ms, one_more_ms, fleet.MeasureBorrowChoice()});
  }
  return table;
}

}  // namespace cherrydyke
