// One connection of the HTTP client. Private to this folder.
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

// A call that waits for a connection or for its reply.
struct pending_call {
  std::string step;
  request message;
  clock::steady_time deadline;       // Moves while the reply makes progress.
  clock::steady_time last_deadline;  // Limit of `deadline`.
  std::optional<milliseconds> stall_timeout;
  std::function<bool()> on_progress;
  client::handler handler;
};

// A socket and the buffers that its asynchronous operations refer to. Pending
// operations keep the transport alive, even after the connection has replaced
// it.
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
  bool read_wait_pending = false;  // Set while watch_idle() waits for bytes.
};

class connection : public std::enable_shared_from_this<connection> {
 public:
  // `on_free` is called whenever the connection becomes free for a call.
  connection(const boost::asio::any_io_executor& executor,
             boost::asio::ip::tcp::endpoint endpoint, std::string peer,
             const client_options& options, client_traffic* traffic,
             std::function<void()> on_free);

  bool free() const { return !call_.has_value(); }
  bool is_open() const { return transport_ && transport_->connected; }
  // Connects if necessary, then sends. Requires free().
  void start(pending_call&& call);
  // Fails the current call and disconnects.
  void close();
  // Disconnects without calling the handler of the current call.
  void detach();

 private:
  void connect();
  void send();
  void receive();
  // Reads the reply piece by piece, for a call with a stall timeout.
  void receive_some();
  void on_received(boost::system::error_code failed, std::size_t bytes);
  void on_reply();
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
  // For the current call.
  bool send_started_ = false;
  bool reply_started_ = false;
};

}  // namespace ebonygrade::http
