// Tables, differences and pages that cactuswardctl shows.
#ifndef CACTUSWARD_TOOLS_CTL_OUTPUT_H_
#define CACTUSWARD_TOOLS_CTL_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cactusward/burn.h"

namespace cactusward::ctl {

// Lines of equal columns under a header.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header);
  void Add(std::vector<std::string> row);
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Differences from `before` to `after`, one a line.
std::string Difference(const nlohmann::json& before,
                       const nlohmann::json& after);

// Burn rows as the instances report them.
std::vector<burn_row> ReadBurnRows(const nlohmann::json& response);

std::string BurnTable(const std::vector<objective_burn>& burns);
nlohmann::json BurnJson(const std::vector<objective_burn>& burns);
// A page that needs no other file.
std::string BurnPage(const std::vector<objective_burn>& burns,
                     const std::string& oldest_queue);

}  // namespace cactusward::ctl

#endif  // CACTUSWARD_TOOLS_CTL_OUTPUT_H_
