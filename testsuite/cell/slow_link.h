// Link of limited rate to a server on this machine, for tests. Requests pass at
// once, replies in small pieces at a steady rate for each connection.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace ebonygrade::testsuite {

class slow_link {
 public:
  // A reply passes in pieces of this size, one for each interval.
  static constexpr std::size_t kPieceBytes = 2 << 10;
  static constexpr std::chrono::milliseconds kInterval{20};

  slow_link(boost::asio::io_context& context, std::uint16_t server_port)
      : context_(context),
        server_(boost::asio::ip::address_v4::loopback(), server_port) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Lets no more bytes of replies pass.
  void stall() { stalled_ = true; }

 private:
  using tcp = boost::asio::ip::tcp;
  using shared_socket = std::shared_ptr<tcp::socket>;
  struct direction {
    shared_socket from;
    shared_socket to;
    std::chrono::milliseconds interval;
    boost::asio::steady_timer timer;
    std::array<char, kPieceBytes> piece{};
  };

  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failed,
                                  tcp::socket accepted) {
      if (failed) return;
      shared_socket near = std::make_shared<tcp::socket>(std::move(accepted));
      shared_socket far = std::make_shared<tcp::socket>(context_);
      far->connect(server_, failed);
      forward(near, far, std::chrono::milliseconds(0));
      forward(far, near, kInterval);
      accept();
    });
  }

  void forward(const shared_socket& from, const shared_socket& to,
               std::chrono::milliseconds interval) {
    forward_piece(std::make_shared<direction>(
        direction{from, to, interval, boost::asio::steady_timer(context_)}));
  }

  void forward_piece(const std::shared_ptr<direction>& way) {
    way->from->async_read_some(
        boost::asio::buffer(way->piece),
        [this, way](boost::system::error_code failed, std::size_t bytes) {
          bool is_reply = way->interval.count() > 0;
          if (is_reply && stalled_) return;
          if (!failed) {
            boost::asio::write(*way->to,
                               boost::asio::buffer(way->piece.data(), bytes),
                               failed);
          }
          if (failed) {
            way->from->close(failed);
            way->to->close(failed);
            return;
          }
          way->timer.expires_after(way->interval);
          way->timer.async_wait(
              [this, way](boost::system::error_code) { forward_piece(way); });
        });
  }

  boost::asio::io_context& context_;
  tcp::endpoint server_;
  tcp::acceptor acceptor_{context_,
                          {boost::asio::ip::address_v4::loopback(), 0}};
  bool stalled_ = false;
};

}  // namespace ebonygrade::testsuite
