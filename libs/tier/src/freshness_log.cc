#include "tier/freshness_log.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {

void FreshnessLog::Update(bool is_reading, absl::Time now) {
  // The role follows from the rest: these lines name the peer relied on before.
  UpdateReadsAlways(now);
  UpdatePeersProof(now);
  UpdateBehind(now);
  UpdateAge(now);
  UpdateRole(is_reading, now);
}

void FreshnessLog::UpdateReadsAlways(absl::Time now) {
  const bool reads_always = hosts_.ReadsAlways(now);
  if (reads_always == reads_always_) return;
  reads_always_ = reads_always;
  const FleetPlace place = hosts_.Place(now);
  LogInfo(reads_always ? "reads published items whatever peers do"
                       : "reads published items by its role",
          {{"hosts", place.hosts},
           {"failure_domains", place.failure_domains},
           {"domain_rank", place.domain_rank},
           {"readers", hosts_.reader_allowance().readers()}});
}

void FreshnessLog::UpdateRole(bool is_reading, absl::Time now) {
  const DisseminationRole role = hosts_.Role(is_reading, now);
  const auto source = is_reading ? std::nullopt : hosts_.FindUpdateSource(now);
  const HostId host = source ? source->host : "";
  if (role == role_ && host == source_) return;
  LogInfo(
      "source of published items changed",
      {{"role", ToString(role)},
       {"before", ToString(role_)},
       {"relies_on", host},
       {"its_role", source ? ToString(source->role) : ""},
       {"heard_ms", source ? absl::ToInt64Milliseconds(source->heard_ago) : -1},
       {"peers_age_ms",
        absl::ToInt64Milliseconds(now - freshness_.peers_current_until())}});
  role_ = role;
  source_ = host;
}

void FreshnessLog::UpdatePeersProof(absl::Time now) {
  const bool peers_prove_nothing = freshness_.PeersProveNothing(now);
  if (peers_prove_nothing == peers_prove_nothing_) return;
  peers_prove_nothing_ = peers_prove_nothing;
  const absl::Duration age = now - freshness_.peers_current_until();
  LogInfo(
      peers_prove_nothing
          ? "peers do not prove that published items are current"
          : "peers prove that published items are current",
      {{"peers_age_ms", absl::ToInt64Milliseconds(age)},
       {"max_ms", absl::ToInt64Milliseconds(freshness_.options().max_peer_age)},
       {"role", ToString(role_)},
       {"relies_on", source_}});
}

void FreshnessLog::UpdateBehind(absl::Time now) {
  const absl::Time since = gossip_.behind_since();
  const bool is_behind = now - since > times_.behind_log;
  if (is_behind == is_behind_) return;
  is_behind_ = is_behind;
  if (!is_behind) {
    LogInfo("no longer behind a peer", {});
    return;
  }
  LogWarning("behind a peer",
             {{"peer", gossip_.ahead_peer()},
              {"behind_ms", absl::ToInt64Milliseconds(now - since)},
              {"role", ToString(role_)},
              {"relies_on", source_}});
}

void FreshnessLog::UpdateAge(absl::Time now) {
  const absl::Time current_until = freshness_.current_until();
  const bool is_outdated = now - current_until > times_.outdated_log;
  if (is_outdated == is_outdated_) return;
  is_outdated_ = is_outdated;
  const auto age_ms = absl::ToInt64Milliseconds(now - current_until);
  if (!is_outdated) {
    LogInfo("published items are proven current again", {{"age_ms", age_ms}});
    return;
  }
  LogWarning("published items may be outdated",
             {{"age_ms", age_ms},
              {"peers_age_ms", absl::ToInt64Milliseconds(
                                   now - freshness_.peers_current_until())},
              {"role", ToString(role_)},
              {"relies_on", source_}});
}

}  // namespace cherrydyke
