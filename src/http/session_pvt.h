// One connection of the server. Private to the slice.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "http/deadline_pvt.h"
#include "http/server.h"

namespace ebonygrade::http {

// What the sessions of a server share. Outlives them.
struct session_context {
  server_options options;
  server::handler handler;
  bool stopping = false;
  // Called once by each session, as its last act.
  std::function<void(session*)> ended;
};

class session : public std::enable_shared_from_this<session> {
 public:
  session(boost::asio::ip::tcp::socket socket, std::uint64_t number,
          std::shared_ptr<session_context> context);

  // Serves requests until the connection ends.
  void run();
  // Tells the caller that the server has too many connections, then closes.
  void run_refused();
  // Closes unless a request is being read, handled or answered.
  void close_if_idle();
  // Closes at once.
  void close();

  // Writes the answer to the request in hand.
  void answer(response&& reply);
  bool caller_gone() const { return caller_gone_; }
  std::uint64_t number() const { return number_; }

 private:
  void wait_for_request();
  void read_request();
  void on_header(boost::beast::error_code failed);
  void send_continue();
  void read_body();
  void on_request(boost::beast::error_code failed);
  void watch_caller();
  void refuse(boost::beast::error_code cause);
  void write(bool keep_alive);
  void on_written(boost::beast::error_code failed);
  void linger();
  void on_deadline();
  void end();

  boost::asio::ip::tcp::socket socket_;
  std::uint64_t number_;
  deadline deadline_;
  std::shared_ptr<session_context> context_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  response reply_;
  std::size_t linger_bytes_ = 0;
  bool idle_ = false;
  bool reading_ = false;
  bool timed_out_ = false;
  bool handling_ = false;
  bool caller_gone_ = false;
  bool keep_alive_ = false;
  bool ended_ = false;
};

}  // namespace ebonygrade::http
