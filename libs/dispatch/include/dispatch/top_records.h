#pragma once

#include <string>
#include <vector>

namespace cherrydyke {

/// Bytes of one record of a partial result.
constexpr size_t kRecordBytes = 16;

/// Merges partial results. A remainder shorter than a record is dropped; equal
/// records all count.
/// @param parts bodies of records in any order.
/// @return the greatest `top_k` records, compared byte by byte, greatest first.
std::string MergeTopRecords(const std::vector<std::string>& parts,
                            size_t top_k);

}  // namespace cherrydyke
