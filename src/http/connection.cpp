#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "http/connection_pvt.h"

namespace ebonygrade::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

connection::connection(const asio::any_io_executor& executor,
                       asio::ip::tcp::endpoint endpoint, std::string peer,
                       const client_options& options, client_traffic* traffic,
                       std::function<void()> on_free)
    : socket_(executor),
      endpoint_(std::move(endpoint)),
      peer_(std::move(peer)),
      options_(options),
      traffic_(traffic),
      on_free_(std::move(on_free)),
      deadline_(executor, [this] { on_deadline(); }) {}

void connection::start(pending_call&& call) {
  call_ = std::move(call);
  sending_ = false;
  deadline_.set(call_->deadline);
  if (connected_) {
    send();
  } else {
    connect();
  }
}

void connection::connect() {
  std::uint64_t generation = ++generation_;
  ++traffic_->connects;
  socket_.async_connect(endpoint_, [self = shared_from_this(), generation](
                                       boost::system::error_code failed) {
    if (generation != self->generation_) return;
    if (failed) {
      return self->fail(error::code::unavailable, failed.message());
    }
    boost::system::error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->connected_ = true;
    self->send();
  });
}

void connection::send() {
  sending_ = true;
  std::uint64_t generation = generation_;
  beast_http::async_write(socket_, call_->message,
                          [self = shared_from_this(), generation](
                              beast::error_code failed, std::size_t bytes) {
                            if (generation != self->generation_) return;
                            self->traffic_->bytes_sent += bytes;
                            if (failed) {
                              return self->fail(error::code::connection_lost,
                                                failed.message());
                            }
                            self->receive();
                          });
}

void connection::receive() {
  parser_.emplace();
  parser_->header_limit(options_.max_header_bytes);
  parser_->body_limit(options_.max_body_bytes);
  std::uint64_t generation = generation_;
  beast_http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this(), generation](beast::error_code failed,
                                              std::size_t bytes) {
        if (generation != self->generation_) return;
        self->traffic_->bytes_received += bytes;
        if (!failed) return self->finish();
        bool lost = failed == beast_http::error::end_of_stream ||
                    failed == beast_http::error::partial_message ||
                    failed.category() == asio::error::get_system_category();
        self->fail(lost ? error::code::connection_lost : error::code::bad_reply,
                   failed.message());
      });
}

void connection::finish() {
  bool keep_alive = parser_->get().keep_alive() && buffer_.size() == 0;
  if (keep_alive) {
    deadline_.set(options_.idle_timeout);
    watch_idle();
  } else {
    disconnect();
  }
  deliver(parser_->release());
}

// An idle connection that becomes readable was closed by the peer, or has
// bytes that nobody asked for.
void connection::watch_idle() {
  if (watching_) return;
  watching_ = true;
  std::uint64_t generation = generation_;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this(),
                      generation](boost::system::error_code failed) {
                       if (generation != self->generation_) return;
                       self->watching_ = false;
                       if (failed || self->call_) return;
                       self->disconnect();
                     });
}

void connection::on_deadline() {
  if (!call_) return disconnect();
  fail(error::code::timeout, connected_ ? "no reply" : "no connection");
}

void connection::fail(error::code code, std::string_view detail) {
  disconnect();
  if (!call_) return;
  call_failure failure;
  failure.cause = {code, call_->step, peer_, std::string(detail)};
  failure.maybe_sent = sending_;
  deliver(std::move(failure));
}

void connection::close() {
  on_free_ = nullptr;
  fail(error::code::connection_lost, "closed");
  deadline_.cancel();
}

void connection::detach() {
  on_free_ = nullptr;
  call_.reset();
  disconnect();
  deadline_.cancel();
}

void connection::disconnect() {
  ++generation_;
  connected_ = false;
  watching_ = false;
  deadline_.clear();
  buffer_.clear();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void connection::deliver(call_result&& result) {
  client::handler handler = std::move(call_->handler);
  call_.reset();
  std::shared_ptr<connection> keep_alive = shared_from_this();
  handler(std::move(result));
  if (on_free_) on_free_();
}

}  // namespace ebonygrade::http
