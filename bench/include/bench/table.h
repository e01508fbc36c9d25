#pragma once

#include <string>
#include <vector>

namespace cherrydyke {

/// A measured table: named columns, one row a size or variant.
class Table {
 public:
  Table(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}

  /// @param values as many as there are columns after the first.
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
