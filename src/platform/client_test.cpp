#include "platform/client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standin/platform/service.h"

namespace asio = boost::asio;
namespace platform = ebonygrade::platform;
namespace ring = ebonygrade::ring;
namespace standin = ebonygrade::standin;
namespace wire = ebonygrade::wire;
using ebonygrade::clock::milliseconds;

namespace {

constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kChannelCapacity = 1024;

// Runs the client and a stand-in for the log on one context.
struct fixture {
  asio::io_context context;
  ebonygrade::clock::system_clock clock;
  ring::channel<platform::report> channel{context, kChannelCapacity};
  std::vector<platform::report> reports;
  standin::platform::service service;
  std::optional<platform::client> client;

  explicit fixture(const standin::platform::service_options& options = {})
      : service(context, clock, options) {
    channel.on_receive([this](platform::report&& report) {
      reports.push_back(std::move(report));
    });
    REQUIRE(service.listen("127.0.0.1:0").has_value());
    platform::client_options client_options;
    client_options.log_address = "127.0.0.1:" + std::to_string(service.port());
    client_options.list_address = client_options.log_address;
    client_options.call_timeout = milliseconds(100);
    client_options.follow_wait = milliseconds(200);
    client_options.list_interval = milliseconds(20);
    client_options.retry_pause = milliseconds(5);
    client_options.appends_per_second = 200;
    client.emplace(context, clock, client_options, channel);
  }
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      context.restart();
      REQUIRE(context.run_one_for(kTestTimeout) > 0);
    }
  }
  template <typename kind>
  std::vector<kind> reports_of() const {
    std::vector<kind> matching;
    for (const platform::report& report : reports) {
      if (const kind* match = std::get_if<kind>(&report)) {
        matching.push_back(*match);
      }
    }
    return matching;
  }
  template <typename kind>
  kind wait_for(std::size_t count = 1) {
    run_until([&] { return reports_of<kind>().size() >= count; });
    return reports_of<kind>()[count - 1];
  }
  void append(std::uint64_t sequence) {
    platform::append command{sequence, "claims", {}};
    command.record.mutable_writer()->set_sequence(sequence);
    client->handle(std::move(command));
  }
  // Sequence numbers of the records reported so far.
  std::vector<std::uint64_t> sequences() const {
    std::vector<std::uint64_t> found;
    for (const platform::records& batch : reports_of<platform::records>()) {
      for (const wire::record& record : batch.entries) {
        found.push_back(record.writer().sequence());
      }
    }
    return found;
  }
  void wait_for_records(std::size_t count) {
    run_until([&] { return sequences().size() >= count; });
  }
  void outage(bool on) {
    standin::platform_control control;
    control.set_outage(on);
    service.control(control);
  }
};

}  // namespace

TEST_CASE("a followed stream reports appended records in order") {
  fixture f;
  f.client->handle(platform::follow{"claims", 0});
  for (std::uint64_t i = 1; i <= 150; ++i) f.append(i);
  f.wait_for_records(150);
  std::vector<std::uint64_t> found = f.sequences();
  for (std::size_t i = 0; i < found.size(); ++i) CHECK(found[i] == i + 1);
  f.wait_for<platform::appended>(150);
  CHECK(f.reports_of<platform::append_failed>().empty());
}

TEST_CASE("reading the stream resolves an append whose reply was lost") {
  fixture f;
  standin::platform_control control;
  control.set_lose_answers(1);
  f.service.control(control);
  f.append(7);
  CHECK(f.wait_for<platform::append_failed>().maybe_written);
  f.client->handle(platform::read_to_end{9, "claims"});
  CHECK(f.wait_for<platform::end_reached>().token == 9);
  CHECK(f.sequences() == std::vector<std::uint64_t>{7});
}

TEST_CASE("an append slower than the call timeout is applied later") {
  fixture f;
  f.client->handle(platform::follow{"claims", 0});
  standin::platform_control control;
  control.set_append_delay_ms(200);
  f.service.control(control);
  f.append(7);
  platform::append_failed failed = f.wait_for<platform::append_failed>();
  CHECK(failed.maybe_written);
  CHECK(failed.cause.code == ebonygrade::error::code::timeout);
  f.wait_for_records(1);
}

TEST_CASE("an outage is reported, and reads continue after it") {
  fixture f;
  f.client->handle(platform::follow{"claims", 0});
  f.run_until([&] { return f.service.reads() > 0; });
  f.outage(true);
  f.append(1);
  CHECK_FALSE(f.wait_for<platform::append_failed>().maybe_written);
  f.run_until([&] {
    std::vector<platform::log_reachability> changes =
        f.reports_of<platform::log_reachability>();
    return !changes.empty() && !changes.back().reachable;
  });
  f.client->handle(platform::read_to_end{3, "other"});
  CHECK(f.wait_for<platform::read_failed>().token == 3);
  f.outage(false);
  f.append(2);
  f.wait_for_records(1);
  CHECK(f.sequences() == std::vector<std::uint64_t>{2});
  CHECK(f.reports_of<platform::log_reachability>().back().reachable);
}

TEST_CASE("a followed stream skips records that have expired") {
  standin::platform::service_options options;
  options.log.max_records = 2;
  fixture f(options);
  for (std::uint64_t i = 1; i <= 5; ++i) f.append(i);
  f.wait_for<platform::appended>(5);
  f.client->handle(platform::follow{"claims", 0});
  f.wait_for_records(2);
  CHECK(f.reports_of<platform::records>()[0].oldest_offset == 3);
  CHECK(f.sequences() == std::vector<std::uint64_t>{4, 5});
}

TEST_CASE("the complete list is reported though only changes are read") {
  fixture f;
  f.wait_for<platform::list_read>(3);
  CHECK(f.reports_of<platform::list_read>()[2].list.workers_size() == 0);
  CHECK_FALSE(f.reports_of<platform::list_read>()[2].list.delta());
}
