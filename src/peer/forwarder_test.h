// TCP forwarder for tests: passes bytes between its port and a target until a
// test stalls it. A stalled connection stays open but passes no more bytes; new
// connections work. Runs on the caller's context.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace ebonygrade::peer {

class forwarder {
 public:
  using tcp = boost::asio::ip::tcp;

  forwarder(boost::asio::io_context& context, const std::string& target)
      : context_(context),
        acceptor_(context, tcp::endpoint(loopback(), 0)),
        target_(parse(target)) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int accepted() const { return static_cast<int>(pairs_.size()); }

  // Stalls the connections that are open now.
  void stall_open_connections() {
    for (std::shared_ptr<pair>& each : pairs_) each->stalled = true;
  }
  // While set, no connection passes any bytes, new ones included.
  void set_all_stalled(bool stalled) { all_stalled_ = stalled; }

  void close() {
    closed_ = true;
    acceptor_.close();
    for (std::shared_ptr<pair>& each : pairs_) {
      each->inner.close();
      each->outer.close();
    }
  }

 private:
  struct pair {
    explicit pair(boost::asio::io_context& context)
        : outer(context), inner(context) {}
    tcp::socket outer;
    tcp::socket inner;
    bool stalled = false;
  };
  using buffer = std::array<char, 65536>;

  static boost::asio::ip::address loopback() {
    return boost::asio::ip::address_v4::loopback();
  }
  static tcp::endpoint parse(const std::string& target) {
    std::string port = target.substr(target.find(':') + 1);
    return tcp::endpoint(loopback(),
                         static_cast<std::uint16_t>(std::stoi(port)));
  }

  void accept() {
    std::shared_ptr<pair> next = std::make_shared<pair>(context_);
    acceptor_.async_accept(
        next->outer, [this, next](const boost::system::error_code& error) {
          if (error || closed_) return;
          next->inner.connect(target_);
          pairs_.push_back(next);
          pump(next, next->outer, next->inner);
          pump(next, next->inner, next->outer);
          accept();
        });
  }

  void pump(std::shared_ptr<pair> owner, tcp::socket& from, tcp::socket& to) {
    std::shared_ptr<buffer> data = std::make_shared<buffer>();
    from.async_read_some(
        boost::asio::buffer(*data),
        [this, owner, &from, &to, data](const boost::system::error_code& error,
                                        std::size_t size) {
          if (closed_) return;
          if (error) {
            boost::system::error_code ignored;
            to.close(ignored);
            return;
          }
          if (!owner->stalled && !all_stalled_) {
            boost::system::error_code ignored;
            boost::asio::write(to, boost::asio::buffer(*data, size), ignored);
          }
          pump(owner, from, to);
        });
  }

  boost::asio::io_context& context_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::vector<std::shared_ptr<pair>> pairs_;
  bool all_stalled_ = false;
  bool closed_ = false;
};

}  // namespace ebonygrade::peer
