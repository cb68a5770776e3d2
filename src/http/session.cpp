#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "http/session_pvt.h"

namespace ebonygrade::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

namespace {

constexpr std::size_t kReadChunkBytes = 4096;
// Before it closes a connection the server reads and discards what the client
// still sends, because closing with unread data resets the connection and can
// destroy the last reply. These are the limits of the discarded bytes and of
// the time.
constexpr std::size_t kMaxDiscardedBytes = 4 << 20;
constexpr milliseconds kDiscardTimeout{1000};

response refusal(beast::error_code cause, const server_options& options) {
  if (cause == beast_http::error::header_limit ||
      cause == beast_http::error::buffer_overflow) {
    return error_response(
        status::request_header_fields_too_large,
        "header exceeds " + std::to_string(options.max_header_bytes) + " bytes",
        "header");
  }
  if (cause == beast_http::error::body_limit) {
    return error_response(
        status::payload_too_large,
        "body exceeds " + std::to_string(options.max_body_bytes) + " bytes",
        "body");
  }
  if (cause == beast::error::timeout) {
    return error_response(status::request_timeout,
                          "request not complete after " +
                              std::to_string(options.read_timeout.count()) +
                              " ms");
  }
  return error_response(status::bad_request,
                        "malformed request: " + cause.message());
}

}  // namespace

session::session(asio::ip::tcp::socket socket, std::uint64_t number,
                 std::shared_ptr<session_context> context)
    : socket_(std::move(socket)),
      number_(number),
      deadline_(socket_.get_executor(), [this] { on_deadline(); }),
      context_(std::move(context)),
      buffer_(context_->options.max_header_bytes +
              context_->options.max_body_bytes + kReadChunkBytes) {
  beast::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void session::run() { wait_for_request(); }

void session::run_refused() {
  reply_ = error_response(status::service_unavailable, "too many connections");
  write(false);
}

void session::close_if_idle() {
  if (idle_) end();
}

void session::close() { end(); }

void session::wait_for_request() {
  if (buffer_.size() > 0) return read_request();
  idle_ = true;
  deadline_.set(context_->options.idle_timeout);
  socket_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](beast::error_code failed, std::size_t bytes) {
        self->idle_ = false;
        if (failed || self->ended_) return self->end();
        self->buffer_.commit(bytes);
        self->read_request();
      });
}

void session::read_request() {
  reading_ = true;
  parser_.emplace();
  parser_->header_limit(context_->options.max_header_bytes);
  parser_->body_limit(context_->options.max_body_bytes);
  deadline_.set(context_->options.read_timeout);
  beast_http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code failed, std::size_t) {
        self->on_header(failed);
      });
}

void session::on_header(beast::error_code failed) {
  if (ended_) return;
  if (timed_out_) failed = beast::error::timeout;
  if (failed) return refuse(failed);
  bool expects_continue =
      beast::iequals(parser_->get()[beast_http::field::expect], "100-continue");
  if (expects_continue && !parser_->is_done()) return send_continue();
  read_body();
}

void session::send_continue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](beast::error_code failed, std::size_t) {
        if (failed || self->ended_) return self->end();
        self->read_body();
      });
}

void session::read_body() {
  if (parser_->is_done()) return on_request({});
  beast_http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code failed, std::size_t) {
        self->on_request(failed);
      });
}

void session::on_request(beast::error_code failed) {
  if (ended_) return;
  if (timed_out_) failed = beast::error::timeout;
  if (failed) return refuse(failed);
  reading_ = false;
  deadline_.clear();
  keep_alive_ = parser_->get().keep_alive();
  handling_ = true;
  watch_for_disconnect();
  context_->handler(parser_->release(), responder(shared_from_this()));
}

// Detects that the client closes the connection while its request is being
// handled. Bytes of a pipelined request end the detection.
void session::watch_for_disconnect() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](beast::error_code failed) {
                       if (failed || !self->handling_ || self->ended_) return;
                       char byte = 0;
                       beast::error_code peeked;
                       self->socket_.non_blocking(true, peeked);
                       self->socket_.receive(asio::buffer(&byte, 1),
                                             asio::socket_base::message_peek,
                                             peeked);
                       if (peeked && peeked != asio::error::would_block) {
                         self->client_disconnected_ = true;
                         self->end();
                       }
                     });
}

void session::send_reply(response&& reply) {
  if (!handling_ || ended_) return;
  handling_ = false;
  beast::error_code ignored;
  socket_.cancel(ignored);
  reply_ = std::move(reply);
  bool keep_alive = keep_alive_ && !context_->stopping;
  // Posted, because the handler may still be running.
  asio::post(socket_.get_executor(), [self = shared_from_this(), keep_alive] {
    if (self->ended_) return;
    if (!self->sending_interim_) return self->write(keep_alive);
    self->keep_alive_ = keep_alive;
    self->reply_waits_ = true;
  });
}

void session::send_processing() {
  static constexpr std::string_view kProcessing =
      "HTTP/1.1 102 Processing\r\n\r\n";
  if (!handling_ || ended_ || sending_interim_) return;
  sending_interim_ = true;
  asio::async_write(
      socket_, asio::buffer(kProcessing),
      [self = shared_from_this()](beast::error_code failed, std::size_t) {
        self->sending_interim_ = false;
        if (self->ended_) return;
        if (failed) return self->end();
        if (std::exchange(self->reply_waits_, false)) {
          self->write(self->keep_alive_);
        }
      });
}

void session::refuse(beast::error_code cause) {
  reading_ = false;
  bool disconnected = cause == beast_http::error::end_of_stream ||
                      cause == beast_http::error::partial_message ||
                      (cause.category() == asio::error::get_system_category() &&
                       cause != beast::error::timeout);
  if (disconnected) return end();
  reply_ = refusal(cause, context_->options);
  write(false);
}

void session::write(bool keep_alive) {
  keep_alive_ = keep_alive;
  reply_.keep_alive(keep_alive);
  deadline_.set(context_->options.write_timeout);
  beast_http::async_write(
      socket_, reply_,
      [self = shared_from_this()](beast::error_code failed, std::size_t) {
        self->on_written(failed);
      });
}

void session::on_written(beast::error_code failed) {
  if (failed || ended_) return end();
  if (keep_alive_) return wait_for_request();
  beast::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  deadline_.set(kDiscardTimeout);
  buffer_.clear();
  discard_input();
}

void session::discard_input() {
  socket_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](beast::error_code failed, std::size_t bytes) {
        self->discarded_bytes_ += bytes;
        bool limit_exceeded = self->discarded_bytes_ > kMaxDiscardedBytes;
        if (failed || self->ended_ || limit_exceeded) return self->end();
        self->discard_input();
      });
}

void session::on_deadline() {
  if (!reading_) return end();
  timed_out_ = true;
  beast::error_code ignored;
  socket_.cancel(ignored);
}

void session::end() {
  if (ended_) return;
  ended_ = true;
  handling_ = false;
  beast::error_code ignored;
  socket_.close(ignored);
  deadline_.cancel();
  if (context_->on_session_ended) context_->on_session_ended(this);
}

}  // namespace ebonygrade::http
