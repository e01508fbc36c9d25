#include "fakes/documents.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace cherrydyke {
namespace {

constexpr int kKeySpaceSize = 65'536;

}  // namespace

std::vector<Document> FindDocuments(const DocumentQuery& query,
                                    const KeyRange& range,
                                    IndexVersion version) {
  std::vector<Document> found;
  for (int i = 0; i < query.documents; ++i) {
    const int64_t position = int64_t{i} * kKeySpaceSize / query.documents;
    std::string key = absl::StrFormat("%04x", position);
    if (!range.Contains(key)) continue;
    const uint64_t hash = StableHash(absl::StrCat(key, "|", query.term));
    if (hash % static_cast<uint64_t>(query.every) != 0) continue;
    const double score = static_cast<double>(hash % 1000) / 1000;
    found.push_back({std::move(key), score, version});
  }
  return found;
}

}  // namespace cherrydyke
