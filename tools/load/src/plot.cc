#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "load/report.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr double kPanelWidthPx = 760;
constexpr double kPanelHeightPx = 180;
constexpr double kMarginPx = 60;

/// One line of a chart.
struct Series {
  std::string name;
  std::string field;
  std::string colour;
};

std::string FormatPanel(const json& timeline, const std::string& title,
                        const std::vector<Series>& all, double top) {
  double max_value = 1;
  for (const Series& series : all) {
    for (const json& second : timeline) {
      max_value = std::max(max_value, second.value(series.field, 0.0));
    }
  }
  std::string svg = absl::StrFormat(
      R"(<text x="%.0f" y="%.0f" font-size="13">%s (0 to %.1f)</text>)",
      kMarginPx, top - 6, title, max_value);
  absl::StrAppend(
      &svg,
      absl::StrFormat(R"(<rect x="%.0f" y="%.0f" width="%.0f" height="%.0f" )"
                      R"(fill="none" stroke="#999"/>)",
                      kMarginPx, top, kPanelWidthPx, kPanelHeightPx));
  const double step =
      kPanelWidthPx /
      std::max<double>(1, static_cast<double>(timeline.size()) - 1);
  double label_x = kMarginPx + kPanelWidthPx - 240;
  for (const Series& series : all) {
    std::string points;
    double x = kMarginPx;
    for (const json& second : timeline) {
      const double fraction = second.value(series.field, 0.0) / max_value;
      absl::StrAppend(&points,
                      absl::StrFormat("%.1f,%.1f ", x,
                                      top + kPanelHeightPx * (1 - fraction)));
      x += step;
    }
    absl::StrAppend(
        &svg, R"(<polyline fill="none" stroke-width="1.5" stroke=")",
        series.colour, R"(" points=")", points, R"("/>)",
        absl::StrFormat(
            R"(<text x="%.0f" y="%.0f" font-size="12" fill="%s">%s</text>)",
            label_x, top - 6, series.colour, series.name));
    label_x += 80;
  }
  return svg;
}

}  // namespace

std::string PlotReport(const std::string& report_json) {
  const json report = json::parse(report_json, nullptr, false);
  const json timeline = report.is_object()
                            ? report.value("timeline", json::array())
                            : json::array();
  return absl::StrCat(
      absl::StrFormat(R"(<svg xmlns="http://www.w3.org/2000/svg" )"
                      R"(width="%.0f" height="%.0f" font-family="sans-serif">)",
                      kPanelWidthPx + 2 * kMarginPx,
                      2 * kPanelHeightPx + 3 * kMarginPx),
      FormatPanel(timeline, "latency (ms)",
                  {{"p50", "p50_ms", "#1f77b4"}, {"p99", "p99_ms", "#d62728"}},
                  kMarginPx),
      FormatPanel(timeline, "responses per second",
                  {{"answered", "answered", "#1f77b4"},
                   {"complete", "complete", "#2ca02c"},
                   {"refused", "refused", "#d62728"}},
                  2 * kMarginPx + kPanelHeightPx),
      "</svg>\n");
}

}  // namespace cherrydyke
