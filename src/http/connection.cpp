#include <algorithm>
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
    : executor_(executor),
      endpoint_(std::move(endpoint)),
      peer_(std::move(peer)),
      options_(options),
      traffic_(traffic),
      on_free_(std::move(on_free)),
      deadline_(executor, [this] { on_deadline(); }) {}

void connection::start(pending_call&& call) {
  call_ = std::move(call);
  ++traffic_->calls;
  send_started_ = false;
  reply_started_ = false;
  deadline_.set(call_->deadline);
  if (transport_) {
    send();
  } else {
    connect();
  }
}

void connection::connect() {
  ++traffic_->connects;
  transport_ = std::make_shared<transport>(executor_);
  transport_->socket.async_connect(
      endpoint_, [self = shared_from_this(),
                  current = transport_](boost::system::error_code failed) {
        if (current != self->transport_) return;
        if (failed) {
          return self->fail(error::code::unavailable, failed.message());
        }
        boost::system::error_code ignored;
        current->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        current->connected = true;
        self->send();
      });
}

void connection::send() {
  send_started_ = true;
  transport_->message = std::move(call_->message);
  beast_http::async_write(transport_->socket, transport_->message,
                          [self = shared_from_this(), current = transport_](
                              beast::error_code failed, std::size_t bytes) {
                            if (current != self->transport_) return;
                            self->traffic_->bytes_sent += bytes;
                            if (failed) {
                              return self->fail(error::code::connection_lost,
                                                failed.message());
                            }
                            self->receive();
                          });
}

void connection::receive() {
  transport_->parser.emplace();
  transport_->parser->header_limit(options_.max_header_bytes);
  transport_->parser->body_limit(options_.max_body_bytes);
  if (call_->stall_timeout) return receive_some();
  beast_http::async_read(transport_->socket, transport_->buffer,
                         *transport_->parser,
                         [self = shared_from_this(), current = transport_](
                             beast::error_code failed, std::size_t bytes) {
                           if (current != self->transport_) return;
                           self->on_received(failed, bytes);
                         });
}

void connection::receive_some() {
  beast_http::async_read_some(transport_->socket, transport_->buffer,
                              *transport_->parser,
                              [self = shared_from_this(), current = transport_](
                                  beast::error_code failed, std::size_t bytes) {
                                if (current != self->transport_) return;
                                self->on_received(failed, bytes);
                              });
}

void connection::on_received(beast::error_code failed, std::size_t bytes) {
  traffic_->bytes_received += bytes;
  if (failed) {
    bool lost = failed == beast_http::error::end_of_stream ||
                failed == beast_http::error::partial_message ||
                failed.category() == asio::error::get_system_category();
    return fail(lost ? error::code::connection_lost : error::code::bad_reply,
                failed.message());
  }
  if (!call_->stall_timeout) return on_reply();
  bool interim =
      beast_http::to_status_class(transport_->parser->get().result()) ==
      beast_http::status_class::informational;
  if (transport_->parser->is_done() && !interim) return on_reply();
  reply_started_ = true;
  call_->deadline = std::min(clock::boot_clock::now() + *call_->stall_timeout,
                             call_->last_deadline);
  deadline_.set(call_->deadline);
  if (call_->on_progress && !call_->on_progress()) {
    return fail(error::code::unavailable, "reply not wanted any more");
  }
  if (interim) return receive();
  receive_some();
}

void connection::on_reply() {
  response reply = transport_->parser->release();
  bool keep_alive = reply.keep_alive() && transport_->buffer.size() == 0;
  if (keep_alive) {
    deadline_.set(options_.idle_timeout);
    watch_idle();
  } else {
    disconnect();
  }
  deliver(std::move(reply));
}

// Disconnects when an idle connection becomes readable: the peer has closed it
// or sent unsolicited bytes.
void connection::watch_idle() {
  if (transport_->read_wait_pending) return;
  transport_->read_wait_pending = true;
  transport_->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(),
       current = transport_](boost::system::error_code failed) {
        current->read_wait_pending = false;
        if (current != self->transport_) return;
        if (failed || self->call_) return;
        self->disconnect();
      });
}

void connection::on_deadline() {
  if (!call_) return disconnect();
  bool connected = transport_ && transport_->connected;
  std::string_view detail = connected ? "no reply" : "no connection";
  if (reply_started_) detail = "incomplete reply";
  fail(error::code::timeout, detail);
}

void connection::fail(error::code code, std::string_view detail) {
  disconnect();
  if (!call_) return;
  call_failure failure;
  failure.cause = {code, call_->step, peer_, std::string(detail)};
  failure.maybe_sent = send_started_;
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
  deadline_.clear();
  std::shared_ptr<transport> old = std::exchange(transport_, nullptr);
  if (!old) return;
  boost::system::error_code ignored;
  old->socket.close(ignored);
}

void connection::deliver(call_result&& result) {
  client::handler handler = std::move(call_->handler);
  call_.reset();
  // The handler may destroy the client and with it this connection.
  std::shared_ptr<connection> keep_alive = shared_from_this();
  handler(std::move(result));
  if (on_free_) on_free_();
}

}  // namespace ebonygrade::http
