#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "catalogue/types.h"

namespace cherrydyke {

/// A validated value of the configuration; the alternative depends on the
/// prefix of its key.
using CatalogueValue = std::variant<Entry, Service, FailureDomain>;

/// Validates one published value. The result depends on no other key, so that
/// every process accepts and refuses the same values, in whatever order they
/// arrive.
///
/// @param key `entries/NAME`, `services/NAME` or `failure_domains/NAME`.
/// @param json the value as published.
/// @return the value, or `kInvalidInput` with a message that names the key and
/// each invalid field.
Result<CatalogueValue> CheckValue(const std::string& key,
                                  const std::string& json);

/// Validates a catalogue file, `{"entries/NAME": {...}, ...}`, and the
/// references between its keys, before an operator publishes it.
///
/// @param file_name name of the file in the messages.
/// @param text contents of the file.
/// @return a message `file:line: key: what was expected` for each error; empty
/// if the file is valid.
std::vector<std::string> CheckCatalogueFile(const std::string& file_name,
                                            const std::string& text);

}  // namespace cherrydyke
