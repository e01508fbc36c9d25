#include "bench/table.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

void Table::AddRow(const std::string& name, const std::vector<double>& values) {
  rows_.push_back({name, values});
}

std::string Table::Text() const {
  std::string text = title_ + "\n";
  absl::StrAppend(&text, absl::StrFormat("  %-28s", columns_.front()));
  for (size_t i = 1; i < columns_.size(); ++i) {
    absl::StrAppend(&text, absl::StrFormat(" %14s", columns_[i]));
  }
  absl::StrAppend(&text, "\n");
  for (const Row& row : rows_) {
    absl::StrAppend(&text, absl::StrFormat("  %-28s", row.name));
    for (const double value : row.values) {
      absl::StrAppend(&text, absl::StrFormat(" %14.3f", value));
    }
    absl::StrAppend(&text, "\n");
  }
  return text;
}

std::string Table::Json() const {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const Row& row : rows_) {
    nlohmann::ordered_json object = {{columns_.front(), row.name}};
    for (size_t i = 0; i < row.values.size(); ++i) {
      object[columns_[i + 1]] = row.values[i];
    }
    rows.push_back(std::move(object));
  }
  return nlohmann::ordered_json{{"title", title_}, {"rows", rows}}.dump(2);
}

}  // namespace cherrydyke
