#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/address.h"
#include "http/session_pvt.h"

namespace ebonygrade::http {

namespace asio = boost::asio;

namespace {

// Limit of connections beyond max_connections that are refused with a 503
// reply; further connections are closed without a reply.
constexpr std::size_t kMaxRefusedConnections = 64;
// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr milliseconds kAcceptRetryDelay{100};

}  // namespace

struct responder::pending {
  explicit pending(std::shared_ptr<session> connection)
      : connection(std::move(connection)) {}
  ~pending() {
    if (!replied) {
      connection->send_reply(
          error_response(status::internal_server_error, "no answer"));
    }
  }
  pending(const pending&) = delete;
  pending& operator=(const pending&) = delete;

  std::shared_ptr<session> connection;
  bool replied = false;
};

responder::responder(std::shared_ptr<session> session)
    : pending_(std::make_shared<pending>(std::move(session))) {}

void responder::operator()(response&& reply) const {
  if (std::exchange(pending_->replied, true)) return;
  pending_->connection->send_reply(std::move(reply));
}

void responder::send_processing() const {
  if (!pending_->replied) pending_->connection->send_processing();
}

void responder::drop() const {
  if (std::exchange(pending_->replied, true)) return;
  pending_->connection->close();
}

std::uint64_t responder::connection() const {
  return pending_->connection->number();
}

bool responder::abandoned() const {
  return pending_->connection->client_disconnected();
}

class server::implementation
    : public std::enable_shared_from_this<server::implementation> {
 public:
  implementation(asio::io_context& context, const server_options& options,
                 handler handler)
      : acceptor_(context),
        timer_(context),
        context_(std::make_shared<session_context>()) {
    context_->options = options;
    context_->handler = std::move(handler);
    context_->on_session_ended = [this](session* ended) {
      on_session_ended(ended);
    };
  }

  error::result<void> listen(std::string_view address) {
    error::result<asio::ip::tcp::endpoint> endpoint = parse_address(address);
    if (endpoint.has_error()) return endpoint.error();
    boost::system::error_code failed;
    acceptor_.open(endpoint->protocol(), failed);
    if (!failed) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), failed);
    }
    if (!failed) acceptor_.bind(*endpoint, failed);
    if (!failed) {
      acceptor_.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
      return error::failure{failed, "listen", std::string(address), ""};
    }
    port_ = acceptor_.local_endpoint(failed).port();
    accept();
    return {};
  }

  std::uint16_t port() const { return port_; }
  std::size_t connection_count() const { return sessions_.size(); }

  void stop(std::function<void()> on_stopped) {
    context_->stopping = true;
    on_stopped_ = std::move(on_stopped);
    close_acceptor();
    timer_.expires_after(context_->options.stop_grace);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled) {
          if (!cancelled) self->close_idle();
        });
    report_if_stopped();
  }

  void close() {
    context_->stopping = true;
    close_acceptor();
    timer_.cancel();
    for (const std::shared_ptr<session>& open : open_sessions()) open->close();
  }

  // Closes for the destructor of the server: no callback runs after this.
  void detach() {
    on_stopped_ = nullptr;
    close();
    context_->on_session_ended = nullptr;
    context_->handler = nullptr;
  }

 private:
  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](boost::system::error_code failed,
                                    asio::ip::tcp::socket socket) {
          self->on_accepted(failed, std::move(socket));
        });
  }

  void on_accepted(boost::system::error_code failed,
                   asio::ip::tcp::socket socket) {
    if (context_->stopping) return;
    if (failed) return retry_accept_later();
    start_session(std::move(socket));
    accept();
  }

  void retry_accept_later() {
    timer_.expires_after(kAcceptRetryDelay);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled) {
          if (!cancelled && !self->context_->stopping) self->accept();
        });
  }

  void start_session(asio::ip::tcp::socket socket) {
    std::size_t limit = context_->options.max_connections;
    if (sessions_.size() >= limit + kMaxRefusedConnections) return;
    bool refused = sessions_.size() >= limit;
    std::shared_ptr<session> opened = std::make_shared<session>(
        std::move(socket), ++accepted_count_, context_);
    sessions_.emplace(opened.get(), opened);
    if (refused) {
      opened->run_refused();
    } else {
      opened->run();
    }
  }

  void on_session_ended(session* ended) {
    sessions_.erase(ended);
    report_if_stopped();
  }

  void report_if_stopped() {
    if (!context_->stopping || !sessions_.empty() || !on_stopped_) return;
    asio::post(acceptor_.get_executor(), std::exchange(on_stopped_, nullptr));
  }

  void close_acceptor() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  void close_idle() {
    for (const std::shared_ptr<session>& open : open_sessions()) {
      open->close_if_idle();
    }
  }

  // Returns a copy, because a session that ends removes itself from the table.
  std::vector<std::shared_ptr<session>> open_sessions() const {
    std::vector<std::shared_ptr<session>> open;
    open.reserve(sessions_.size());
    for (const auto& [key, value] : sessions_) open.push_back(value);
    return open;
  }

  asio::ip::tcp::acceptor acceptor_;
  clock::timer timer_;
  std::shared_ptr<session_context> context_;
  std::unordered_map<session*, std::shared_ptr<session>> sessions_;
  std::function<void()> on_stopped_;
  std::uint64_t accepted_count_ = 0;
  std::uint16_t port_ = 0;
};

server::server(asio::io_context& context, const server_options& options,
               handler handler)
    : implementation_(std::make_shared<implementation>(context, options,
                                                       std::move(handler))) {}

server::~server() { implementation_->detach(); }

error::result<void> server::listen(std::string_view address) {
  return implementation_->listen(address);
}

std::uint16_t server::port() const { return implementation_->port(); }

std::size_t server::connection_count() const {
  return implementation_->connection_count();
}

void server::stop(std::function<void()> on_stopped) {
  implementation_->stop(std::move(on_stopped));
}

void server::close() { implementation_->close(); }

}  // namespace ebonygrade::http
