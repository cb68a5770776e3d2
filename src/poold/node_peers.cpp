// The peer address: calls between daemons, and the metrics.
#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "http/json.h"
#include "poold/node.h"
#include "poold/peer_paths.h"
#include "poold/tenant_reports.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kProbeTimeout{350};
// Limits how long a caller's state query waits for the owner.
constexpr milliseconds kEndQueryTimeout{250};
// Writes to a slow store hold a connection each; a daemon takes some 10 a
// second.
constexpr std::size_t kOwnerConnections = 32;
// Between interim replies to a relayed read; below the time without progress
// after which its sender gives up.
constexpr milliseconds kInterimInterval{200};

}  // namespace

void node::connect_owner() {
  const std::string& address = table_.owner.record.peer_address();
  if (address.empty() || address == settings_.peer_address) return;
  if (address == owner_address_) return;
  owner_address_ = address;
  owner_unconfirmed_ = false;
  owner_replied_at_ = {};
  owner_confirmed_at_ = {};
  std::unique_ptr<http::client> former_link = std::move(owner_link_);
  std::unique_ptr<http::client> former_probe = std::move(owner_probe_);
  std::unique_ptr<http::client> former_notices = std::move(owner_notices_);
  http::client_options options;
  options.connections = kOwnerConnections;
  owner_link_ = std::make_unique<http::client>(context_, address, options);
  options.connections = 1;
  owner_probe_ = std::make_unique<http::client>(context_, address, options);
  owner_notices_ = std::make_unique<http::client>(context_, address, options);
  // Pending writes through the former owner end with an unknown outcome.
  if (former_link) former_link->close();
  if (former_probe) former_probe->close();
  if (former_notices) former_notices->close();
}

void node::announce(steady_time now) {
  const std::string& address = table_.owner.record.peer_address();
  if (announcing_ || address.empty() || address == settings_.peer_address) {
    return;
  }
  connect_owner();
  announcing_ = true;
  announced_at_ = now;
  wire::presence presence;
  presence.set_daemon(settings_.id);
  presence.set_peer_address(settings_.peer_address);
  presence.set_zone(settings_.zone);
  presence.set_region(settings_.region);
  presence.set_cpu_share(settings_.cpu_share);
  presence.set_follows_journal(journal_ != nullptr);
  presence.set_slowdown(announced_slowdown(machine_, now));
  std::uint64_t epoch = table_.owner.record.epoch();
  http::request request = http::json_request(http::verb::post, kPresencePath,
                                             http::to_compact_json(presence));
  request.set(kManifestVersionHeader, manifest_version());
  if (job_api_->has_open_append()) request.set(kMaybeStoredHeader, "1");
  owner_probe_->call(
      "announce", std::move(request), kProbeTimeout,
      [this, epoch, now, address,
       probe = owner_probe_.get()](http::call_result&& result) {
        announcing_ = false;
        if (probe != owner_probe_.get()) return;
        if (result.has_value()) {
          observe_manifest_version((*result)[kManifestVersionHeader], address);
        }
        wire::owner_status status;
        bool replied = result.has_value() &&
                       http::from_json(result->body(), &status).has_value();
        if (replied) update_relays(status);
        owner_unconfirmed_ =
            !replied || status.epoch() != epoch || !status.journal_reachable();
        steady_time received = clock_.now();
        if (replied && status.epoch() == epoch) owner_replied_at_ = received;
        if (!owner_unconfirmed_) owner_confirmed_at_ = received;
        if (!replied) owner_writes_.give_up(received);
        on_owner_status(status, !owner_unconfirmed_, now);
      });
}

void node::update_relays(const wire::owner_status& status) {
  if (status.epoch() == 0) return;
  std::vector<std::string> relays(status.peer_addresses().begin(),
                                  status.peer_addresses().end());
  if (status.journal_reachable()) {
    relays.insert(relays.begin(), owner_address_);
  }
  store_.set_relays(relays);
}

void node::relay_store_call(http::request&& request, http::responder respond) {
  std::string target(request.target());
  http::request message{request.method(), target.substr(kStorePath.size()),
                        http::kHttpVersion11};
  if (request.method() == http::verb::post) {
    message.set(boost::beast::http::field::content_type,
                "application/octet-stream");
    message.body() = std::move(request.body());
    message.prepare_payload();
  }
  std::function<bool()> on_progress;
  if (request.find(kAcceptsInterimHeader) != request.end()) {
    on_progress = [this, respond, last = clock_.now()]() mutable {
      steady_time now = clock_.now();
      if (now - last >= kInterimInterval) {
        last = now;
        respond.send_processing();
      }
      return !respond.abandoned();
    };
  }
  store_.relay(
      std::move(message), std::move(on_progress),
      [respond](http::call_result&& result) {
        if (result.has_error()) {
          // The store may have received the call.
          return respond(http::error_response(http::status::bad_gateway,
                                              to_string(result.error().cause)));
        }
        http::response reply = std::move(*result);
        respond(http::text_response(reply.result(), "application/octet-stream",
                                    std::move(reply.body())));
      });
}

write_reply node::owner_reply_of(const http::call_result& result) {
  if (result.has_error()) {
    // The owner may wait for a slow store. Announcements check whether it is
    // alive.
    bool waited = result.error().maybe_sent &&
                  result.error().cause.code == error::code::timeout;
    if (waited && !owner_unconfirmed_) return owner_reply::late;
    // The next announcement checks whether the owner is alive.
    owner_unconfirmed_ = true;
    return result.error().maybe_sent ? owner_reply::unknown
                                     : owner_reply::refused;
  }
  switch (result->result()) {
    case http::status::ok:
      return owner_reply::written;
    case http::status::conflict:
      return owner_reply::refused;
    case http::status::forbidden:
      return owner_reply::other_tenant;
    case http::status::service_unavailable: {
      boost::beast::string_view text =
          (*result)[boost::beast::http::field::retry_after];
      int seconds = std::atoi(std::string(text).c_str());
      owner_retry_after_ = std::chrono::seconds(std::max(seconds, 1));
      return owner_reply::unavailable;
    }
    case http::status::too_many_requests:
      return {owner_reply::rejected, retry_after_of(*result)};
    default:
      return owner_reply::unknown;
  }
}

void node::write_through_owner(const jobs::record& record, milliseconds timeout,
                               write_handler handler) {
  bool maybe_stored = job_api_->may_be_stored(record);
  steady_time now = clock_.now();
  if (owner_) {
    return owner_->write(record,
                         owner_writes_.add(now, timeout, std::move(handler)),
                         maybe_stored);
  }
  if (!owner_link_ || !uses_owner(silence_of_owner(now))) {
    return handler(owner_reply::refused);
  }
  handler = owner_writes_.add(now, timeout, std::move(handler));
  wire::caller_record message;
  message.set_key(record.key);
  message.set_value(record.value);
  message.set_epoch(table_.owner.record.epoch());
  http::request request{http::verb::post, kRecordPath, http::kHttpVersion11};
  if (maybe_stored) request.set(kMaybeStoredHeader, "1");
  request.body() = message.SerializeAsString();
  request.prepare_payload();
  owner_link_->call("write record", std::move(request), timeout,
                    [this, link = owner_link_.get(),
                     handler = std::move(handler)](http::call_result&& result) {
                      // A failure that concerns a former owner says nothing
                      // about this one.
                      bool former =
                          link != owner_link_.get() && result.has_error();
                      handler(former ? write_reply(owner_reply::unknown)
                                     : owner_reply_of(result));
                    });
}

void node::handle_peer_write(http::request&& request, http::responder respond) {
  wire::caller_record message;
  if (!message.ParseFromString(request.body()) || message.key().empty()) {
    return respond(
        http::error_response(http::status::bad_request, "no record"));
  }
  if (!owner_ || owner_->epoch() != message.epoch()) {
    return respond(http::error_response(http::status::conflict,
                                        "not the owner of this epoch"));
  }
  jobs::record record{message.key(), message.value(), 0};
  if (jobs::names_other_tenant(table_, record)) {
    return respond(
        http::error_response(http::status::forbidden, "another tenant's job"));
  }
  if (jobs::is_repeated_submission(table_, record)) {
    return respond(http::text_response(http::status::ok, "text/plain", ""));
  }
  bool maybe_stored = request.find(kMaybeStoredHeader) != request.end();
  write_handler on_reply = [this, respond](write_reply reply) {
    if (reply == owner_reply::rejected) {
      return respond(refusal_response(reply.retry_after));
    }
    http::status code = http::status::bad_gateway;
    if (reply == owner_reply::written) {
      code = http::status::ok;
    } else if (reply == owner_reply::refused) {
      code = http::status::conflict;
    } else if (reply == owner_reply::unavailable) {
      code = http::status::service_unavailable;
    }
    http::response message = http::text_response(code, "text/plain", "");
    if (reply == owner_reply::unavailable && owner_) {
      message.set(boost::beast::http::field::retry_after,
                  std::to_string(owner_->retry_after().count()));
    }
    respond(std::move(message));
  };
  owner_->write(std::move(record), std::move(on_reply), maybe_stored);
}

void node::forward_query(const wire::job_query& query, milliseconds timeout,
                         std::function<void(forward_result)> handler) {
  if (!owner_link_ || owner_unconfirmed_) return handler({});
  wire::job_query message = query;
  message.set_epoch(table_.owner.record.epoch());
  http::request request{http::verb::post, kJobPath, http::kHttpVersion11};
  request.body() = message.SerializeAsString();
  request.prepare_payload();
  owner_link_->call(
      "forward", std::move(request), timeout,
      [this, handler = std::move(handler)](http::call_result&& result) {
        forward_result out;
        if (result.has_error()) {
          // Without a connection, the next announcement checks whether the
          // owner is alive. A late reply doesn't show that it is not.
          if (!result.error().maybe_sent) owner_unconfirmed_ = true;
          out.maybe_served = result.error().maybe_sent;
        } else if (result->result() != http::status::conflict) {
          out.reply = http::json_response(result->result(), result->body());
          boost::beast::string_view retry_after =
              (*result)[boost::beast::http::field::retry_after];
          if (!retry_after.empty()) {
            out.reply->set(boost::beast::http::field::retry_after, retry_after);
          }
        }
        handler(std::move(out));
      });
}

void node::handle_job_query(const http::request& request,
                            http::responder respond) {
  wire::job_query query;
  if (!query.ParseFromString(request.body()) || query.job().empty()) {
    return respond(http::error_response(http::status::bad_request, "no query"));
  }
  if (!owner_ || owner_->epoch() != query.epoch()) {
    return respond(http::error_response(http::status::conflict,
                                        "not the owner of this epoch"));
  }
  job_api_->answer_query(query, std::move(respond));
}

void node::fetch_end(const std::string& job, std::function<void()> then) {
  if (owner_ || !owner_link_ || owner_unconfirmed_) return then();
  http::request request{http::verb::post, kEndPath, http::kHttpVersion11};
  request.body() = job;
  request.prepare_payload();
  owner_link_->call(
      "read end", std::move(request), kEndQueryTimeout,
      [this, job, then = std::move(then)](http::call_result&& result) {
        bool ended = result.has_value() &&
                     result->result() == http::status::ok &&
                     jobs::find(table_, job) != nullptr;
        if (ended) apply_record({jobs::progress_key(job), result->body(), 0});
        then();
      });
}

void node::handle_end_query(const http::request& request,
                            const http::responder& respond) {
  const jobs::entry* known = jobs::find(table_, request.body());
  bool ended = known != nullptr && known->progress.outcome() != wire::OPEN;
  if (!ended) {
    return respond(http::text_response(http::status::no_content, "", ""));
  }
  respond(http::text_response(http::status::ok, "application/octet-stream",
                              known->progress.SerializeAsString()));
}

void node::handle_peer(http::request&& request, http::responder respond) {
  if (request.target() == kRecordPath) {
    return handle_peer_write(std::move(request), std::move(respond));
  }
  if (request.target() == kJobPath) {
    return handle_job_query(request, std::move(respond));
  }
  if (request.target() == kEndPath) return handle_end_query(request, respond);
  if (request.target() == kCancellationsPath) {
    return handle_cancellations(request, respond);
  }
  if (request.target() == kHandoverPath) {
    return handle_handover(request, respond);
  }
  if (request.target() == kAdvicePath) {
    return relay_advice(std::move(request), std::move(respond));
  }
  std::string_view target(request.target().data(), request.target().size());
  if (target.starts_with(kStorePath)) {
    return relay_store_call(std::move(request), std::move(respond));
  }
  if (request.target() == kManifestPath) return handle_manifest_query(respond);
  if (request.target() == kMetricsPath) {
    return respond(
        http::text_response(http::status::ok, "text/plain", metrics_text()));
  }
  if (request.target() != kPresencePath) {
    return respond(
        http::error_response(http::status::not_found, "no such route"));
  }
  handle_presence(request, respond);
}

void node::handle_presence(const http::request& request,
                           const http::responder& respond) {
  wire::presence presence;
  if (http::from_json(request.body(), &presence).has_error()) {
    return respond(
        http::error_response(http::status::bad_request, "no presence"));
  }
  wire::owner_status status;
  if (owner_) {
    steady_time now = clock_.now();
    owner_->record_daemon({presence.daemon(), presence.peer_address(),
                           presence.zone(), presence.region(),
                           presence.cpu_share(), presence.follows_journal(),
                           presence.slowdown()});
    if (owner_->admission() &&
        request.find(kMaybeStoredHeader) != request.end()) {
      owner_->admission()->on_direct_append(now);
    }
    for (const std::string& each :
         owner_->daemons().relays_for(presence.daemon(), now)) {
      status.add_peer_addresses(each);
    }
    status.set_standby(owner_->daemons().is_standby(presence.daemon(), now));
    status.set_epoch(owner_->epoch());
    status.set_journal_reachable(owner_->journal_reachable());
    add_queue_lengths(table_.not_started, journal_age(), &status);
    // The owner announces itself to nobody that would name relays to it.
    store_.set_relays(owner_->daemons().relays_for(settings_.id, now));
    observe_manifest_version(request[kManifestVersionHeader],
                             presence.peer_address());
  }
  http::response reply =
      http::json_response(http::status::ok, http::to_compact_json(status));
  reply.set(kManifestVersionHeader, manifest_version());
  respond(std::move(reply));
}

// The advice service limits calls per VM, so this daemon sends the request from
// its own VM.
void node::relay_advice(http::request&& request, http::responder respond) {
  if (!advice_client_) {
    return respond(http::error_response(http::status::service_unavailable,
                                        "no advice service"));
  }
  advice_client_->call(
      "advise",
      http::json_request(http::verb::post, "/advise",
                         std::move(request.body())),
      [respond](http::call_result&& result) {
        if (result.has_value()) {
          http::response reply = std::move(*result);
          return respond(http::json_response(reply.result(), reply.body()));
        }
        respond(http::error_response(http::status::bad_gateway, "no advice"));
      });
}

std::string node::metrics_text() const {
  std::string text;
  measurements_.reply_times.append_text(&text);
  measurements_.first_start_times.append_text(&text);
  measurements_.job_times.append_text(&text);
  measurements_.refused_calls.append_text(&text);
  append_tenant_refusals(&text, measurements_.refused_by_tenant);
  measurements_.predicted_waits.append_text(&text);
  measurements_.actual_waits.append_text(&text);
  append_value(&text, "ebonygrade_pool_owner", "gauge",
               "1 while this daemon owns the pool.", owner_ ? 1 : 0);
  append_value(&text, "ebonygrade_pool_standby", "gauge",
               "1 while this daemon holds a copy of the journal.",
               has_journal() ? 1 : 0);
  append_value(&text, "ebonygrade_pool_store_calls_total", "counter",
               "Calls to the platform's store.", store_.calls());
  append_value(&text, "ebonygrade_pool_repeated_reads_total", "counter",
               "Reads of the store sent again while an earlier was awaited.",
               store_.repeated_reads());
  append_value(&text, "ebonygrade_pool_append_ms", "gauge",
               "Smoothed time of appends to the store, in milliseconds.",
               static_cast<std::uint64_t>(store_.pace().smoothed.count()));
  append_value(&text, "ebonygrade_pool_read_delay_ms", "gauge",
               "Delay of the store's last reply to a read, in milliseconds.",
               static_cast<std::uint64_t>(store_.read_delay().count()));
  append_value(&text, "ebonygrade_pool_jobs_known", "gauge",
               "Jobs in this daemon's copy of the journal.",
               table_.jobs.size());
  if (has_journal()) {
    append_value(&text, "ebonygrade_pool_journal_age_ms", "gauge",
                 "Age of this daemon's copy of the journal, in milliseconds.",
                 static_cast<std::uint64_t>(journal_age().count()));
  }
  append_value(&text, "ebonygrade_pool_unreadable_records_total", "counter",
               "Records of the journal that could not be read.",
               table_.unreadable_records);
  append_value(&text, "ebonygrade_pool_pauses_total", "counter",
               "Times that this daemon stood still for over a second.",
               pauses_);
  append_value(&text, "ebonygrade_pool_suspended_ms_total", "counter",
               "Part of the pauses with the machine suspended, milliseconds.",
               static_cast<std::uint64_t>(suspended_.count()));
  append_value(&text, "ebonygrade_pool_time_of_day_steps_total", "counter",
               "Times that the machine's time of day was set.",
               time_of_day_steps_);
  append_value(
      &text, "ebonygrade_pool_slowdown_percent", "gauge",
      "Slowness of this daemon's machine; 100: as fast as ever, 0: not "
      "measured.",
      static_cast<std::uint64_t>(machine_.slowdown * 100));
  append_value(&text, "ebonygrade_pool_handovers_total", "counter",
               "Times that this daemon as the owner handed the pool over.",
               machine_.handovers);
  append_value(&text, "ebonygrade_pool_outdated_handovers_total", "counter",
               "Handovers by an owner with outdated copies of the store.",
               machine_.outdated_handovers);
  append_value(&text, "ebonygrade_pool_declined_handovers_total", "counter",
               "Questions of this owner that a standby didn't confirm.",
               declined_handovers_);
  if (owner_) append_owner_metrics(&text);
  return text;
}

void node::append_owner_metrics(std::string* text) const {
  const pool::pool_state& state = owner_->state();
  if (owner_->admission()) owner_->admission()->append_metrics(text);
  append_value(text, "ebonygrade_pool_workers", "gauge",
               "Workers known to the owner.", state.workers.size());
  append_value(text, "ebonygrade_pool_unreadable_entries", "gauge",
               "Entries of workers that can't be used.",
               owner_->unreadable_entries());
  append_value(text, "ebonygrade_pool_repeated_appends_total", "counter",
               "Appends sent again while an earlier attempt was awaited.",
               owner_->repeated_appends());
  append_value(text, "ebonygrade_pool_refused_writes_total", "counter",
               "Callers' records that could not be acknowledged in time.",
               owner_->refused_writes());
  append_value(text, "ebonygrade_pool_waiting_steps", "gauge",
               "Steps with tasks that wait for a place.",
               state.waiting_steps.size());
  append_value(text, "ebonygrade_pool_unconfirmed_starts", "gauge",
               "Runs that were placed and that no worker has confirmed.",
               pool::count_unconfirmed_starts(state, clock_.now()).runs);
  append_value(text, "ebonygrade_pool_starts_total", "counter",
               "Starts sent to workers, copies included.",
               state.counters.starts);
  append_value(text, "ebonygrade_pool_stops_total", "counter",
               "Stops sent to workers, copies included.", state.counters.stops);
  append_value(text, "ebonygrade_pool_questions_total", "counter",
               "Questions to the advice service.",
               state.counters.advice_requests);
  append_value(text, "ebonygrade_pool_repeated_questions_total", "counter",
               "Questions to the advice service that were sent a second time.",
               owner_->repeated_questions());
  append_value(text, "ebonygrade_pool_refused_starts_total", "counter",
               "Starts that workers refused.", state.counters.refused_starts);
  append_value(text, "ebonygrade_pool_ends_done_total", "counter",
               "Runs that ended well.", state.counters.ends_done);
  append_value(text, "ebonygrade_pool_ends_failed_total", "counter",
               "Runs that failed.", state.counters.ends_failed);
  append_value(text, "ebonygrade_pool_ends_other_total", "counter",
               "Runs that ended otherwise.", state.counters.ends_other);
  append_value(text, "ebonygrade_pool_runs_lost_total", "counter",
               "Runs lost with their worker.", state.counters.lost_runs);
  append_value(text, "ebonygrade_pool_runs_lease_passed_total", "counter",
               "Lost runs whose worker was silent until its lease had ended.",
               state.counters.lease_passed_runs);
  append_value(text, "ebonygrade_pool_runs_departed_total", "counter",
               "Lost runs whose worker had left.",
               state.counters.departed_runs);
  append_value(text, "ebonygrade_pool_departures_traced_total", "counter",
               "Workers that had left before the owner read the directory.",
               state.counters.traced_departures);
  append_value(text, "ebonygrade_pool_jobs_forgotten_total", "counter",
               "Ended jobs that were deleted from the journal.",
               state.counters.forgotten_jobs);
  append_value(text, "ebonygrade_pool_worker_restarts_total", "counter",
               "Workers that began another incarnation under their id.",
               state.counters.worker_restarts);
  append_value(text, "ebonygrade_pool_worker_crashes_total", "counter",
               "Workers that ended with runs and without draining.",
               state.counters.worker_crashes);
  append_value(text, "ebonygrade_pool_suspicions_total", "counter",
               "Tasks that may have caused a crash of their worker.",
               state.counters.suspicions);
  append_value(text, "ebonygrade_pool_trials_total", "counter",
               "Runs of suspected tasks.", state.counters.trials);
  append_value(text, "ebonygrade_pool_jobs_given_up_total", "counter",
               "Jobs with a task that crashes its workers.",
               state.counters.given_up_jobs);
  append_value(text, "ebonygrade_pool_unexpected_runs_total", "counter",
               "Reported runs without a valid order.",
               state.counters.unexpected_runs);
  append_value(text, "ebonygrade_pool_outdated_rounds_total", "counter",
               "Rounds without starts, as a copy of the store was too old.",
               state.counters.outdated_rounds);
  append_value(text, "ebonygrade_pool_backfilled_runs_total", "counter",
               "Runs placed on workers that a gang keeps, to end before it.",
               state.counters.backfilled_runs);
  append_value(text, "ebonygrade_pool_reservation_yields_total", "counter",
               "Times that gangs gave way to jobs with nothing running.",
               state.counters.reservation_yields);
  append_value(text, "ebonygrade_pool_long_step_waits", "gauge",
               "Steps that have waited for more than 3 s.",
               state.long_step_waits);
  append_tenant_gauges(text, state);
  append_near_waits(text, state.near);
}

}  // namespace ebonygrade::poold
