#pragma once

#include <string>
#include <vector>

namespace cherrydyke {

/// A table of measurements with one row per problem size or variant.
class Table {
 public:
  Table(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}

  /// @param name value of the first column.
  /// @param values values of all other columns, in their order.
  void AddRow(const std::string& name, const std::vector<double>& values);

  std::string Text() const;
  std::string Json() const;

 private:
  struct Row {
    std::string name;
    std::vector<double> values;
  };

  const std::string title_;
  const std::vector<std::string> columns_;
  std::vector<Row> rows_;
};

}  // namespace cherrydyke
