#include "engine/server_group.h"

#include <utility>

namespace cherrydyke::engine {

std::string CallerLimitName(CallerLimit limit) {
  switch (limit) {
    case CallerLimit::kMemory:
      return "memory";
    case CallerLimit::kConnections:
      return "connections";
    case CallerLimit::kFraming:
      return "framing";
    case CallerLimit::kUnreadResponse:
      return "unread_response";
  }
  return "unknown";
}

uint64_t ServerGroup::Add(Member& member) {
  members_[++last_id_] = &member;
  return last_id_;
}

void ServerGroup::Update(const HeldConnection& connection) {
  if (members_.count(connection.id) == 0) return;
  budget_.Update(connection);
  Enforce();
}

void ServerGroup::Remove(uint64_t id) {
  members_.erase(id);
  budget_.Remove(id);
}

void ServerGroup::Enforce() {
  if (is_enforcing_) return;
  is_enforcing_ = true;
  const auto end = [this](const std::vector<uint64_t>& ids, CallerLimit limit) {
    for (const uint64_t id : ids) {
      const auto member = members_.find(id);
      if (member != members_.end()) member->second->EndForLimit(limit);
    }
  };
  if (budget_.HasTooManyConnections()) {
    end(budget_.ChooseByAge(loop_.Now()), CallerLimit::kConnections);
  }
  if (budget_.HasTooManyBytes()) {
    end(budget_.ChooseByBytes(loop_.Now()), CallerLimit::kMemory);
  }
  is_enforcing_ = false;
}

}  // namespace cherrydyke::engine
