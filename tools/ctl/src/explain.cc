#include "ctl/explain.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr double kMicrosPerMilli = 1000;

int64_t StartTimeUs(const json& span) {
  return span.value("start_unix_us", int64_t{0});
}

std::string Attributes(const json& span) {
  std::string text;
  const json attributes = span.value("attributes", json::object());
  for (const auto& [name, value] : attributes.items()) {
    absl::StrAppend(
        &text, "  ", name, "=",
        value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

/// Groups spans by their parent and formats the trees from their roots.
class SpanTreeFormatter {
 public:
  explicit SpanTreeFormatter(const json& spans) {
    std::set<std::string> span_ids;
    for (const json& span : spans) span_ids.insert(span.value("span_id", ""));
    for (const json& span : spans) {
      const std::string parent = span.value("parent_span_id", "");
      // A span whose parent is not among the spans (such as the caller's span)
      // is a root.
      children_[span_ids.count(parent) > 0 ? parent : ""].push_back(span);
    }
    for (auto& [parent, children] : children_) {
      std::sort(children.begin(), children.end(),
                [](const json& a, const json& b) {
                  return StartTimeUs(a) < StartTimeUs(b);
                });
    }
    if (!children_[""].empty()) origin_us_ = StartTimeUs(children_[""].front());
  }

  std::string Format() { return FormatChildren("", 0); }

 private:
  std::string FormatChildren(const std::string& parent, int depth) {
    std::string text;
    for (const json& span : children_[parent]) {
      const std::string indent(static_cast<size_t>(depth) * 2, ' ');
      absl::StrAppend(
          &text,
          absl::StrFormat(
              "%8.2f ms %8.2f ms  %s%s%s\n",
              static_cast<double>(StartTimeUs(span) - origin_us_) /
                  kMicrosPerMilli,
              static_cast<double>(span.value("duration_us", int64_t{0})) /
                  kMicrosPerMilli,
              indent, span.value("name", "?"), Attributes(span)));
      const std::string id = span.value("span_id", "");
      if (!id.empty()) absl::StrAppend(&text, FormatChildren(id, depth + 1));
    }
    return text;
  }

  std::map<std::string, std::vector<json>> children_;
  int64_t origin_us_ = 0;
};

}  // namespace

std::string SpanTree(const json& spans) {
  if (spans.empty()) return "no daemon holds spans of this request\n";
  return "   start       took     span\n" + SpanTreeFormatter(spans).Format();
}

}  // namespace cherrydyke
