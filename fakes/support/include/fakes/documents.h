#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/key_range.h"

namespace cherrydyke {

/// The made-up documents that fake targets hold. Every process computes the
/// same ones, so that a tool can check each answer against the truth.
struct Document {
  std::string key;
  double score = 0;
  IndexVersion version = 0;
};

/// What a query to fake targets asks for.
struct DocumentQuery {
  /// Part of the document's identity test, as a search term would be.
  std::string term;
  /// One document in so many matches; 1 matches all.
  int every = 1;
  /// Documents in the whole key space, evenly spread.
  int documents = 256;
};

/// @return the matching documents of the range, in key order.
std::vector<Document> FindDocuments(const DocumentQuery& query,
                                    const KeyRange& range,
                                    IndexVersion version);

}  // namespace cherrydyke
