#include "tools/ctl_output.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace cactusward::ctl {
namespace {

using nlohmann::json;

std::string FormatFixed(double value, int digits) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string WindowName(std::size_t window) {
  const auto minutes = kBurnWindows[window].count();
  return minutes < 60 ? std::to_string(minutes) + "m"
                      : std::to_string(minutes / 60) + "h";
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    if (c == '<')
      escaped += "&lt;";
    else if (c == '&')
      escaped += "&amp;";
    else
      escaped.push_back(c);
  }
  return escaped;
}

// Returns an SVG bar; a burn rate of 2 or more fills it.
std::string Bar(double rate) {
  constexpr double kFullRate = 2;
  constexpr double kWidth = 160;
  const double width = std::min(rate / kFullRate, 1.0) * kWidth;
  const char* colour = rate > 1 ? "#c0392b" : "#27ae60";
  return "<svg width=\"160\" height=\"12\"><rect width=\"160\" height=\"12\" "
         "fill=\"#eee\"/><rect width=\"" +
         FormatFixed(width, 1) + "\" height=\"12\" fill=\"" + colour +
         "\"/><line x1=\"80\" x2=\"80\" y1=\"0\" y2=\"12\" "
         "stroke=\"#333\"/></svg> " +
         FormatFixed(rate, 2);
}

}  // namespace

text_table::text_table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void text_table::Add(std::vector<std::string> row) {
  rows_.push_back(std::move(row));
}

std::string text_table::ToString() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size())
        line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + "\n";
  }
  return text;
}

std::string Difference(const json& before, const json& after) {
  std::string text;
  for (const json& operation : json::diff(before, after)) {
    const std::string path = operation["path"].get<std::string>();
    const std::string op = operation["op"].get<std::string>();
    const json::json_pointer pointer(path);
    if (op == "replace")
      text += "  " + path + ": " + before[pointer].dump() + " -> " +
              operation["value"].dump() + "\n";
    else if (op == "add")
      text += "  " + path + ": added " + operation["value"].dump() + "\n";
    else
      text += "  " + path + ": removed " + before[pointer].dump() + "\n";
  }
  return text;
}

std::vector<burn_row> ReadBurnRows(const json& response) {
  std::vector<std::vector<burn_row>> rows_by_instance;
  for (const auto& [instance, rows] : response.items()) {
    std::vector<burn_row> list;
    if (!rows.is_array())
      continue;
    for (const json& row : rows) {
      burn_row next{row.value("class", ""), row.value("organisation", ""), {}};
      const json windows = row.value("windows", json::array());
      for (std::size_t w = 0; w < kBurnWindows.size() && w < windows.size();
           ++w)
        next.windows[w] = {windows[w][0].get<std::int64_t>(),
                           windows[w][1].get<std::int64_t>()};
      list.push_back(std::move(next));
    }
    rows_by_instance.push_back(std::move(list));
  }
  return MergeBurnRows(rows_by_instance);
}

std::string BurnTable(const std::vector<objective_burn>& burns) {
  std::vector<std::string> header = {"class", "organisation", "target",
                                     "requests"};
  for (std::size_t w = 0; w < kBurnWindows.size(); ++w)
    header.push_back("burn " + WindowName(w));
  header.push_back("budget left");
  text_table table(header);
  for (const objective_burn& burn : burns) {
    std::vector<std::string> row = {
        burn.goal.length_class, burn.goal.organisation,
        FormatFixed(burn.goal.target * 100, 1) + "%",
        std::to_string(burn.windows.back().total)};
    for (double rate : burn.burn_rate)
      row.push_back(FormatFixed(rate, 2));
    row.push_back(FormatFixed(burn.budget_left * 100, 0) + "%");
    table.Add(std::move(row));
  }
  return table.ToString();
}

json BurnJson(const std::vector<objective_burn>& burns) {
  json list = json::array();
  for (const objective_burn& burn : burns)
    list.push_back({{"class", burn.goal.length_class},
                    {"organisation", burn.goal.organisation},
                    {"target", burn.goal.target},
                    {"requests", burn.windows.back().total},
                    {"bad", burn.windows.back().bad},
                    {"burn_rate", burn.burn_rate},
                    {"budget_left", burn.budget_left}});
  return list;
}

std::string BurnPage(const std::vector<objective_burn>& burns,
                     const std::string& oldest_queue) {
  std::ostringstream page;
  page << "<!doctype html><meta charset=\"utf-8\"><title>Burn</title>"
          "<style>body{font:14px sans-serif}td,th{padding:4px 10px;"
          "text-align:left}</style><h1>Service-level burn</h1>"
          "<p>The line in each bar marks a burn rate of 1: the error budget is "
          "spent as fast as it accrues.</p><p>Oldest queued request: "
       << EscapeHtml(oldest_queue) << "</p><table><tr><th>class<th>organisation"
       << "<th>target<th>requests";
  for (std::size_t w = 0; w < kBurnWindows.size(); ++w)
    page << "<th>" << WindowName(w);
  page << "<th>budget left</tr>";
  for (const objective_burn& burn : burns) {
    page << "<tr><td>" << EscapeHtml(burn.goal.length_class) << "<td>"
         << EscapeHtml(burn.goal.organisation) << "<td>"
         << FormatFixed(burn.goal.target * 100, 1) << "%<td>"
         << burn.windows.back().total;
    for (double rate : burn.burn_rate)
      page << "<td>" << Bar(rate);
    page << "<td>" << FormatFixed(burn.budget_left * 100, 0) << "%</tr>";
  }
  page << "</table>\n";
  return page.str();
}

}  // namespace cactusward::ctl
