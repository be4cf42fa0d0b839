// Splits a stream of server-sent events into events without changing the bytes.
#ifndef CACTUSWARD_EVENT_STREAM_H_
#define CACTUSWARD_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusward {

struct stream_event {
  std::string bytes;               // as received, including the blank line
  std::optional<std::int64_t> id;  // none: missing or not an integer

  friend bool operator==(const stream_event& a, const stream_event& b) {
    return a.bytes == b.bytes && a.id == b.id;
  }
};

// Not thread-safe.
class event_stream_splitter {
 public:
  // Adds received bytes and appends the events that they complete.
  // @return false when an event exceeds `kMaxEventBytes`; the splitter is
  //     unusable then.
  bool Feed(std::string_view bytes, std::vector<stream_event>* events);
  // Whether the bytes so far end within an event.
  bool HasPartialEvent() const { return !pending_.empty(); }

  // Size of that partial event.
  std::size_t pending_bytes() const { return pending_.size(); }

  static constexpr std::size_t kMaxEventBytes = 1024ULL * 1024;

 private:
  std::string pending_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_EVENT_STREAM_H_
