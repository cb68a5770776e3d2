// Daemons and callers while the store applies appends seconds late and without
// a reply: what callers were told must agree with the journal.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"
#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

constexpr std::size_t kDaemons = 5;
constexpr std::size_t kCallerConnections = 200;
constexpr milliseconds kSubmitInterval{12};
constexpr milliseconds kCallerTimeLimit{3000};
constexpr milliseconds kCallerTimeout{4000};
constexpr std::size_t kMaxTries = 4;
constexpr standin::store_times kHealthyTimes{milliseconds(2), milliseconds(4)};
constexpr char kJournal[] = "keyed.journal";

std::string job_id(std::size_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016zx", number + 1);
  return text;
}

// Statuses of the replies to one kind of call about a job; 0: no reply.
struct told {
  std::vector<unsigned> replies;

  bool has(unsigned status) const {
    return std::find(replies.begin(), replies.end(), status) != replies.end();
  }
  // Whether every reply said that nothing was done.
  bool only_refused() const {
    return !replies.empty() &&
           std::all_of(replies.begin(), replies.end(), [](unsigned each) {
             return each == 503 || each == 429 || each == 410;
           });
  }
  // Whether the last reply said that nothing was done.
  bool refused_at_last() const {
    return !replies.empty() && (replies.back() == 503 || replies.back() == 429);
  }
};

struct told_job {
  told submissions;
  told cancellations;
};

bool is_unknown(unsigned status) {
  return status == 0 || status == 502 || status == 504;
}

struct late_cell : cell {
  std::vector<std::unique_ptr<http::client>> callers;
  std::map<std::string, told_job> jobs;
  std::size_t open_calls = 0;
  std::size_t next_job = 0;

  explicit late_cell(std::size_t daemons = kDaemons) {
    store.set_times(kHealthyTimes);
    // The callers' client names the daemon's address as the host.
    std::string manifest = kManifest;
    manifest.replace(manifest.find(kHost), std::string(kHost).size(),
                     "127.0.0.1");
    store.put("keyed.op", "config", manifest);
    for (std::size_t i = 0; i < daemons; ++i) {
      add_node("n" + std::to_string(i));
    }
    http::client_options options;
    options.connections = kCallerConnections;
    for (std::size_t i = 0; i < daemons; ++i) {
      callers.push_back(std::make_unique<http::client>(
          context, caller_addresses[i], options));
    }
    REQUIRE(wait_until([&] { return has_owner() && all_ready(); }));
  }

  bool all_ready() const {
    return std::all_of(nodes.begin(), nodes.end(),
                       [](const std::unique_ptr<node>& each) {
                         return !each || each->is_ready();
                       });
  }
  std::size_t owner_index() const {
    std::size_t i = 0;
    while (i < nodes.size() && !(nodes[i] && nodes[i]->owns_pool())) ++i;
    return i;
  }
  bool has_owner() const { return owner_index() < nodes.size(); }

  void send(std::size_t daemon, http::verb method, const std::string& job,
            const std::string& body, std::function<void(unsigned)> handler) {
    http::request request{method, "/q/" + job, http::kHttpVersion11};
    request.set("X-Deadline-Ms", std::to_string(kCallerTimeLimit.count()));
    request.body() = body;
    request.prepare_payload();
    ++open_calls;
    callers[daemon % callers.size()]->call(
        "call", std::move(request), kCallerTimeout,
        [this, handler = std::move(handler)](http::call_result&& reply) {
          --open_calls;
          handler(reply.has_error() ? 0 : reply->result_int());
        });
  }

  // Repeats a submission without a definite reply at other daemons, as callers
  // do. An accepted job is cancelled or submitted again at another daemon.
  void submit_job(const std::string& job, std::size_t daemon,
                  std::size_t tries = 1) {
    send(daemon, http::verb::post, job, kBody, [=, this](unsigned status) {
      jobs[job].submissions.replies.push_back(status);
      if (is_unknown(status) && tries < kMaxTries) {
        return submit_job(job, daemon + 1, tries + 1);
      }
      if (status != 200 || tries > kMaxTries) return;
      std::size_t kind = std::hash<std::string>()(job) % 4;
      if (kind <= 1) cancel_job(job, daemon + 2);
      if (kind >= 1) submit_job(job, daemon + 3, kMaxTries + 1);
    });
  }

  // Repeats a cancellation that isn't acknowledged at other daemons.
  void cancel_job(const std::string& job, std::size_t daemon,
                  std::size_t tries = 1) {
    send(daemon, http::verb::delete_, job, "", [=, this](unsigned status) {
      jobs[job].cancellations.replies.push_back(status);
      if (status != 200 && status != 410 && tries < kMaxTries) {
        cancel_job(job, daemon + 1, tries + 1);
      }
    });
  }

  // Submits at a steady rate for `duration`.
  void submit_for(milliseconds duration) {
    steady_time next = clock.now();
    steady_time end = next + duration;
    while (clock.now() < end) {
      for (; next <= clock.now(); next += kSubmitInterval) {
        std::size_t number = next_job++;
        submit_job(job_id(number), number);
      }
      context.run_one_for(next - clock.now());
    }
  }

  // Ends all calls and waits until no append can be applied any more.
  void settle() {
    REQUIRE(wait_until([&] { return open_calls == 0; }));
    store.apply_late({});
    // Attempts that were waiting in the daemons.
    std::uint64_t appends = store.appends();
    REQUIRE(wait_until([&] {
      return store.appends() > appends + 3 && store.waiting_late_appends() == 0;
    }));
  }

  // Offset of the first record with this key.
  std::optional<std::size_t> first_record(const std::string& key) {
    const std::vector<standin::stored_record>& records =
        store.records(kJournal);
    for (std::size_t i = 0; i < records.size(); ++i) {
      if (records[i].key == key && !records[i].value.empty()) return i;
    }
    return std::nullopt;
  }

  std::size_t accepted() const {
    return static_cast<std::size_t>(std::count_if(
        jobs.begin(), jobs.end(),
        [](const auto& each) { return each.second.submissions.has(200); }));
  }

  // Compares the journal with what callers were told.
  void check_told() {
    std::size_t cancelled = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t refused_after_unknown = 0;
    for (const auto& [job, told] : jobs) {
      CAPTURE(job, told.submissions.replies, told.cancellations.replies);
      std::optional<std::size_t> submission =
          first_record(jobs::submission_key(job));
      std::optional<std::size_t> cancellation =
          first_record(jobs::cancellation_key(job));
      if (told.submissions.has(200)) {
        CHECK(submission.has_value());
      } else if (told.submissions.only_refused()) {
        ++refused;
        CHECK_FALSE(submission.has_value());
      } else {
        ++unknown;
        refused_after_unknown +=
            told.submissions.refused_at_last() && submission.has_value();
      }
      if (told.cancellations.has(200)) {
        ++cancelled;
        CHECK(cancellation.has_value());
      } else if (told.cancellations.replies.empty() ||
                 told.cancellations.only_refused()) {
        CHECK_FALSE(cancellation.has_value());
      }
      if (cancellation) {
        REQUIRE(submission.has_value());
        CHECK(*submission < *cancellation);
      }
    }
    UNSCOPED_INFO("jobs " << jobs.size() << " accepted " << accepted()
                          << " refused " << refused << " unknown " << unknown
                          << " cancelled " << cancelled
                          << " refused after unknown and stored "
                          << refused_after_unknown);
  }

  // Each submission and cancellation is stored once by each writer, and no
  // record of an owner stands after the claim of a later one.
  void check_records() {
    std::set<std::pair<std::string, std::string>> seen;
    std::uint64_t epoch = 0;
    std::size_t repeated = 0;
    std::size_t epochs = 0;
    for (const standin::stored_record& each : store.records(kJournal)) {
      if (each.producer == kOwnerProducer) {
        CHECK(each.epoch >= epoch);
        epochs += each.epoch > epoch;
        epoch = std::max(epoch, each.epoch);
      }
      bool of_caller = each.key.starts_with(jobs::submission_key("")) ||
                       each.key.starts_with(jobs::cancellation_key(""));
      if (!of_caller || each.value.empty()) continue;
      bool is_new = seen.emplace(each.producer, each.key).second;
      repeated += !is_new;
    }
    CAPTURE(epochs, store.producers(kJournal).size());
    CHECK(repeated == 0);
  }
};

// Guards against callers that are told something else than the journal holds,
// when the store applies attempts late and after later ones.
TEST_CASE("what callers were told holds while appends are applied late") {
  for (std::uint32_t seed : {1u, 2u}) {
    CAPTURE(seed);
    late_cell test;
    test.store.apply_late({0.4, milliseconds(100), milliseconds(1200)}, seed);
    test.submit_for(milliseconds(2500));
    test.settle();
    CHECK(test.accepted() > 0);
    CHECK(test.store.applied_late_appends() > 0);
    CHECK(test.store.void_late_appends() > 0);
    test.check_told();
    test.check_records();
  }
}

}  // namespace

}  // namespace ebonygrade::poold
