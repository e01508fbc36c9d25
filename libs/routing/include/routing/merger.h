#pragma once

#include <vector>

#include "wire/messages.h"

namespace cherrydyke {

/// Sorts the hits of all shards into the order of the answer.
class Merger {
 public:
  virtual ~Merger() = default;
  virtual void Merge(std::vector<SearchHit>& hits) const = 0;
};

/// Adds the built-in mergers to the registry: `concat` (key order) and
/// `top_score` (highest score first).
void RegisterMergers();

}  // namespace cherrydyke
