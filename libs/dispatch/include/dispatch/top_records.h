#pragma once

#include <string>
#include <vector>

namespace cherrydyke {

/// Size of one record of a partial result, in bytes.
constexpr size_t kRecordBytes = 16;

/// Merges partial results. Bytes after the last whole record of a part are
/// ignored; duplicate records are kept.
/// @param parts response bodies, each a sequence of records in any order.
/// @return the `top_k` greatest records in descending order, compared as
/// unsigned bytes.
std::string MergeTopRecords(const std::vector<std::string>& parts,
                            size_t top_k);

}  // namespace cherrydyke
