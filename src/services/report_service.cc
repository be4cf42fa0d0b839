#include "src/services/report_service.h"

#include <sstream>

#include "src/edges/etcd_store.h"
#include "src/kernel/log.h"
#include "src/services/config_service.h"
#include "src/services/dispatcher.h"
#include "src/services/membership_service.h"
#include "src/services/recovery_service.h"

namespace cactusward {
namespace {

// Upper bounds of the latency histogram buckets.
const std::vector<double>& BucketBoundsMs() {
  static const std::vector<double> bounds = {
      0,   1,   2,    5,    10,    20,    50,    100,    200,
      500, 960, 2000, 5000, 10000, 20000, 60000, 180000, 600000};
  return bounds;
}

template <typename Histogram>
void WriteHistogram(std::ostream& out,
                    std::string_view name,
                    const std::string& length_class,
                    const Histogram& values,
                    double sum) {
  double count = 0;
  const auto& axis = values.axis();
  count += values.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    count += values.at(i);
    out << name << "_bucket{class=\"" << length_class << "\",le=\""
        << axis.bin(i).upper() << "\"} " << count << '\n';
  }
  count += values.at(axis.size());
  out << name << "_bucket{class=\"" << length_class << "\",le=\"+Inf\"} "
      << count << '\n';
  out << name << "_sum{class=\"" << length_class << "\"} " << sum << '\n';
  out << name << "_count{class=\"" << length_class << "\"} " << count << '\n';
}

void WriteType(std::ostream& out,
               std::string_view name,
               std::string_view type) {
  out << "# TYPE " << name << ' ' << type << '\n';
}

template <typename Value>
void WriteGauge(std::ostream& out, std::string_view name, const Value& value) {
  WriteType(out, name, "gauge");
  out << name << ' ' << value << '\n';
}

}  // namespace

report_service::class_metrics::class_metrics()
    : first_token(boost::histogram::make_histogram(axis(BucketBoundsMs()))),
      total(boost::histogram::make_histogram(axis(BucketBoundsMs()))) {}

void report_service::Record(const access_record& record) {
  const std::string length_class =
      record.length_class.empty() ? "none" : record.length_class;
  const std::string kind(ErrorResponseFor(record.kind).name);
  ++requests_[{length_class, kind}];
  if (!record.length_class.empty()) {
    class_metrics& metrics = by_class_[length_class];
    const double total = ToMilliseconds(record.total);
    metrics.total(total);
    metrics.total_sum += total;
    if (record.first_token > duration::zero()) {
      const double first = ToMilliseconds(record.first_token);
      metrics.first_token(first);
      metrics.first_token_sum += first;
    }
    burn_.Record(record.length_class, record.organisation, record.met_objective,
                 clock::now());
  }
  Log(log_level::kInfo, "access",
      {{"request", record.request_id},
       {"organisation", record.organisation},
       {"class", length_class},
       {"target", record.target},
       {"upstream", record.upstream},
       {"deadline_ms", record.deadline.count()},
       {"prompt_tokens", record.prompt_tokens},
       {"output_tokens", record.output_tokens},
       {"status", record.status},
       {"kind", kind},
       {"response_cut", record.response_cut},
       {"attempts", record.attempts},
       {"first_token_ms", ToMilliseconds(record.first_token)},
       {"longest_pause_ms", ToMilliseconds(record.longest_pause)},
       {"total_ms", ToMilliseconds(record.total)}});
}

std::vector<burn_row> report_service::BurnRows() const {
  return burn_.Rows(clock::now());
}

std::string report_service::MetricsText() const {
  std::ostringstream out;
  WriteType(out, "cactusward_requests_total", "counter");
  for (const auto& [key, count] : requests_)
    out << "cactusward_requests_total{class=\"" << key.first << "\",kind=\""
        << key.second << "\"} " << count << '\n';
  WriteType(out, "cactusward_first_token_milliseconds", "histogram");
  for (const auto& [name, metrics] : by_class_)
    WriteHistogram(out, "cactusward_first_token_milliseconds", name,
                   metrics.first_token, metrics.first_token_sum);
  WriteType(out, "cactusward_request_milliseconds", "histogram");
  for (const auto& [name, metrics] : by_class_)
    WriteHistogram(out, "cactusward_request_milliseconds", name, metrics.total,
                   metrics.total_sum);
  auto& registry = runtime_.registry;
  const auto* queue = registry.Find<dispatcher>(kDispatcherServiceName);
  WriteType(out, "cactusward_queue_depth", "gauge");
  WriteType(out, "cactusward_queue_oldest_milliseconds", "gauge");
  const auto rows = queue ? queue->QueueRows() : std::vector<queue_row>();
  for (const queue_row& row : rows) {
    const std::string labels = "{class=\"" + row.length_class +
                               "\",organisation=\"" + row.organisation + "\"} ";
    out << "cactusward_queue_depth" << labels << row.depth << '\n';
    out << "cactusward_queue_oldest_milliseconds" << labels
        << row.oldest.count() << '\n';
  }
  auto* config = registry.Find<config_service>(kConfigServiceName);
  if (config) {
    WriteGauge(out, "cactusward_config_revision", config->tracker().Number());
    WriteGauge(out, "cactusward_config_confirmed_age_milliseconds",
               config->ConfirmedAgeMs(clock::now()));
  }
  const auto* membership =
      registry.Find<membership_service>(kMembershipServiceName);
  WriteGauge(out, "cactusward_live_members", membership->LiveCount());
  const auto& traffic = membership->traffic();
  WriteGauge(out, "cactusward_gossip_sent_bytes", traffic.sent_bytes);
  WriteGauge(out, "cactusward_gossip_received_bytes", traffic.received_bytes);
  WriteGauge(out, "cactusward_log_lines_dropped", DroppedLogLines());
  WriteGauge(out, "cactusward_gossip_refused", traffic.refused);
  WriteGauge(out, "cactusward_suspects",
             registry.Find<recovery_service>(kRecoveryServiceName)->suspects());
  if (const auto* store = dynamic_cast<const etcd_store*>(runtime_.store))
    WriteGauge(out, "cactusward_store_calls", store->calls());
  return out.str();
}

}  // namespace cactusward
