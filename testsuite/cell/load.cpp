#include "cell/load.h"

#include <optional>

namespace ebonygrade::testsuite {

namespace {

constexpr std::size_t kMaxTries = 200;
constexpr milliseconds kRetryInterval{50};

}  // namespace

load::load(cell& cell, const load_options& options)
    : cell_(cell), options_(options) {}

load::~load() {
  cancelled_ = true;
  finish();
}

void load::start() {
  for (std::size_t i = 0; i < options_.callers; ++i) {
    threads_.emplace_back([this, i] { run_caller(i); });
  }
}

void load::finish() {
  for (std::thread& each : threads_) each.join();
  threads_.clear();
}

std::size_t load::count(wire::outcome_kind kind) const {
  std::size_t total = 0;
  for (const auto& [id, outcome] : outcomes_) {
    if (outcome.kind() == kind) ++total;
  }
  return total;
}

std::size_t load::without_outcome() const {
  return options_.callers * options_.requests - outcomes_.size();
}

void load::run_caller(std::size_t caller) {
  for (std::size_t i = 0; i < options_.requests; ++i) {
    const std::string id = options_.prefix + "-" + std::to_string(caller) +
                           "-" + std::to_string(i);
    submit_one(make_request(id, options_.idempotent, options_.runtime),
               caller + i);
    ++ended_;
  }
}

void load::submit_one(const wire::job_request& request,
                      std::size_t first_entry) {
  for (std::size_t attempt = 0; attempt < kMaxTries && !cancelled_; ++attempt) {
    const std::size_t entry =
        options_.entries[(first_entry + attempt) % options_.entries.size()];
    if (options_.only_ready && !cell_.daemon_ready(entry)) continue;
    const std::optional<wire::request_status> status =
        cell_.submit(entry, request, options_.wait);
    if (status && status->outcome().kind() != wire::pending) {
      const std::lock_guard<std::mutex> lock(mutex_);
      outcomes_[request.id()] = status->outcome();
      return;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace ebonygrade::testsuite
