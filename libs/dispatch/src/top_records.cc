#include "dispatch/top_records.h"

#include <algorithm>

#include "absl/strings/string_view.h"

namespace cherrydyke {

std::string MergeTopRecords(const std::vector<std::string>& parts,
                            size_t top_k) {
  std::vector<absl::string_view> records;
  for (const std::string& part : parts) {
    const absl::string_view bytes = part;
    for (size_t offset = 0; offset + kRecordBytes <= bytes.size();
         offset += kRecordBytes) {
      records.push_back(bytes.substr(offset, kRecordBytes));
    }
  }
  const size_t kept = std::min(top_k, records.size());
  // `string_view` compares as unsigned bytes.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (size_t index = 0; index < kept; ++index)
    merged.append(records[index].data(), records[index].size());
  return merged;
}

}  // namespace cherrydyke
