#include "poold/worker_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "http/address.h"

namespace ebonygrade::poold {

namespace {

constexpr std::chrono::seconds kConditionTimeout{20};

// Guards against starts that stay without an outcome for ever, and are neither
// repeated nor stopped, after the link to their worker was replaced.
TEST_CASE("orders end with an outcome although their link was stopped") {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  // Accepts connections and never replies.
  boost::asio::ip::tcp::acceptor silent(
      context, http::parse_address("127.0.0.1:0").value());
  std::shared_ptr<worker_link> link = std::make_shared<worker_link>(
      context, clock, "w1",
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
      worker_link::handlers{});
  pool::start_order start;
  start.job = std::make_shared<wire::job_submission>();
  std::optional<pool::start_outcome> outcome;
  std::optional<bool> stop_confirmed;
  link->send_start(start, [&](pool::start_outcome got) { outcome = got; });
  link->send_stop({}, [&](bool confirmed) { stop_confirmed = confirmed; });
  link->stop();
  link.reset();
  context.run_for(kConditionTimeout);
  REQUIRE(outcome.has_value());
  CHECK(*outcome == pool::start_outcome::unknown);
  REQUIRE(stop_confirmed.has_value());
  CHECK_FALSE(*stop_confirmed);
}

// Replies to every poll and closes the connection without notice.
struct closing_worker {
  explicit closing_worker(boost::asio::io_context& context)
      : acceptor(context, http::parse_address("127.0.0.1:0").value()) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  void accept() {
    socket.emplace(acceptor.get_executor());
    acceptor.async_accept(*socket, [this](boost::system::error_code failed) {
      if (!failed) receive();
    });
  }
  void receive() {
    request = {};
    boost::beast::http::async_read(
        *socket, buffer, request,
        [this](boost::system::error_code failed, std::size_t) {
          if (failed) return accept();
          reply = {};
          reply.body() = R"({"clockMs":1,"born":1,"running":[],"finished":[]})";
          reply.prepare_payload();
          boost::beast::http::async_write(
              *socket, reply, [this](boost::system::error_code, std::size_t) {
                socket->close();
                accept();
              });
        });
  }

  boost::asio::ip::tcp::acceptor acceptor;
  std::optional<boost::asio::ip::tcp::socket> socket;
  boost::beast::flat_buffer buffer;
  http::request request;
  http::response reply;
};

// Guards against workers that never get a lease, and polls without a pause.
TEST_CASE("a worker that closes its connections gets leases") {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  closing_worker worker(context);
  std::size_t polls = 0;
  std::size_t connected_polls = 0;
  worker_link::handlers handlers;
  handlers.prepare_poll = [&](const std::string&, bool connected) {
    ++polls;
    if (connected) ++connected_polls;
    return platform::worker_poll_request{};
  };
  handlers.on_contact_lost = [](const std::string&) {};
  handlers.on_poll_result = [](const platform::worker_poll_request&,
                               const platform::worker_poll_reply*,
                               steady_time) {};
  std::shared_ptr<worker_link> link = std::make_shared<worker_link>(
      context, clock, "w1", worker.address(), std::move(handlers));
  link->start();
  constexpr std::size_t kPolls = 20;
  steady_time end = clock.now() + kConditionTimeout;
  while (polls < kPolls && clock.now() < end) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  link->stop();
  CHECK(polls == kPolls);
  CHECK(connected_polls >= kPolls / 2);
}

}  // namespace

}  // namespace ebonygrade::poold
