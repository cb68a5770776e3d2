#include "poold/admission_gate.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "events/events.h"
#include "metrics/text.h"
#include "pool/manifest.h"

namespace ebonygrade::poold {

namespace {

// While there is no owner, daemons append by themselves, and callers who got no
// answer come back at other daemons within their time limit of about 3 s.
constexpr milliseconds kAdmitAllTime{5000};
// Daemons announce themselves every second. A caller of a daemon that lost its
// owner waits for a second at least before it tries another daemon.
constexpr milliseconds kSilentAfter{1600};
// A daemon that is silent for longer has ended, or its callers have left.
constexpr milliseconds kForgetDaemonAfter{12500};
// Longer than callers repeat a submission.
constexpr milliseconds kAdmittedPeriod{60000};
constexpr std::size_t kMaxAdmitted = 65536;
constexpr std::size_t kMaxHeld = 1024;
constexpr std::size_t kMaxEventsPerSecond = 10;

std::optional<wire::job_submission> submission_of(const jobs::record& record) {
  wire::job_submission submission;
  bool valid = !record.key.empty() &&
               record.key == jobs::submission_key(
                                 std::string_view(record.key).substr(1)) &&
               submission.ParseFromString(record.value);
  if (!valid) return std::nullopt;
  return submission;
}

pool::queue_policy policy_of(const pool::pool_state& pool,
                             const wire::job_submission& submission) {
  std::unordered_map<std::string, pool::queue_policy>::const_iterator found =
      pool.queues.find(submission.queue());
  return found == pool.queues.end() ? pool::from_terms(submission)
                                    : found->second;
}

}  // namespace

admission_gate::admission_gate(pool::pool_state& pool,
                               measurements& measurements, steady_time now)
    : pool_(pool),
      measurements_(measurements),
      admit_all_until_(now + kAdmitAllTime),
      admitted_(kAdmittedPeriod, kMaxAdmitted) {}

void admission_gate::offer(const jobs::record& record, bool maybe_stored,
                           steady_time now, pool::unix_time wall,
                           handler decided) {
  std::optional<wire::job_submission> submission = submission_of(record);
  if (!submission) return decided(std::nullopt);
  pool::admission_request request = pool::request_of(
      record.key.substr(1), *submission, policy_of(pool_, *submission));
  request.over_share = pool::is_share_used(pool_, submission->tenant(), wall);
  if (maybe_stored) admitted_.add(request.id, now);
  pool::admission_verdict verdict =
      pool::judge(pool_.admission, request, now, wall);
  if (verdict.accepted || held_.size() >= kMaxHeld ||
      may_be_stored(request.id, now)) {
    return admit(request, verdict, now, wall, decided);
  }
  held_.push_back({std::move(request), now, std::move(decided)});
}

bool admission_gate::may_be_stored(const std::string& job, steady_time now) {
  if (now < admit_all_until_) return true;
  std::erase_if(daemons_, [now](const auto& each) {
    return now - each.second > kForgetDaemonAfter;
  });
  bool silent = std::any_of(
      daemons_.begin(), daemons_.end(),
      [now](const auto& each) { return now - each.second > kSilentAfter; });
  return silent || pool_.jobs.count(job) > 0 ||
         pool_.ended_jobs.count(job) > 0 || admitted_.may_contain(job, now);
}

void admission_gate::admit(const pool::admission_request& request,
                           const pool::admission_verdict& verdict,
                           steady_time now, pool::unix_time wall,
                           const handler& decided) {
  // A repeated job is counted once.
  bool repeated = pool_.jobs.count(request.id) > 0 ||
                  pool_.ended_jobs.count(request.id) > 0 ||
                  pool_.admission.predictions.count(request.id) > 0;
  if (!repeated) {
    pool::admission_verdict accepted = verdict;
    accepted.accepted = true;
    pool::record_verdict(&pool_.admission, request, accepted, now, wall);
  }
  admitted_.add(request.id, now);
  decided(std::nullopt);
}

void admission_gate::settle(steady_time current_as_of, steady_time now,
                            pool::unix_time wall) {
  std::vector<held_refusal> waiting;
  for (held_refusal& each : std::exchange(held_, {})) {
    bool current = current_as_of > each.arrived;
    bool expired = now - each.arrived > kMaxHoldTime;
    if (!current && !expired) {
      waiting.push_back(std::move(each));
      continue;
    }
    pool::admission_verdict verdict =
        pool::judge(pool_.admission, each.request, now, wall);
    bool refused =
        current && !verdict.accepted && !may_be_stored(each.request.id, now);
    if (refused) {
      refuse(each, verdict, now, wall);
    } else {
      admit(each.request, verdict, now, wall, each.decided);
    }
  }
  for (held_refusal& each : waiting) held_.push_back(std::move(each));
}

void admission_gate::refuse(const held_refusal& held,
                            const pool::admission_verdict& verdict,
                            steady_time now, pool::unix_time wall) {
  pool::record_verdict(&pool_.admission, held.request, verdict, now, wall);
  emit_refusal(held, verdict, now);
  held.decided(verdict.retry_after);
}

void admission_gate::emit_refusal(const held_refusal& held,
                                  const pool::admission_verdict& verdict,
                                  steady_time now) {
  if (now - events_since_ >= std::chrono::seconds(1)) {
    events_since_ = now;
    events_ = 0;
  }
  if (++events_ > kMaxEventsPerSecond) {
    ++unlogged_;
    return;
  }
  const pool::admission_request& request = held.request;
  events::emit(
      events::id::submission_refused, "write", "",
      "job={} queue={} priority={} cpu={} predicted_wait_ms={} "
      "predicted_end_ms={} value_end_ms={} retry_after_s={} unlogged={}",
      request.id, request.queue, request.priority, request.width_cpu_milli,
      verdict.predicted_wait.value_or(milliseconds(0)).count(),
      verdict.predicted_end.count(), verdict.value_end.count(),
      verdict.retry_after.count(), std::exchange(unlogged_, 0));
}

void admission_gate::stop() {
  for (held_refusal& each : std::exchange(held_, {})) {
    each.decided(std::nullopt);
  }
}

void admission_gate::on_submission(const std::string& job, steady_time now) {
  // Otherwise another daemon has appended it, and may be appending more.
  if (!admitted_.may_contain(job, now)) on_direct_append(now);
}

void admission_gate::on_direct_append(steady_time now) {
  admit_all_until_ = now + kAdmitAllTime;
}

void admission_gate::on_daemon(const std::string& daemon, steady_time now) {
  daemons_[daemon] = now;
}

void admission_gate::on_job_event(const pool::job_event& event) {
  if (event.kind == pool::job_event_kind::job_ended) {
    return pool::forget_prediction(&pool_.admission, event.job);
  }
  bool first_start =
      event.kind == pool::job_event_kind::placed && event.since_accepted;
  if (!first_start) return;
  std::optional<pool::predicted_wait> found = pool::observe_first_start(
      &pool_.admission, event.job, *event.since_accepted);
  if (!found) return;
  measurements_.predicted_waits.record(found->queue, found->predicted);
  measurements_.actual_waits.record(found->queue, *event.since_accepted);
}

void admission_gate::append_metrics(std::string* text) const {
  metrics::append_header(
      text, "ebonygrade_pool_refused_submissions_total", "counter",
      "Submissions that were refused, as they couldn't be served in time.");
  for (const std::pair<const std::string, pool::queue_record>& each :
       pool_.admission.queues) {
    text->append(fmt::format(
        "ebonygrade_pool_refused_submissions_total{{queue=\"{}\"}} {}\n",
        each.first.empty() ? "other" : each.first, each.second.refused));
  }
}

http::response refusal_response(std::chrono::seconds retry_after) {
  http::response reply = http::error_response(
      http::status::too_many_requests,
      "not run: the job can't be served in time, come back later");
  reply.set(boost::beast::http::field::retry_after,
            std::to_string(retry_after.count()));
  return reply;
}

std::chrono::seconds retry_after_of(const http::response& reply) {
  boost::beast::string_view text =
      reply[boost::beast::http::field::retry_after];
  std::int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(std::max<std::int64_t>(1, seconds));
}

}  // namespace ebonygrade::poold
