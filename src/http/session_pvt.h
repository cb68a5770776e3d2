// One connection of the HTTP server. Private to this folder.
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

// State shared by the sessions of a server; outlives them.
struct session_context {
  server_options options;
  server::handler handler;
  bool stopping = false;
  // Called once by each session when it has ended.
  std::function<void(session*)> on_session_ended;
};

class session : public std::enable_shared_from_this<session> {
 public:
  session(boost::asio::ip::tcp::socket socket, std::uint64_t number,
          std::shared_ptr<session_context> context);

  // Serves requests until the connection is closed.
  void run();
  // Replies that the server has too many connections, then closes.
  void run_refused();
  // Closes unless a request is being read or handled or a reply is being sent.
  void close_if_idle();
  // Closes at once, without a reply.
  void close();

  // Sends the reply to the current request.
  void send_reply(response&& reply);
  // Sends the interim reply 102 for the current request.
  void send_processing();
  bool client_disconnected() const { return client_disconnected_; }
  std::uint64_t number() const { return number_; }

 private:
  void wait_for_request();
  void read_request();
  void on_header(boost::beast::error_code failed);
  void send_continue();
  void read_body();
  void on_request(boost::beast::error_code failed);
  void watch_for_disconnect();
  void refuse(boost::beast::error_code cause);
  void write(bool keep_alive);
  void on_written(boost::beast::error_code failed);
  void discard_input();
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
  std::size_t discarded_bytes_ = 0;
  bool idle_ = false;  // Waiting for the first byte of a request.
  bool reading_ = false;
  bool timed_out_ = false;
  bool handling_ = false;  // The handler has not replied yet.
  bool client_disconnected_ = false;
  bool keep_alive_ = false;
  bool sending_interim_ = false;
  bool reply_waits_ = false;  // Until the interim reply has been sent.
  bool ended_ = false;
};

}  // namespace ebonygrade::http
