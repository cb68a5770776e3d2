#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/address.h"
#include "http/session_pvt.h"

namespace ebonygrade::http {

namespace asio = boost::asio;

namespace {

// Connections over the limit that are being told so; further ones are closed
// without a reply.
constexpr std::size_t kMaxRefusedConnections = 64;
// Pause after a failed accept, for example when descriptors run out.
constexpr milliseconds kAcceptPause{100};

}  // namespace

struct responder::pending {
  explicit pending(std::shared_ptr<session> owner) : owner(std::move(owner)) {}
  ~pending() {
    if (!answered) {
      owner->answer(error_response(status::internal_server_error, "no answer"));
    }
  }
  pending(const pending&) = delete;
  pending& operator=(const pending&) = delete;

  std::shared_ptr<session> owner;
  bool answered = false;
};

responder::responder(std::shared_ptr<session> session)
    : pending_(std::make_shared<pending>(std::move(session))) {}

void responder::operator()(response&& reply) const {
  if (std::exchange(pending_->answered, true)) return;
  pending_->owner->answer(std::move(reply));
}

void responder::drop() const {
  if (std::exchange(pending_->answered, true)) return;
  pending_->owner->close();
}

std::uint64_t responder::connection() const {
  return pending_->owner->number();
}

bool responder::abandoned() const { return pending_->owner->caller_gone(); }

class server::implementation
    : public std::enable_shared_from_this<server::implementation> {
 public:
  implementation(asio::io_context& context, const server_options& options,
                 handler handler)
      : acceptor_(context),
        pause_(context),
        shared_(std::make_shared<session_context>()) {
    shared_->options = options;
    shared_->handler = std::move(handler);
    shared_->ended = [this](session* ended) { on_ended(ended); };
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

  void stop(std::function<void()> done) {
    shared_->stopping = true;
    stopped_ = std::move(done);
    close_acceptor();
    pause_.expires_after(shared_->options.stop_grace);
    pause_.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled) {
          if (!cancelled) self->close_idle();
        });
    report_if_stopped();
  }

  void close() {
    shared_->stopping = true;
    close_acceptor();
    pause_.cancel();
    for (const std::shared_ptr<session>& open : open_sessions()) open->close();
  }

  // The owner is gone: nothing may call back any more.
  void detach() {
    stopped_ = nullptr;
    close();
    shared_->ended = nullptr;
    shared_->handler = nullptr;
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
    if (shared_->stopping) return;
    if (failed) return accept_later();
    start_session(std::move(socket));
    accept();
  }

  void accept_later() {
    pause_.expires_after(kAcceptPause);
    pause_.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled) {
          if (!cancelled && !self->shared_->stopping) self->accept();
        });
  }

  void start_session(asio::ip::tcp::socket socket) {
    std::size_t limit = shared_->options.max_connections;
    if (sessions_.size() >= limit + kMaxRefusedConnections) return;
    bool refused = sessions_.size() >= limit;
    std::shared_ptr<session> opened =
        std::make_shared<session>(std::move(socket), ++accepted_, shared_);
    sessions_.emplace(opened.get(), opened);
    if (refused) {
      opened->run_refused();
    } else {
      opened->run();
    }
  }

  void on_ended(session* ended) {
    sessions_.erase(ended);
    report_if_stopped();
  }

  void report_if_stopped() {
    if (!shared_->stopping || !sessions_.empty() || !stopped_) return;
    asio::post(acceptor_.get_executor(), std::exchange(stopped_, nullptr));
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

  // A copy, because sessions leave the table as they end.
  std::vector<std::shared_ptr<session>> open_sessions() const {
    std::vector<std::shared_ptr<session>> open;
    open.reserve(sessions_.size());
    for (const auto& [key, value] : sessions_) open.push_back(value);
    return open;
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::shared_ptr<session_context> shared_;
  std::unordered_map<session*, std::shared_ptr<session>> sessions_;
  std::function<void()> stopped_;
  std::uint64_t accepted_ = 0;
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

void server::stop(std::function<void()> done) {
  implementation_->stop(std::move(done));
}

void server::close() { implementation_->close(); }

}  // namespace ebonygrade::http
