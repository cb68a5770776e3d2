// Daemons and callers while the store is slow or loses replies.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"
#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

constexpr std::size_t kDaemons = 6;
constexpr milliseconds kSubmitInterval{10};
// As many daemons as the users' bench has.
constexpr std::size_t kManyDaemons = 31;
constexpr milliseconds kWarmUp{1500};
constexpr milliseconds kCallerTimeLimit{3000};
constexpr milliseconds kCallerTimeout{4000};
constexpr std::size_t kCallerConnections = 200;
constexpr standin::store_times kHealthyTimes{milliseconds(2), milliseconds(4)};

struct load_result {
  std::size_t sent = 0;
  std::size_t accepted = 0;
  std::size_t refused = 0;       // 503 with Retry-After.
  std::size_t unknown = 0;       // 504, or no reply.
  std::size_t late_replies = 0;  // After the callers' time limit.
  std::uint64_t appends = 0;
  std::size_t takeovers = 0;
  std::size_t direct_writers = 0;  // Daemons that appended for callers.
  std::size_t stored_twice = 0;
  std::vector<milliseconds> reply_times;    // Of accepted jobs.
  std::vector<milliseconds> refusal_times;  // Of refused jobs.
};

std::string job_id(std::size_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016zx", number + 1);
  return text;
}

milliseconds quantile(std::vector<milliseconds> times, double share) {
  if (times.empty()) return milliseconds(0);
  std::sort(times.begin(), times.end());
  return times[static_cast<std::size_t>(share *
                                        static_cast<double>(times.size() - 1))];
}

struct loaded_cell : cell {
  std::vector<std::unique_ptr<http::client>> callers;
  std::size_t next_job = 0;
  std::size_t open_calls = 0;
  std::vector<std::size_t> accepted_jobs;  // Numbers, of all loads.

  explicit loaded_cell(std::size_t daemons = kDaemons) {
    store.set_times(kHealthyTimes);
    // The callers' client names the daemon's address as the host.
    std::string manifest = kManifest;
    manifest.replace(manifest.find(kHost), std::string(kHost).size(),
                     "127.0.0.1");
    store.put("keyed.op", "config", manifest);
    for (std::size_t i = 0; i < daemons; ++i) {
      add_node("n" + std::to_string(i));
    }
    REQUIRE(wait_until([&] {
      bool ready = std::all_of(
          nodes.begin(), nodes.end(),
          [](const std::unique_ptr<node>& each) { return each->is_ready(); });
      return ready && owner_index() < nodes.size();
    }));
    http::client_options options;
    options.connections = kCallerConnections;
    for (std::size_t i = 0; i < daemons; ++i) {
      callers.push_back(std::make_unique<http::client>(
          context, caller_addresses[i], options));
    }
  }

  std::size_t owner_index() const {
    std::size_t i = 0;
    while (i < nodes.size() && !nodes[i]->owns_pool()) ++i;
    return i;
  }

  void submit_one(load_result* result) {
    std::size_t number = next_job++;
    http::request request{http::verb::post, "/q/" + job_id(number),
                          http::kHttpVersion11};
    request.set("X-Deadline-Ms", std::to_string(kCallerTimeLimit.count()));
    request.body() = kBody;
    request.prepare_payload();
    steady_time sent = clock.now();
    ++result->sent;
    ++open_calls;
    http::client& caller = *callers[number % callers.size()];
    caller.call(
        "submit", std::move(request), kCallerTimeout,
        [this, number, result, sent](http::call_result&& reply) {
          --open_calls;
          milliseconds taken =
              std::chrono::duration_cast<milliseconds>(clock.now() - sent);
          if (taken > kCallerTimeLimit) ++result->late_replies;
          if (reply.has_error()) {
            ++result->unknown;
          } else if (reply->result() == http::status::ok) {
            ++result->accepted;
            accepted_jobs.push_back(number);
            result->reply_times.push_back(taken);
          } else if (reply->result() == http::status::service_unavailable) {
            ++result->refused;
            result->refusal_times.push_back(taken);
          } else {
            ++result->unknown;
          }
        });
  }

  // Submits at a steady rate for `duration`.
  void submit_for(milliseconds duration, load_result* result) {
    steady_time next = clock.now();
    steady_time end = next + duration;
    while (clock.now() < end) {
      for (; next <= clock.now(); next += kSubmitInterval) submit_one(result);
      context.run_one_for(next - clock.now());
    }
  }

  void finish_calls() {
    REQUIRE(wait_until([&] { return open_calls == 0; }));
  }

  std::size_t claims() {
    std::set<std::uint64_t> epochs;
    for (const standin::stored_record& each : store.records("keyed.journal")) {
      wire::ownership_record owner;
      if (each.key == jobs::kOwnerKey && owner.ParseFromString(each.value)) {
        epochs.insert(owner.epoch());
      }
    }
    return epochs.size();
  }

  // Whether the newest record of the job's submission is not a deletion.
  bool is_stored(std::size_t number) {
    const std::vector<standin::stored_record>& records =
        store.records("keyed.journal");
    std::string key = jobs::submission_key(job_id(number));
    auto newest = std::find_if(
        records.rbegin(), records.rend(),
        [&](const standin::stored_record& each) { return each.key == key; });
    return newest != records.rend() && !newest->value.empty();
  }

  // Accepted jobs that the journal doesn't hold, or that the owner doesn't
  // report as pending. No job starts in a cell without workers.
  std::vector<std::string> lost_jobs() {
    std::size_t owner = owner_index();
    REQUIRE(owner < nodes.size());
    std::vector<std::string> lost;
    for (std::size_t number : accepted_jobs) {
      std::string id = job_id(number);
      std::string state;
      ++open_calls;
      callers[owner]->call(
          "read state",
          http::request{http::verb::get, "/q/" + id, http::kHttpVersion11},
          kCallerTimeout, [this, &state](http::call_result&& reply) {
            --open_calls;
            if (reply.has_value()) state = reply->body();
          });
      finish_calls();
      bool reported = state == R"({"state":"pending"})";
      if (!is_stored(number) || !reported) lost.push_back(id);
    }
    return lost;
  }

  // A store that is `factor` times slower for `duration`.
  load_result run(int factor, double lost_share, milliseconds duration) {
    load_result before;
    load_result result;
    submit_for(kWarmUp, &before);
    std::uint64_t appends = store.appends();
    std::size_t claims_before = claims();
    std::size_t writers_before = store.producers("keyed.journal").size();
    store.set_times(
        {kHealthyTimes.append * factor, kHealthyTimes.answer * factor});
    store.lose_replies(lost_share);
    submit_for(duration, &result);
    result.appends = store.appends() - appends;
    store.set_times(kHealthyTimes);
    store.lose_replies(0);
    submit_for(kWarmUp, &before);
    finish_calls();
    result.takeovers = claims() - claims_before;
    result.direct_writers =
        store.producers("keyed.journal").size() - writers_before;
    std::multiset<std::string> stored;
    for (const standin::stored_record& each : store.records("keyed.journal")) {
      if (each.key.starts_with(jobs::submission_key(""))) {
        stored.insert(each.key);
      }
    }
    std::set<std::string> distinct(stored.begin(), stored.end());
    result.stored_twice = stored.size() - distinct.size();
    return result;
  }
};

// Guards against appends that are given up before the store replies, daemons
// that append beside the owner, and takeovers from an owner that waits.
TEST_CASE("jobs are accepted while the store is slow") {
  loaded_cell test;
  load_result got = test.run(92, 0, milliseconds(2500));
  CAPTURE(got.sent, got.accepted, got.refused, got.unknown);
  CHECK(got.accepted * 10 >= got.sent * 9);
  CHECK(got.late_replies == 0);
  CHECK(got.takeovers == 0);
  CHECK(got.direct_writers == 0);
  CHECK(got.stored_twice == 0);
  CHECK(got.appends <= 10);
}

// Guards against records that are stored twice, and against daemons that append
// beside a live owner, when replies are lost.
TEST_CASE("lost replies of a slow store lose no accepted job") {
  loaded_cell test;
  load_result got = test.run(30, 1.0 / 3, milliseconds(2500));
  CAPTURE(got.sent, got.accepted, got.refused, got.unknown);
  CHECK(got.accepted * 2 >= got.sent);
  CHECK(got.takeovers == 0);
  CHECK(got.direct_writers == 0);
  CHECK(got.stored_twice == 0);
  CHECK(test.accepted_jobs.size() >= got.accepted);
  CHECK(test.lost_jobs() == std::vector<std::string>());
}

// Guards against claims that pile up on a slow store, or that wait for an owner
// that is dead.
TEST_CASE("a dead owner is replaced while the store is slow") {
  loaded_cell test;
  load_result load;
  test.submit_for(kWarmUp, &load);
  test.store.set_times({kHealthyTimes.append * 92, kHealthyTimes.answer * 92});
  test.submit_for(milliseconds(1500), &load);
  test.finish_calls();
  std::size_t claims_before = test.claims();
  std::size_t owner = test.owner_index();
  REQUIRE(owner < kDaemons);
  steady_time died = test.clock.now();
  test.nodes[owner].reset();
  test.nodes.erase(test.nodes.begin() + static_cast<std::ptrdiff_t>(owner));
  CHECK(
      test.wait_until([&] { return test.owner_index() < test.nodes.size(); }));
  milliseconds taken =
      std::chrono::duration_cast<milliseconds>(test.clock.now() - died);
  CAPTURE(taken.count());
  CHECK(taken < milliseconds(4000));
  CHECK(test.claims() <= claims_before + 3);
}

// Prints a row of the table in docs/design/slow-store.md.
TEST_CASE("measure a slow store", "[.measure]") {
  struct store_case {
    const char* name;
    int factor;
    double lost_share;
    std::size_t daemons = kDaemons;
  };
  constexpr milliseconds kDuration{5000};
  for (const store_case& each :
       {store_case{"x1", 1, 0}, store_case{"x10", 10, 0},
        store_case{"x30", 30, 0}, store_case{"x92", 92, 0},
        store_case{"x100", 100, 0}, store_case{"x1, third lost", 1, 1.0 / 3},
        store_case{"x30, third lost", 30, 1.0 / 3},
        store_case{"x92, third lost", 92, 1.0 / 3},
        store_case{"x92, 31 daemons", 92, 0, kManyDaemons},
        store_case{"x110, 31 daemons", 110, 0, kManyDaemons}}) {
    loaded_cell test(each.daemons);
    load_result got = test.run(each.factor, each.lost_share, kDuration);
    double seconds = static_cast<double>(kDuration.count()) / 1000;
    std::printf(
        "| %s | %.1f of %.1f | %zu | %zu | %d | %d | %d | %.3f | %zu | "
        "%zu | %zu |\n",
        each.name, static_cast<double>(got.accepted) / seconds,
        static_cast<double>(got.sent) / seconds, got.refused, got.unknown,
        static_cast<int>(quantile(got.reply_times, 0.5).count()),
        static_cast<int>(quantile(got.reply_times, 0.95).count()),
        static_cast<int>(quantile(got.refusal_times, 0.95).count()),
        static_cast<double>(got.appends) /
            static_cast<double>(std::max<std::size_t>(1, got.accepted)),
        got.takeovers, got.late_replies, got.stored_twice);
    std::fflush(stdout);
  }
}

}  // namespace

}  // namespace ebonygrade::poold
