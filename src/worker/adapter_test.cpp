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

constexpr std::chrono::seconds kPatience{20};
constexpr std::size_t kRing = 4096;

struct fixture_options {
  worker::adapter_options adapter;
  std::size_t ring = kRing;
  milliseconds retention{60000};
  std::size_t workers = 1;

  fixture_options() {
    adapter.self = "d1";
    adapter.call_timeout = milliseconds(100);
    adapter.event_wait = milliseconds(300);
    adapter.retry_pause = milliseconds(5);
  }
};

// Adapter and stand-in workers on one context, the reports' reader on another.
struct fixture {
  asio::io_context context;
  asio::io_context reader;
  ebonygrade::clock::system_clock clock;
  ring::channel<worker::report> channel;
  std::vector<worker::report> reports;
  std::optional<standin::worker::fleet> fleet;
  std::optional<worker::adapter> adapter;

  explicit fixture(const fixture_options& options = {})
      : channel(reader, options.ring) {
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
  void run_unread_until(const std::function<bool()>& met) {
    while (!met()) {
      context.restart();
      REQUIRE(context.run_one_for(kPatience) > 0);
    }
  }
  void run_until(const std::function<bool()>& met) {
    run_unread_until([&] {
      read_reports();
      return met();
    });
  }
  template <typename kind>
  std::vector<kind> all() const {
    std::vector<kind> found;
    for (const worker::report& report : reports) {
      if (const kind* each = std::get_if<kind>(&report)) {
        found.push_back(*each);
      }
    }
    return found;
  }
  template <typename kind>
  kind wait_for(std::size_t number = 1) {
    run_until([&] { return all<kind>().size() >= number; });
    return all<kind>()[number - 1];
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
             wire::job_class kind = wire::batch, job::epoch epoch = 1) {
    worker::start command{"w0", epoch, {}};
    command.task.mutable_key()->set_request_id(id);
    command.task.mutable_key()->set_attempt(1);
    command.task.set_payload(payload);
    command.task.set_class_(kind);
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

TEST_CASE("starts are batched, each is answered once and its end reported") {
  fixture f;
  f.watch_and_wait();
  constexpr std::size_t kTasks = 200;
  for (std::size_t i = 0; i < kTasks; ++i) f.start("r" + std::to_string(i));
  f.wait_for<worker::ended>(kTasks);
  CHECK(f.all<worker::start_answered>().size() == kTasks);
  CHECK(f.all<worker::start_unanswered>().empty());
  CHECK(f.all<worker::ended>()[0].event.output() == "ok");
  CHECK(f.adapter->traffic().calls < kTasks / 4);
}

TEST_CASE("a silent connection is replaced and loses no event") {
  fixture f;
  f.watch_and_wait();
  f.start("a", "run_ms=50");
  f.wait_for<worker::start_answered>();
  f.inject(standin::silent);
  f.start("b");
  worker::start_unanswered lost = f.wait_for<worker::start_unanswered>();
  CHECK(lost.key.request_id == "b");
  CHECK(lost.cause.code == ebonygrade::error::code::timeout);
  f.wait_for<worker::ended>();
  f.start("c");
  f.wait_for<worker::start_answered>(2);
  f.wait_for<worker::ended>(2);
  CHECK(f.fleet->connection_count("w0") <= 3);
}

TEST_CASE("a start whose answer is lost is unanswered, its end still comes") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::drop_answers);
  f.start("a");
  f.wait_for<worker::start_unanswered>();
  f.inject(standin::none);
  CHECK(f.wait_for<worker::ended>().event.key().request_id() == "a");
  CHECK(f.all<worker::start_answered>().empty());
}

TEST_CASE("a start that surely never left is rejected") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::kill);
  f.start("a");
  f.start("b");
  f.run_until([&] {
    return f.all<worker::start_answered>().size() +
               f.all<worker::start_unanswered>().size() ==
           2;
  });
  CHECK(f.all<worker::start_answered>().back().status == wire::rejected);
  CHECK(f.fleet->ledger().starts() == 0);
}

TEST_CASE("a silent worker is reported at each call timeout") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::kill);
  worker::unreachable first = f.wait_for<worker::unreachable>(1);
  worker::unreachable third = f.wait_for<worker::unreachable>(3);
  CHECK(third.unresponsive_for >= first.unresponsive_for + milliseconds(200));
  CHECK(third.cause.peer == f.fleet->list().workers(0).address());
}

TEST_CASE("a reboot is reported and the worker fenced anew") {
  fixture f;
  f.watch_and_wait();
  f.start("a", "", wire::service);
  f.wait_for<worker::start_answered>();
  f.inject(standin::reboot);
  f.wait_for<worker::rebooted>();
  worker::fenced again = f.wait_for<worker::fenced>(2);
  CHECK(again.reply.tasks_size() == 0);
  f.start("b");
  f.wait_for<worker::ended>();
}

TEST_CASE("a higher epoch at the worker supersedes the owner") {
  fixture f;
  f.watch_and_wait(1);
  worker::adapter_options options = fixture_options().adapter;
  ring::channel<worker::report> other_channel(f.reader, kRing);
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

TEST_CASE("leases are renewed while followed and run out when forgotten") {
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

TEST_CASE("a task is stopped, a start that has not left is revoked") {
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

TEST_CASE("a frozen worker's starts are unanswered, not lost") {
  fixture f;
  f.watch_and_wait();
  f.inject(standin::freeze);
  f.start("a");
  f.wait_for<worker::start_unanswered>();
  f.inject(standin::none);
  CHECK(f.wait_for<worker::ended>().event.key().request_id() == "a");
}

TEST_CASE("forgetting a worker answers every start") {
  fixture f;
  f.watch_and_wait();
  f.start("sent");
  f.start("waiting");
  f.adapter->handle(worker::unwatch{"w0"});
  f.read_reports();
  REQUIRE(f.all<worker::start_unanswered>().size() == 1);
  CHECK(f.all<worker::start_unanswered>()[0].key.request_id == "sent");
  REQUIRE(f.all<worker::start_answered>().size() == 1);
  CHECK(f.all<worker::start_answered>()[0].status == wire::rejected);
  f.start("unknown");
  f.read_reports();
  CHECK(f.all<worker::start_answered>()[1].status == wire::rejected);
}

TEST_CASE("unread reports hold back polls; missed events cause a fence") {
  fixture_options options;
  options.ring = 2;
  options.retention = milliseconds(20);
  fixture f(options);
  f.watch_and_wait();
  // The poll in flight takes the first ends; nothing reads the later ones.
  for (int i = 0; i < 40; ++i) {
    f.start("r" + std::to_string(i), i < 20 ? "run_ms=10" : "run_ms=60");
  }
  f.run_unread_until([&] { return f.fleet->ledger().ends() == 40; });
  std::uint64_t calls = f.adapter->traffic().calls;
  // The worker forgets the events that are not read.
  std::chrono::steady_clock::time_point later =
      std::chrono::steady_clock::now() + milliseconds(60);
  f.run_unread_until([&] { return std::chrono::steady_clock::now() >= later; });
  CHECK(f.adapter->traffic().calls <= calls + 3);
  f.run_until([&] {
    return f.all<worker::start_answered>().size() == 40 &&
           f.all<worker::fenced>().size() >= 2;
  });
}

TEST_CASE("leases run out at a worker whose answers are all lost") {
  fixture_options options;
  options.adapter.task_lease = milliseconds(400);
  options.adapter.call_timeout = milliseconds(50);
  fixture f(options);
  f.watch_and_wait();
  f.start("a", "", wire::service);
  f.wait_for<worker::start_answered>();
  f.inject(standin::drop_answers);
  // Renewals still arrive; were they sent on, the lease would never end.
  const std::chrono::steady_clock::time_point limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  f.run_until([&] {
    return f.fleet->ledger().leases_expired() == 1 ||
           std::chrono::steady_clock::now() >= limit;
  });
  CHECK(f.fleet->ledger().leases_expired() == 1);
  // Nothing is started there either, so that giving the worker up after one
  // and a half leases of silence is safe.
  f.start("b");
  f.wait_for<worker::start_answered>(2);
  CHECK(f.all<worker::start_answered>()[1].status == wire::rejected);
  CHECK(f.fleet->ledger().starts() == 1);
}

TEST_CASE("silence counts from the first call without an answer") {
  fixture_options options;
  options.adapter.event_wait = milliseconds(2000);
  fixture f(options);
  f.watch_and_wait();
  // An idle worker has nothing to answer while it is polled.
  const std::chrono::steady_clock::time_point later =
      std::chrono::steady_clock::now() + milliseconds(1000);
  f.run_unread_until([&] { return std::chrono::steady_clock::now() >= later; });
  f.inject(standin::drop_answers);
  f.start("a");
  f.wait_for<worker::start_unanswered>();
  worker::unreachable first = f.wait_for<worker::unreachable>();
  CHECK(first.unresponsive_for < milliseconds(900));
}
