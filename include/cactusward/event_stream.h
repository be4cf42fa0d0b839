// Splits a stream of server-sent events into whole events, bytes unchanged.
#ifndef CACTUSWARD_EVENT_STREAM_H_
#define CACTUSWARD_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusward {

// One whole event.
struct stream_event {
  std::string bytes;               // as received, its blank line included
  std::optional<std::int64_t> id;  // none: the event carries no whole number

  friend bool operator==(const stream_event& a, const stream_event& b) {
    return a.bytes == b.bytes && a.id == b.id;
  }
};

// Not thread-safe.
class event_stream_splitter {
 public:
  // Takes in bytes and appends the events that they complete.
  // @return false when an event exceeds `kMaxEventBytes`; the splitter is
  //     unusable then.
  bool Feed(std::string_view bytes, std::vector<stream_event>* events);
  // Whether the stream stands within an event.
  bool HasPartialEvent() const { return !pending_.empty(); }

  static constexpr std::size_t kMaxEventBytes = 1024ULL * 1024;

 private:
  std::string pending_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_EVENT_STREAM_H_
