// One attempt of a forwarded request at an upstream.
#ifndef CACTUSWARD_SRC_RELAY_UPSTREAM_EXCHANGE_H_
#define CACTUSWARD_SRC_RELAY_UPSTREAM_EXCHANGE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cactusward/buffer_pool.h"
#include "cactusward/event_stream.h"
#include "src/relay/memory_reservation.h"
#include "src/relay/relay_dispatcher.h"

namespace cactusward {

// What an attempt holds at its upstream and what was received so far. Stays
// open while another upstream is tried because this one is silent, so that
// either can complete the response. Not thread-safe.
struct upstream_exchange {
  enum class response_kind { kUnknown, kBody, kEvents };

  // Precondition: all references outlive the exchange.
  upstream_exchange(runtime& runtime,
                    const relay_protocol& protocol,
                    buffer_pool& response_buffers,
                    std::unique_ptr<relay_assignment> assigned)
      : assignment(std::move(assigned)),
        memory(runtime, protocol),
        buffered(&response_buffers) {}
  ~upstream_exchange() {
    assignment->upstream()->running.erase(assignment->primary.tracking_id);
  }
  upstream_exchange(const upstream_exchange&) = delete;
  upstream_exchange& operator=(const upstream_exchange&) = delete;

  const std::shared_ptr<fleet_upstream>& upstream() const {
    return assignment->upstream();
  }

  std::unique_ptr<relay_assignment> assignment;
  memory_reservation memory;
  std::vector<helper_address> helpers;  // the list that was sent
  cancel_token cancel;
  std::unique_ptr<http_stream> stream;  // must not outlive `cancel`
  time_point sent_at;
  // The last progress of the response, or `sent_at`.
  time_point heard_at;
  // stall_meter::Total at `sent_at` and at `heard_at`.
  duration stalled_at_send{0};
  duration stalled_at_progress{0};
  bool silence_recorded = false;
  response_kind kind = response_kind::kUnknown;
  event_stream_splitter splitter;
  bool continues = false;  // begins after events of an earlier run
  bool first_event_seen = false;
  time_point first_event_at;
  std::int64_t first_event_id = 0;
  std::size_t delivered_bytes = 0;  // of its events, to the caller
  std::size_t bytes_without_event = 0;
  std::string body;
  buffer_pool::share buffered;  // memory of `body` or a partial event
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_UPSTREAM_EXCHANGE_H_
