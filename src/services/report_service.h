// Metrics for scrapers, error-budget burn of objectives, and access records.
#ifndef CACTUSWARD_SRC_SERVICES_REPORT_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_REPORT_SERVICE_H_

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

#include "cactusward/burn.h"
#include "cactusward/error.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"

namespace cactusward {

// The access log record of one request.
struct access_record {
  std::string request_id;
  std::string organisation;
  std::string length_class;
  std::string target;
  std::string upstream;
  milliseconds deadline{0};  // as requested by the caller
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  int status = 0;
  error_kind kind = error_kind::kOk;
  int attempts = 0;
  duration first_token{0};    // zero: no token was received
  duration longest_pause{0};  // between events of a stream
  duration total{0};
  bool met_objective = true;
  bool response_cut = false;  // the connection ended before the response did
};

class report_service : public service {
 public:
  explicit report_service(runtime& runtime) : runtime_(runtime) {}

  std::string_view service_name() const override { return kReportServiceName; }

  // Counts a request and writes its access record.
  void Record(const access_record& record);
  std::vector<burn_row> BurnRows() const;
  // All metrics in the Prometheus text format.
  std::string MetricsText() const;

 private:
  using axis = boost::histogram::axis::variable<>;
  using histogram = decltype(boost::histogram::make_histogram(axis()));
  struct class_metrics {
    class_metrics();
    histogram first_token;
    histogram total;
    double first_token_sum = 0;
    double total_sum = 0;
  };

  runtime& runtime_;
  std::map<std::string, class_metrics> by_class_;
  std::map<std::pair<std::string, std::string>, std::int64_t> requests_;
  burn_tracker burn_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_REPORT_SERVICE_H_
