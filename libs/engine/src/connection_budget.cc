#include "engine/connection_budget.h"

#include <algorithm>

namespace cherrydyke::engine {
namespace {

using Stage = HeldConnection::Stage;

/// Part of a limit that is freed when it is exceeded, so that choosing costs
/// little for each connection.
constexpr size_t kFreedPart = 16;
/// A request or response that takes longer is slow.
constexpr absl::Duration kUsualTransferTime = absl::Seconds(1);

size_t Target(size_t limit) { return limit - limit / kFreedPart; }

/// @return bytes times seconds for which they are likely to be held.
double Cost(const HeldConnection& connection, absl::Time now) {
  const absl::Duration age = now - connection.since;
  return static_cast<double>(connection.bytes) *
         absl::ToDoubleSeconds(kUsualTransferTime + age);
}

/// Lower ranks are closed first.
int RankByAge(const HeldConnection& connection, absl::Time now) {
  if (connection.stage == Stage::kIdle) return 1;
  return now - connection.since > kUsualTransferTime ? 0 : 2;
}

std::vector<HeldConnection> NotRunning(
    const std::map<uint64_t, HeldConnection>& connections) {
  std::vector<HeldConnection> found;
  for (const auto& [id, connection] : connections) {
    if (connection.stage != Stage::kRunning) found.push_back(connection);
  }
  return found;
}

}  // namespace

void ConnectionBudget::Update(const HeldConnection& connection) {
  HeldConnection& known = connections_[connection.id];
  Forget(known);
  known = connection;
  bytes_ += known.bytes;
  if (MayEndForBytes(known)) ++endable_;
}

void ConnectionBudget::Remove(uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Forget(found->second);
  connections_.erase(found);
}

void ConnectionBudget::Forget(const HeldConnection& connection) {
  bytes_ -= connection.bytes;
  if (MayEndForBytes(connection)) --endable_;
}

bool ConnectionBudget::MayEndForBytes(const HeldConnection& connection) const {
  const bool holds_a_message = connection.stage == Stage::kReceiving ||
                               connection.stage == Stage::kSending;
  return holds_a_message && connection.bytes > limits_.BytesPerConnection();
}

std::vector<uint64_t> ConnectionBudget::ChooseByBytes(absl::Time now) const {
  if (endable_ == 0) return {};
  std::vector<HeldConnection> candidates;
  for (const auto& [id, connection] : connections_) {
    if (MayEndForBytes(connection)) candidates.push_back(connection);
  }
  std::sort(candidates.begin(), candidates.end(),
            [now](const HeldConnection& a, const HeldConnection& b) {
              return Cost(a, now) > Cost(b, now);
            });
  std::vector<uint64_t> chosen;
  size_t left = bytes_;
  for (const HeldConnection& connection : candidates) {
    if (left <= Target(limits_.max_bytes)) break;
    left -= connection.bytes;
    chosen.push_back(connection.id);
  }
  return chosen;
}

std::vector<uint64_t> ConnectionBudget::ChooseByAge(absl::Time now) const {
  std::vector<HeldConnection> candidates = NotRunning(connections_);
  std::sort(candidates.begin(), candidates.end(),
            [now](const HeldConnection& a, const HeldConnection& b) {
              const int rank_a = RankByAge(a, now);
              const int rank_b = RankByAge(b, now);
              return std::tie(rank_a, a.since) < std::tie(rank_b, b.since);
            });
  const size_t target = Target(limits_.max_connections);
  const size_t excess =
      connections_.size() > target ? connections_.size() - target : 0;
  candidates.resize(std::min(candidates.size(), excess));
  std::vector<uint64_t> chosen;
  for (const HeldConnection& connection : candidates) {
    chosen.push_back(connection.id);
  }
  return chosen;
}

}  // namespace cherrydyke::engine
