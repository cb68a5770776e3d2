#include "worker/adapter.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standin/worker/fleet.h"

namespace asio = boost::asio;
namespace job = ebonygrade::job;
namespace ring = ebonygrade::ring;
namespace standin = ebonygrade::standin;
namespace wire = ebonygrade::wire;
namespace worker = ebonygrade::worker;
using ebonygrade::clock::milliseconds;

namespace {

constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kChannelCapacity = 4096;

struct fixture_options {
  worker::adapter_options adapter;
  std::size_t channel_capacity = kChannelCapacity;
  milliseconds retention{60000};
  std::size_t workers = 1;

  fixture_options() {
    adapter.self = "d1";
    adapter.call_timeout = milliseconds(100);
    adapter.event_wait = milliseconds(300);
    adapter.retry_pause = milliseconds(5);
  }
};

// Runs the adapter and stand-in workers on one context and reads the reports on
// another.
struct fixture {
  asio::io_context context;
  asio::io_context reader;
  ebonygrade::clock::system_clock clock;
  ring::channel<worker::report> channel;
  std::vector<worker::report> reports;
  std::optional<standin::worker::fleet> fleet;
  std::optional<worker::adapter> adapter;

  explicit fixture(const fixture_options& options = {})
      : channel(reader, options.channel_capacity) {
    channel.on_receive([this](worker::report&& report) {
      reports.push_back(std::move(report));
    });
    standin::worker::fleet_options fleet_options;
    fleet_options.count = options.workers;
    fleet_options.retention = options.retention;
    fleet.emplace(context, clock, fleet_options);
    REQUIRE(fleet->open().has_value());
    adapter.emplace(context, clock, options.adapter, channel);
  }
  void read_reports() {
    reader.restart();
    reader.poll();
  }
  // Runs until the condition holds, without reading reports.
  void run_without_reading_until(const std::function<bool()>& condition) {
    while (!condition()) {
      context.restart();
      REQUIRE(context.run_one_for(kTestTimeout) > 0);
    }
  }
  void run_until(const std::function<bool()>& condition) {
    run_without_reading_until([&] {
      read_reports();
      return condition();
    });
  }
  template <typename kind>
  std::vector<kind> reports_of() const {
    std::vector<kind> matching;
    for (const worker::report& report : reports) {
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
  void watch(job::epoch epoch = 1) {
    adapter->handle(
        worker::watch{"w0", fleet->list().workers(0).address(), epoch});
  }
  void watch_and_wait(job::epoch epoch = 1) {
    watch(epoch);
    wait_for<worker::fenced>();
  }
  void start(const std::string& id, const std::string& payload = "",
             wire::job_class job_class = wire::batch, job::epoch epoch = 1) {
    worker::start command{"w0", epoch, {}};
    command.task.mutable_key()->set_request_id(id);
    command.task.mutable_key()->set_attempt(1);
    command.task.set_payload(payload);
    command.task.set_class_(job_class);
    adapter->handle(std::move(command));
  }
  void stop(const std::string& id) {
    adapter->handle(worker::stop{"w0", 1, {id, 0, 1}, wire::stop});
  }
  void inject(standin::worker_fault fault) {
    standin::worker_control control;
    control.set_worker("w0");
    control.set_fault(fault);
    REQUIRE(fleet->inject(control).has_value());
  }
};

}  // namespace

TEST_CASE("a watched worker is fenced and its capacity reported") {
  fixture f;
  f.watch(7);
  worker::fenced report = f.wait_for<worker::fenced>();
  CHECK(report.epoch == 7);
  CHECK(report.reply.capacity().slots() == 8);
}

TEST_CASE("starts are batched, and each one gets one reply and one end") {
  fixture f;
  f.watch_and_wait();
  constexpr std::size_t kTasks = 200;
  for (std::size_t i = 0; i < kTasks; ++i) f.start("r" + std::to_string(i));
  f.wait_for<worker::ended>(kTasks);
  CHECK(f.reports_of<worker::start_answered>().size() == kTasks);
  CHECK(f.reports_of<worker::start_unanswered>().empty());
  CHECK(f.reports_of<worker::ended>()[0].event.output() == "ok");
  CHECK(f.adapter->traffic().calls < kTasks / 4);
}

TEST_CASE("an unresponsive connection is replaced without losing events") {
  fixture f;
  f.watch_and_wait();
  f.start("a", "run_ms=50");
  f.wait_for<worker::start_answered>();
  f.inject(standin::silent);
  f.start("b");
  worker::start_unanswered unanswered = f.wait_for<worker::start_unanswered>();
  CHECK(unanswered.key.request_id == "b");
  CHECK(unanswered.cause.code == ebonygrade::error::code::timeout);
  f.wait_for<worker::ended>();
  f.start("c");
  f.wait_for<worker::start_answered>(2);
  f.wait_for<worker::ended>(2);
  CHECK(f.fleet->connection_count("w0") <= 3);
}

TEST_CASE(
    "a start whose reply is lost is unanswered, and its end is reported") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::drop_answers);
  f.start("a");
  f.wait_for<worker::start_unanswered>();
  f.inject(standin::none);
  CHECK(f.wait_for<worker::ended>().event.key().request_id() == "a");
  CHECK(f.reports_of<worker::start_answered>().empty());
}

TEST_CASE("a start that was certainly not sent is rejected") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::kill);
  f.start("a");
  f.start("b");
  f.run_until([&] {
    return f.reports_of<worker::start_answered>().size() +
               f.reports_of<worker::start_unanswered>().size() ==
           2;
  });
  CHECK(f.reports_of<worker::start_answered>().back().status == wire::rejected);
  CHECK(f.fleet->ledger().starts() == 0);
}

TEST_CASE("an unresponsive worker is reported once per call timeout") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::kill);
  worker::unreachable first = f.wait_for<worker::unreachable>(1);
  worker::unreachable third = f.wait_for<worker::unreachable>(3);
  CHECK(third.unresponsive_for >= first.unresponsive_for + milliseconds(200));
  CHECK(third.cause.peer == f.fleet->list().workers(0).address());
}

TEST_CASE("a reboot is reported and the worker is fenced again") {
  fixture f;
  f.watch_and_wait();
  f.start("a", "", wire::service);
  f.wait_for<worker::start_answered>();
  f.inject(standin::reboot);
  f.wait_for<worker::rebooted>();
  worker::fenced second = f.wait_for<worker::fenced>(2);
  CHECK(second.reply.tasks_size() == 0);
  f.start("b");
  f.wait_for<worker::ended>();
}

TEST_CASE("a higher epoch at the worker supersedes the owner") {
  fixture f;
  f.watch_and_wait(1);
  worker::adapter_options options = fixture_options().adapter;
  ring::channel<worker::report> other_channel(f.reader, kChannelCapacity);
  bool other_fenced = false;
  other_channel.on_receive([&](worker::report&& report) {
    if (std::holds_alternative<worker::fenced>(report)) other_fenced = true;
  });
  worker::adapter other(f.context, f.clock, options, other_channel);
  other.handle(worker::watch{"w0", f.fleet->list().workers(0).address(), 2});
  f.run_until([&] { return other_fenced; });
  f.start("a", "", wire::batch, 1);
  CHECK(f.wait_for<worker::start_answered>().status == wire::fenced);
  CHECK(f.wait_for<worker::superseded>().epoch == 2);
  f.start("b", "", wire::batch, 1);
  CHECK(f.wait_for<worker::start_answered>(2).status == wire::fenced);
  CHECK(f.fleet->ledger().starts() == 0);
}

TEST_CASE(
    "leases are renewed while a worker is watched and expire after unwatch") {
  fixture_options options;
  options.adapter.task_lease = milliseconds(150);
  fixture f(options);
  f.watch_and_wait();
  f.start("a", "", wire::service);
  f.wait_for<worker::start_answered>();
  std::uint64_t calls = f.adapter->traffic().calls;
  f.run_until([&] { return f.adapter->traffic().calls > calls + 12; });
  CHECK(f.fleet->ledger().running() == 1);
  f.adapter->handle(worker::unwatch{"w0"});
  f.run_until([&] { return f.fleet->ledger().leases_expired() == 1; });
}

TEST_CASE("a running task is stopped and an unsent start is revoked") {
  fixture f;
  f.watch_and_wait();
  f.start("a", "", wire::service);
  f.start("b");
  f.stop("b");
  f.wait_for<worker::start_answered>(2);
  worker::stop_answered revoked = f.wait_for<worker::stop_answered>();
  CHECK(revoked.status == wire::never_started);
  f.stop("a");
  CHECK(f.wait_for<worker::stop_answered>(2).status == wire::stop_confirmed);
  CHECK(f.wait_for<worker::ended>().event.end() == wire::stopped);
  CHECK(f.fleet->ledger().starts() == 1);
}

TEST_CASE("a start at a frozen worker is unanswered, and runs later") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::freeze);
  f.start("a");
  f.wait_for<worker::start_unanswered>();
  f.inject(standin::none);
  CHECK(f.wait_for<worker::ended>().event.key().request_id() == "a");
}

TEST_CASE("unwatching a worker reports every start") {
  fixture f;
  f.watch_and_wait();
  f.start("sent");
  f.start("waiting");
  f.adapter->handle(worker::unwatch{"w0"});
  f.read_reports();
  REQUIRE(f.reports_of<worker::start_unanswered>().size() == 1);
  CHECK(f.reports_of<worker::start_unanswered>()[0].key.request_id == "sent");
  REQUIRE(f.reports_of<worker::start_answered>().size() == 1);
  CHECK(f.reports_of<worker::start_answered>()[0].status == wire::rejected);
  f.start("unknown");
  f.read_reports();
  CHECK(f.reports_of<worker::start_answered>()[1].status == wire::rejected);
}

TEST_CASE("polls stop while reports are unread; missed events cause a fence") {
  fixture_options options;
  options.channel_capacity = 2;
  options.retention = milliseconds(20);
  fixture f(options);
  f.watch_and_wait();
  // The poll in flight returns the first ends; no poll reads the later ones.
  for (int i = 0; i < 40; ++i) {
    f.start("r" + std::to_string(i), i < 20 ? "run_ms=10" : "run_ms=60");
  }
  f.run_without_reading_until([&] { return f.fleet->ledger().ends() == 40; });
  std::uint64_t calls = f.adapter->traffic().calls;
  // The worker discards the events that are not read.
  std::chrono::steady_clock::time_point wait_end =
      std::chrono::steady_clock::now() + milliseconds(60);
  f.run_without_reading_until(
      [&] { return std::chrono::steady_clock::now() >= wait_end; });
  CHECK(f.adapter->traffic().calls <= calls + 3);
  f.run_until([&] {
    return f.reports_of<worker::start_answered>().size() == 40 &&
           f.reports_of<worker::fenced>().size() >= 2;
  });
}

TEST_CASE("leases expire at a worker whose replies are all lost") {
  fixture_options options;
  options.adapter.task_lease = milliseconds(400);
  options.adapter.call_timeout = milliseconds(50);
  fixture f(options);
  f.watch_and_wait();
  f.start("a", "", wire::service);
  f.wait_for<worker::start_answered>();
  f.inject(standin::drop_answers);
  // Calls still reach the worker: the lease would never expire if the adapter
  // continued to renew it.
  const std::chrono::steady_clock::time_point limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  f.run_until([&] {
    return f.fleet->ledger().leases_expired() == 1 ||
           std::chrono::steady_clock::now() >= limit;
  });
  CHECK(f.fleet->ledger().leases_expired() == 1);
  // The worker gets no starts either, so that it can safely be declared lost
  // after it was unresponsive for one and a half leases.
  f.start("b");
  f.wait_for<worker::start_answered>(2);
  CHECK(f.reports_of<worker::start_answered>()[1].status == wire::rejected);
  CHECK(f.fleet->ledger().starts() == 1);
}

TEST_CASE("a worker is unresponsive from the first call without a reply") {
  fixture_options options;
  options.adapter.event_wait = milliseconds(2000);
  fixture f(options);
  f.watch_and_wait();
  // An idle worker sends no reply during a long poll.
  const std::chrono::steady_clock::time_point wait_end =
      std::chrono::steady_clock::now() + milliseconds(1000);
  f.run_without_reading_until(
      [&] { return std::chrono::steady_clock::now() >= wait_end; });
  f.inject(standin::drop_answers);
  f.start("a");
  f.wait_for<worker::start_unanswered>();
  worker::unreachable first = f.wait_for<worker::unreachable>();
  CHECK(first.unresponsive_for < milliseconds(900));
}
