#include "src/kernel/deflate.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <memory>

namespace cactusward {
namespace {

namespace zlib = boost::beast::zlib;

constexpr std::size_t kStepBytes = 8ULL * 1024;
// The state of a stream takes hundreds of kilobytes at the usual settings.
constexpr int kLevel = 3;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;

}  // namespace

std::string Deflate(std::string_view text, const std::function<void()>& pause) {
  // Not on the stack, which may be a coroutine's.
  const auto stream = std::make_unique<zlib::deflate_stream>();
  stream->reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string compressed(stream->upper_bound(text.size()), '\0');
  zlib::z_params params;
  params.next_out = compressed.data();
  params.avail_out = compressed.size();
  boost::system::error_code error;
  for (std::size_t done = 0; !error;) {
    const std::size_t step = std::min(kStepBytes, text.size() - done);
    const bool last = done + step == text.size();
    params.next_in = text.data() + done;
    params.avail_in = step;
    stream->write(params, last ? zlib::Flush::finish : zlib::Flush::none,
                  error);
    done += step;
    if (last)
      break;
    pause();
  }
  compressed.resize(params.total_out);
  return compressed;
}

std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_bytes,
                                   const std::function<void()>& pause) {
  const auto stream = std::make_unique<zlib::inflate_stream>();
  zlib::z_params params;
  params.next_in = bytes.data();
  params.avail_in = bytes.size();
  std::string text;
  boost::system::error_code error;
  while (!error) {
    const std::size_t before = text.size();
    if (before > max_bytes)
      return std::nullopt;
    text.resize(before + kStepBytes);
    params.next_out = text.data() + before;
    params.avail_out = kStepBytes;
    stream->write(params, zlib::Flush::sync, error);
    text.resize(text.size() - params.avail_out);
    if (!error)
      pause();
  }
  if (error != zlib::error::end_of_stream || text.size() > max_bytes)
    return std::nullopt;
  return text;
}

}  // namespace cactusward
