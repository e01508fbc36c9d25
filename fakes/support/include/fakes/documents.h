#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/key_range.h"

namespace cherrydyke {

/// A generated document of a fake target. Every process generates the same
/// documents, so that a tool can compute the expected results of a query.
struct Document {
  std::string key;
  double score = 0;
  IndexVersion version = 0;
};

/// A query to fake targets.
struct DocumentQuery {
  /// Search term; it is hashed with the key to decide whether a document
  /// matches.
  std::string term;
  /// About one document in `every` matches; 1 matches all.
  int every = 1;
  /// Number of documents, spaced evenly over the whole key space.
  int documents = 256;
};

/// @return the matching documents of the range, in key order.
std::vector<Document> FindDocuments(const DocumentQuery& query,
                                    const KeyRange& range,
                                    IndexVersion version);

}  // namespace cherrydyke
