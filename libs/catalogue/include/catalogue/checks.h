#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "catalogue/types.h"

namespace cherrydyke {

/// A checked value of the configuration, by the kind of its key.
using CatalogueValue = std::variant<Entry, Service, FailureDomain>;

/// Checks one published value. Pure and independent of every other key, so
/// that each daemon accepts and refuses the same values in any order.
///
/// @param key `entries/NAME`, `services/NAME` or `failure_domains/NAME`.
/// @param json the value as published.
/// @return the value, or `kInvalidInput` naming the key and the field.
Result<CatalogueValue> CheckValue(const std::string& key,
                                  const std::string& json);

/// Checks a whole catalogue file, `{"entries/NAME": {...}, ...}`, as an
/// operator would publish it, with references between keys.
///
/// @param file_name used in messages.
/// @param text the file's contents.
/// @return one message a fault, each `file:line: key: what was expected`;
/// empty if there is none.
std::vector<std::string> CheckCatalogueFile(const std::string& file_name,
                                            const std::string& text);

}  // namespace cherrydyke
