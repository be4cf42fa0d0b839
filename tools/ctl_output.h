// Output of cactuswardctl: text tables, configuration differences and burn
// reports.
#ifndef CACTUSWARD_TOOLS_CTL_OUTPUT_H_
#define CACTUSWARD_TOOLS_CTL_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cactusward/burn.h"

namespace cactusward::ctl {

// Text table with a header row and left-aligned columns.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header);
  void Add(std::vector<std::string> row);
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Differences from `before` to `after`, one per line.
std::string Difference(const nlohmann::json& before,
                       const nlohmann::json& after);

// Parses the burn rows reported by every instance and merges them.
std::vector<burn_row> ReadBurnRows(const nlohmann::json& response);

std::string BurnTable(const std::vector<objective_burn>& burns);
nlohmann::json BurnJson(const std::vector<objective_burn>& burns);
// Self-contained HTML page.
std::string BurnPage(const std::vector<objective_burn>& burns,
                     const std::string& oldest_queue);

}  // namespace cactusward::ctl

#endif  // CACTUSWARD_TOOLS_CTL_OUTPUT_H_
