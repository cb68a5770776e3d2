#include "poold/topic_follower.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/address.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::seconds kConditionTimeout{20};
constexpr milliseconds kWait{500};
constexpr std::size_t kChunkBytes = 2 << 10;
constexpr milliseconds kChunkInterval{20};
// Takes 2 s over the slow link. A read without a reply fails after 1.2 s.
constexpr std::size_t kRecordBytes = 100 * kChunkBytes;

// Forwards connections to `target`, replies at kChunkBytes per kChunkInterval.
class slow_link {
 public:
  slow_link(boost::asio::io_context& context, const std::string& target)
      : context_(context),
        target_(http::parse_address(target).value()),
        acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  struct direction {
    std::shared_ptr<tcp::socket> from;
    std::shared_ptr<tcp::socket> to;
    milliseconds interval;
    boost::asio::steady_timer timer;
    std::vector<char> chunk = std::vector<char>(kChunkBytes);
  };

  void accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code failed, tcp::socket accepted) {
          if (failed) return;
          std::shared_ptr<tcp::socket> near =
              std::make_shared<tcp::socket>(std::move(accepted));
          std::shared_ptr<tcp::socket> far =
              std::make_shared<tcp::socket>(context_);
          far->connect(target_);
          forward(near, far, milliseconds(0));
          forward(far, near, kChunkInterval);
          accept();
        });
  }

  void forward(const std::shared_ptr<tcp::socket>& from,
               const std::shared_ptr<tcp::socket>& to, milliseconds interval) {
    forward_chunk(std::make_shared<direction>(
        direction{from, to, interval, boost::asio::steady_timer(context_)}));
  }

  static void forward_chunk(const std::shared_ptr<direction>& way) {
    way->from->async_read_some(
        boost::asio::buffer(way->chunk),
        [way](boost::system::error_code failed, std::size_t bytes) {
          if (failed) return close(*way);
          boost::asio::async_write(
              *way->to, boost::asio::buffer(way->chunk.data(), bytes),
              [way](boost::system::error_code lost, std::size_t) {
                if (lost) return close(*way);
                way->timer.expires_after(way->interval);
                way->timer.async_wait(
                    [way](boost::system::error_code) { forward_chunk(way); });
              });
        });
  }

  static void close(const direction& way) {
    boost::system::error_code ignored;
    way.from->close(ignored);
    way.to->close(ignored);
  }

  boost::asio::io_context& context_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
};

// Guards against a full link: every daemon of a region broke off the read of a
// large manifest at the time limit and began it again, without end.
TEST_CASE("a record that outlasts the time limit of a read is read only once",
          "[!shouldfail]") {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store platform{context};
  slow_link link(context, platform.address());
  store_client store(context, link.address(), clock);
  std::string received;
  follower_options options;
  options.topic = "keyed.op";
  options.max_wait = kWait;
  std::shared_ptr<topic_follower> follower = std::make_shared<topic_follower>(
      context, store, clock, options,
      topic_follower::handlers{[](const std::vector<jobs::record>&) {},
                               [&](const std::vector<jobs::record>& records) {
                                 if (!records.empty())
                                   received = records.front().value;
                               }});
  clock::steady_time end = clock.now() + kConditionTimeout;
  auto run_until = [&](const std::function<bool()>& condition) {
    while (!condition() && clock.now() < end) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  };
  follower->start();
  REQUIRE(run_until([&] { return follower->loaded(); }));
  std::string record(kRecordBytes, 'x');
  platform.put("keyed.op", "config", record);
  run_until(
      [&] { return !received.empty() || platform.reads_with_records() > 1; });
  follower->stop();
  bool complete = received == record;
  CHECK(complete);
  CHECK(platform.reads_with_records() == 1);
}

}  // namespace

}  // namespace ebonygrade::poold
