#include "tests/support/raw_connection.h"

#include <array>

namespace cactusward::test {
namespace {

constexpr std::size_t kReadBytes = 16ULL * 1024;

}  // namespace

bool raw_connection::Open(const tcp::endpoint& target,
                          const std::string& source,
                          int receive_buffer) {
  boost::system::error_code error;
  socket_.open(target.protocol(), error);
  // The window is announced when the connection is set up.
  if (!error && receive_buffer > 0)
    socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer),
                       error);
  if (!error && !source.empty())
    socket_.bind({asio::ip::make_address(source), 0}, error);
  if (!error)
    socket_.connect(target, error);
  if (!error)
    socket_.non_blocking(true, error);
  closed_ = static_cast<bool>(error);
  return !error;
}

void raw_connection::Send(const std::string& bytes) {
  unsent_.append(bytes);
  if (!writing_)
    Write();
}

void raw_connection::Write() {
  if (closed_ || unsent_bytes() == 0) {
    writing_ = false;
    unsent_.clear();
    sent_ = 0;
    return;
  }
  writing_ = true;
  socket_.async_wait(
      tcp::socket::wait_write,
      [self = shared_from_this()](boost::system::error_code error) {
        std::size_t sent = 0;
        if (!error)
          sent = self->socket_.send(
              asio::buffer(self->unsent_.data() + self->sent_,
                           self->unsent_bytes()),
              0, error);
        self->sent_ += sent;
        self->closed_ =
            self->closed_ || (error && error != asio::error::would_block);
        self->Write();
      });
}

std::string raw_connection::Receive() {
  std::string received;
  std::array<char, kReadBytes> buffer{};
  boost::system::error_code error;
  while (!error && !closed_) {
    const std::size_t got = socket_.receive(asio::buffer(buffer), 0, error);
    received.append(buffer.data(), got);
  }
  closed_ = closed_ || (error && error != asio::error::would_block);
  return received;
}

void raw_connection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  closed_ = true;
}

}  // namespace cactusward::test
