// One connection of the client. Private to the slice.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/client.h"
#include "http/deadline_pvt.h"

namespace ebonygrade::http {

// A call on its way.
struct pending_call {
  std::string step;
  request message;
  clock::steady_time deadline;
  client::handler handler;
};

// A socket and what operations in progress on it refer to. They keep it alive,
// also after the connection has given it up for a new one.
struct transport {
  explicit transport(const boost::asio::any_io_executor& executor)
      : socket(executor) {}
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  request message;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser;
  bool connected = false;
  bool watched = false;  // A wait for bytes is in progress.
};

class connection : public std::enable_shared_from_this<connection> {
 public:
  // `on_free` is called each time the connection can take a call again.
  connection(const boost::asio::any_io_executor& executor,
             boost::asio::ip::tcp::endpoint endpoint, std::string peer,
             const client_options& options, client_traffic* traffic,
             std::function<void()> on_free);

  bool free() const { return !call_.has_value(); }
  // Connects if need be, then sends. Requires free().
  void start(pending_call&& call);
  // Fails the call in hand and disconnects.
  void close();
  // Disconnects and forgets the call in hand.
  void detach();

 private:
  void connect();
  void send();
  void receive();
  void finish();
  void watch_idle();
  void on_deadline();
  void fail(error::code code, std::string_view detail);
  void disconnect();
  void deliver(call_result&& result);

  boost::asio::any_io_executor executor_;
  std::shared_ptr<transport> transport_;  // Null when disconnected.
  boost::asio::ip::tcp::endpoint endpoint_;
  std::string peer_;
  client_options options_;
  client_traffic* traffic_;
  std::function<void()> on_free_;
  deadline deadline_;
  std::optional<pending_call> call_;
  bool sending_ = false;  // The request in hand has begun to leave.
};

}  // namespace ebonygrade::http
