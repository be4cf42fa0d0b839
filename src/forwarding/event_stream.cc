#include "cactusward/event_stream.h"

#include <charconv>

namespace cactusward {
namespace {

constexpr std::string_view kIdField = "id:";

// The end of the first event in `text`, or npos. Lines end with LF or CRLF.
std::size_t EndOfEvent(std::string_view text) {
  std::size_t line = 0;
  while (true) {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos)
      return end;
    const std::string_view content = text.substr(line, end - line);
    if (content.empty() || content == "\r")
      return end + 1;
    line = end + 1;
  }
}

std::optional<std::int64_t> ReadId(std::string_view event) {
  std::size_t line = 0;
  while (line < event.size()) {
    const std::size_t end = std::min(event.find('\n', line), event.size());
    std::string_view content = event.substr(line, end - line);
    line = end + 1;
    if (content.substr(0, kIdField.size()) != kIdField)
      continue;
    content.remove_prefix(kIdField.size());
    while (!content.empty() && content.front() == ' ')
      content.remove_prefix(1);
    while (!content.empty() && content.back() == '\r')
      content.remove_suffix(1);
    std::int64_t id = 0;
    const auto [rest, error] =
        std::from_chars(content.data(), content.data() + content.size(), id);
    if (error != std::errc() || rest != content.data() + content.size())
      return std::nullopt;
    return id;
  }
  return std::nullopt;
}

}  // namespace

bool event_stream_splitter::Feed(std::string_view bytes,
                                 std::vector<stream_event>* events) {
  pending_.append(bytes);
  std::size_t begin = 0;
  const std::string_view text(pending_);
  while (true) {
    const std::size_t length = EndOfEvent(text.substr(begin));
    if (length == std::string_view::npos)
      break;
    const std::string_view event = text.substr(begin, length);
    events->push_back({std::string(event), ReadId(event)});
    begin += length;
  }
  pending_.erase(0, begin);
  return pending_.size() <= kMaxEventBytes;
}

}  // namespace cactusward
