#include "poold/worker_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <optional>

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

}  // namespace

}  // namespace ebonygrade::poold
