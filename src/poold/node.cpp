#include "poold/node.h"

#include <algorithm>
#include <utility>

#include "events/events.h"
#include "http/json.h"
#include "platform/machines.h"
#include "platform/manifest.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kTick{100};
// Reads of the journal. Submissions reach the owner directly, so it reads only
// what others had to write without it; states that callers are told may be a
// little old. Each read is a priced call to the store.
constexpr milliseconds kOwnerReadPause{100};
constexpr milliseconds kFollowerReadPause{250};
// Short, so that a connection that has gone silent is soon given up.
constexpr milliseconds kJournalWait{400};
constexpr milliseconds kOperatorWait{600};
constexpr milliseconds kOperatorReadPause{250};
// Without a record of the owner for so long, its place is free: several
// heartbeats, and more than an answer of a store that is slowed sixty times.
constexpr milliseconds kOwnerSilence{1800};
// Sooner, if the owner is asked and doesn't confirm that it is there.
constexpr milliseconds kProbeAfter{500};
constexpr milliseconds kProbeTimeout{350};
// Callers who ask for a state wait no longer for the owner.
constexpr milliseconds kEndTimeout{250};
constexpr std::size_t kOwnerConnections = 6;
// Two reads of the journal that failed, or one that was lost.
constexpr milliseconds kReadGap{900};
// Spread of the daemons' claims, so that they seldom meet.
constexpr milliseconds kClaimSpread{150};
// The owner's records make every start and every answer wait for the store, so
// daemons near it claim first, by this multiple of the time of its answer, up
// to a limit that still leaves a takeover short.
constexpr int kClaimDelayFactor = 10;
constexpr milliseconds kMaxDistanceDelay{300};
// Deciding for 350 workers takes 0.15 of a core. Daemons on smaller shares
// claim after the others.
constexpr double kEnoughProcessor = 0.2;
constexpr milliseconds kSmallDaemonDelay{250};
// Epochs that claims at one offset of the journal choose from.
constexpr std::uint64_t kEpochsPerOffset = 1000;
// A daemon that can't read the store for so long doesn't take callers.
constexpr milliseconds kStoreSilence{2500};
constexpr milliseconds kAnnounceEvery{1000};
// The platform's balancer needs two missed checks, a second apart, to stop
// sending new connections.
constexpr milliseconds kBalancerTime{2300};
// Kept free at the end of the drain for the last answers.
constexpr milliseconds kDrainMargin{700};
constexpr std::size_t kAdviceConnections = 28;
constexpr milliseconds kAdviceTimeout{20000};
constexpr std::size_t kMaxBodyBytes = 256 << 10;
constexpr std::size_t kMaxHeaderBytes = 16 << 10;
constexpr std::size_t kMaxConnections = 2500;

http::server_options caller_options() {
  http::server_options options;
  options.max_header_bytes = kMaxHeaderBytes;
  options.max_body_bytes = kMaxBodyBytes;
  options.max_connections = kMaxConnections;
  options.read_timeout = milliseconds(3000);
  options.idle_timeout = milliseconds(15000);
  return options;
}

http::client_options advice_options() {
  http::client_options options;
  options.connections = kAdviceConnections;
  options.call_timeout = kAdviceTimeout;
  return options;
}

}  // namespace

node::node(boost::asio::io_context& context, const clock::clock& clock,
           node_settings settings)
    : context_(context),
      clock_(clock),
      settings_(std::move(settings)),
      store_(context, settings_.store_address, clock),
      callers_(context, caller_options(),
               [this](http::request&& request, http::responder answer) {
                 entry_->handle(std::move(request), std::move(answer));
               }),
      readiness_(context, {},
                 [this](http::request&&, http::responder answer) {
                   answer(http::text_response(
                       is_ready() ? http::status::ok
                                  : http::status::service_unavailable,
                       "text/plain", ""));
                 }),
      peers_(context, caller_options(),
             [this](http::request&& request, http::responder answer) {
               handle_peer(std::move(request), std::move(answer));
             }),
      tick_(context),
      drain_timer_(context),
      random_(std::random_device{}()) {
  if (settings_.advice_address.empty()) return;
  advice_ = std::make_unique<http::client>(context, settings_.advice_address,
                                           advice_options());
}

node::~node() {
  if (owner_) owner_->stop();
  if (entry_) entry_->stop();
  if (journal_) journal_->stop();
  if (operator_) operator_->stop();
}

error::result<void> node::start() {
  follow_journal();
  entry_ = std::make_shared<entry>(
      context_, store_, clock_, settings_.id, table_, *journal_,
      [this](const jobs::record& record, milliseconds timeout,
             std::function<void(owner_answer)> handler) {
        write_by_owner(record, timeout, std::move(handler));
      },
      [this](const std::string& job, std::function<void()> then) {
        learn_end(job, std::move(then));
      },
      measured_);
  follow_operator();
  error::result<void> bound = callers_.listen(settings_.client_address);
  if (bound.has_value()) bound = readiness_.listen(settings_.ready_address);
  if (bound.has_value()) bound = peers_.listen(settings_.peer_address);
  if (bound.has_error()) return bound;
  owner_heard_ = clock_.now();
  arm_tick();
  return bound;
}

bool node::is_ready() const {
  return !draining_ && manifest_ != nullptr && journal_->loaded() &&
         clock_.now() - store_.last_answer() < kStoreSilence;
}

// ---- Following the store
// ------------------------------------------------------

void node::follow_journal() {
  follower_options options;
  options.topic = platform::kJournalTopic;
  options.pause = kFollowerReadPause;
  options.wait = kJournalWait;
  topic_follower::handlers handlers;
  handlers.on_all = [this](const std::vector<jobs::record>& records) {
    on_journal(records);
  };
  handlers.on_records = handlers.on_all;
  journal_ = std::make_shared<topic_follower>(
      context_, store_, clock_, std::move(options), std::move(handlers));
  journal_->start();
}

void node::follow_operator() {
  follower_options options;
  options.topic = platform::kOperatorTopic;
  options.pause = kOperatorReadPause;
  options.wait = kOperatorWait;
  topic_follower::handlers handlers;
  handlers.on_all = [this](const std::vector<jobs::record>& records) {
    on_operator(records);
  };
  handlers.on_records = handlers.on_all;
  operator_ = std::make_shared<topic_follower>(
      context_, store_, clock_, std::move(options), std::move(handlers));
  operator_->start();
}

void node::take_record(const jobs::record& record) {
  jobs::change change = jobs::apply(&table_, record);
  if (change.kind == jobs::change_kind::owner && owner_ &&
      table_.owner.record.epoch() > owner_->epoch()) {
    resign();
  }
  bool concerns_owner = change.kind == jobs::change_kind::submitted ||
                        change.kind == jobs::change_kind::cancelled;
  if (owner_ && concerns_owner) owner_->on_change(table_, change);
}

void node::on_journal(const std::vector<jobs::record>& records) {
  for (const jobs::record& each : records) take_record(each);
  steady_time now = clock_.now();
  // After a time without reads the owner gets its time to write again.
  bool resumed = now - journal_read_ > kReadGap;
  heard_live_ |=
      table_.owner_records != owner_records_ && journal_read_ != steady_time();
  journal_read_ = now;
  if (table_.owner_records != owner_records_ || resumed) {
    owner_records_ = table_.owner_records;
    owner_heard_ = now;
  }
  check_claim();
  if (claim_wanted_ && !claiming_) {
    claim_wanted_ = false;
    consider_claim(now);
    if (claim_wanted_) claim();
  }
  bool moved = table_.owner.record.peer_address() != owner_address_;
  if (moved && !owner_ && !draining_) announce(now);
  entry_->journal_read();
}

void node::take_wave(const jobs::record& record) {
  std::optional<pool::upkeep_wave> wave = platform::decode_wave(record.value);
  if (!wave) {
    events::emit(events::id::bundle_refused, "read wave", "",
                 "key={} offset={} is no wave", record.key, record.offset);
    return;
  }
  waves_[wave->number] = *wave;
  if (owner_) owner_->on_wave(*wave, table_);
}

void node::on_operator(const std::vector<jobs::record>& records) {
  for (const jobs::record& each : records) {
    if (each.value.empty()) continue;
    if (each.key.starts_with(platform::kUpkeepKeyPrefix)) take_wave(each);
    if (each.key != platform::kManifestKey) continue;
    std::optional<pool::manifest> decoded =
        platform::decode_manifest(each.value);
    if (!decoded) {
      events::emit(events::id::bundle_refused, "read manifest", "",
                   "offset={} is no manifest", each.offset);
      continue;
    }
    if (manifest_ && decoded->version <= manifest_->version) continue;
    manifest_ = std::make_shared<pool::manifest>(std::move(*decoded));
    events::emit(events::id::manifest_in_force, "read manifest", "",
                 "version={} routes={} offset={}", manifest_->version,
                 manifest_->routes.size(), each.offset);
    entry_->set_manifest(manifest_);
    if (owner_) owner_->on_manifest(*manifest_);
  }
}

// ---- Ownership
// ----------------------------------------------------------------

void node::arm_tick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](boost::system::error_code failed) {
    if (failed) return;
    on_tick();
    arm_tick();
  });
}

void node::on_tick() {
  steady_time now = clock_.now();
  if (owner_ || draining_) return;
  bool moved = table_.owner.record.peer_address() != owner_address_;
  if (moved || now - announced_ >= kAnnounceEvery) announce(now);
  consider_claim(now);
}

void node::consider_claim(steady_time now) {
  if (owner_ || draining_ || claiming_) return;
  if (!manifest_ || !journal_->loaded()) return;
  const wire::ownership_record& last = table_.owner.record;
  bool nobody =
      last.epoch() == 0 || last.released() || last.daemon() == settings_.id;
  // Silence counts only while this daemon itself reads the journal.
  bool reads = now - journal_->current_as_of() < kOwnerSilence;
  milliseconds silence =
      std::chrono::duration_cast<milliseconds>(now - owner_heard_);
  // A daemon that has just started has no reason to trust the record.
  bool doubtful = !heard_live_ || silence > kProbeAfter;
  bool suspected = reads && doubtful && owner_denied_;
  bool silent = reads && silence > kOwnerSilence;
  if (!nobody && !suspected && !silent) {
    claim_after_ = steady_time();
    if (reads && doubtful) announce(now);
    return;
  }
  if (claim_after_ == steady_time()) {
    std::uniform_int_distribution<std::int64_t> spread(0, kClaimSpread.count());
    claim_after_ = now + claim_delay() + milliseconds(spread(random_));
  }
  if (now < claim_after_) return;
  // The claim must name the end of the journal, which moves with each accepted
  // job, so it follows upon a read at once.
  claim_wanted_ = true;
  journal_->hurry();
}

milliseconds node::claim_delay() const {
  milliseconds delay =
      std::min(store_.distance().value_or(milliseconds(0)) * kClaimDelayFactor,
               kMaxDistanceDelay);
  if (settings_.cpu_share < kEnoughProcessor) delay += kSmallDaemonDelay;
  return delay;
}

void node::claim() {
  claiming_ = true;
  std::uint64_t at = journal_->next();
  // Epochs rise with the journal. The store takes an append with the producer,
  // epoch and number of an earlier one for its repetition, so two daemons
  // that claim at the same offset need epochs of their own.
  std::uniform_int_distribution<std::uint64_t> choice(0, kEpochsPerOffset - 1);
  claimed_epoch_ = (at + 1) * kEpochsPerOffset + choice(random_);
  platform::append_request request;
  request.topic = platform::kJournalTopic;
  request.producer = {kOwnerProducer, claimed_epoch_, 0};
  request.expected_end = at;
  wire::ownership_record record;
  record.set_daemon(settings_.id);
  record.set_epoch(claimed_epoch_);
  record.set_peer_address(settings_.peer_address);
  store_.append(request, {{jobs::kOwnerKey, record.SerializeAsString(), 0}}, 0,
                [this](append_result) {
                  // Whoever stands in the journal has won. If the end has
                  // moved meanwhile, the next read is followed by a new claim.
                  claiming_ = false;
                  journal_->hurry();
                });
}

void node::check_claim() {
  const wire::ownership_record& last = table_.owner.record;
  if (owner_ || draining_ || claimed_epoch_ == 0) return;
  if (last.daemon() != settings_.id || last.epoch() != claimed_epoch_) return;
  claimed_epoch_ = 0;
  if (last.released()) return;
  events::emit(events::id::claim_won, "claim", "", "epoch={} offset={}",
               last.epoch(), table_.owner.offset);
  become_owner(last.epoch());
}

void node::become_owner(std::uint64_t epoch) {
  owner_ = std::make_shared<owner>(
      context_, store_, clock_, settings_, measured_, epoch,
      [this] { resign(); },
      [this](const jobs::record& record) { take_record(record); });
  owner_->start(table_, *manifest_);
  for (const std::pair<const std::uint64_t, pool::upkeep_wave>& each : waves_) {
    owner_->on_wave(each.second, table_);
  }
  journal_->set_pause(kOwnerReadPause);
  journal_->hurry();
}

void node::resign() {
  if (!owner_) return;
  events::emit(events::id::pool_deposed, "resign", "", "epoch={}",
               owner_->epoch());
  owner_->stop();
  owner_.reset();
  owner_heard_ = clock_.now();
  journal_->set_pause(kFollowerReadPause);
}

// ---- Other daemons
// --------------------------------------------------------------

void node::announce(steady_time now) {
  const std::string& address = table_.owner.record.peer_address();
  if (announcing_ || address.empty() || address == settings_.peer_address) {
    return;
  }
  if (address != owner_address_) {
    owner_address_ = address;
    owner_denied_ = false;
    // What the former owner was asked to write is told as unknown.
    if (owner_link_) owner_link_->close();
    http::client_options options;
    options.connections = kOwnerConnections;
    owner_link_ = std::make_unique<http::client>(context_, address, options);
  }
  announcing_ = true;
  announced_ = now;
  wire::presence presence;
  presence.set_daemon(settings_.id);
  presence.set_peer_address(settings_.peer_address);
  std::uint64_t epoch = table_.owner.record.epoch();
  owner_link_->call("announce",
                    http::json_request(http::verb::post, kPresencePath,
                                       http::to_compact_json(presence)),
                    kProbeTimeout, [this, epoch](http::call_result&& result) {
                      announcing_ = false;
                      wire::owner_status status;
                      bool told =
                          result.has_value() &&
                          http::from_json(result->body(), &status).has_value();
                      if (told) learn_peers(status);
                      owner_denied_ = !told || status.epoch() != epoch ||
                                      !status.journal_reachable();
                    });
}

void node::learn_peers(const wire::owner_status& status) {
  if (status.epoch() == 0) return;
  std::vector<std::string> relays(status.peer_addresses().begin(),
                                  status.peer_addresses().end());
  if (status.journal_reachable()) {
    relays.insert(relays.begin(), owner_address_);
  }
  store_.set_relays(relays);
}

void node::relay_store_call(http::request&& request, http::responder answer) {
  std::string target(request.target());
  http::request message{request.method(), target.substr(kStorePath.size()),
                        http::kHttpVersion11};
  if (request.method() == http::verb::post) {
    message.set(boost::beast::http::field::content_type,
                "application/octet-stream");
    message.body() = std::move(request.body());
    message.prepare_payload();
  }
  store_.relay(std::move(message), [answer](http::call_result&& result) {
    if (result.has_error()) {
      // The caller can't know whether the store has seen the call.
      return answer(http::error_response(http::status::bad_gateway,
                                         to_string(result.error().cause)));
    }
    http::response reply = std::move(*result);
    answer(http::text_response(reply.result(), "application/octet-stream",
                               std::move(reply.body())));
  });
}

owner_answer node::owner_answer_of(const http::call_result& result) {
  if (result.has_error()) {
    // The next announcement tells whether the owner is there.
    owner_denied_ = true;
    return result.error().maybe_sent ? owner_answer::unknown
                                     : owner_answer::refused;
  }
  switch (result->result()) {
    case http::status::ok:
      return owner_answer::written;
    case http::status::conflict:
      return owner_answer::refused;
    case http::status::service_unavailable:
      return owner_answer::unavailable;
    default:
      return owner_answer::unknown;
  }
}

void node::write_by_owner(const jobs::record& record, milliseconds timeout,
                          std::function<void(owner_answer)> handler) {
  if (owner_) return owner_->write(record, std::move(handler));
  if (!owner_link_ || owner_denied_) return handler(owner_answer::refused);
  wire::caller_record message;
  message.set_key(record.key);
  message.set_value(record.value);
  message.set_epoch(table_.owner.record.epoch());
  http::request request{http::verb::post, kRecordPath, http::kHttpVersion11};
  request.body() = message.SerializeAsString();
  request.prepare_payload();
  owner_link_->call(
      "write record", std::move(request), timeout,
      [this, handler = std::move(handler)](http::call_result&& result) {
        handler(owner_answer_of(result));
      });
}

void node::write_for_peer(http::request&& request, http::responder answer) {
  wire::caller_record message;
  if (!message.ParseFromString(request.body()) || message.key().empty()) {
    return answer(http::error_response(http::status::bad_request, "no record"));
  }
  if (!owner_ || owner_->epoch() != message.epoch()) {
    return answer(http::error_response(http::status::conflict,
                                       "not the owner of this epoch"));
  }
  owner_->write({message.key(), message.value(), 0},
                [answer](owner_answer written) {
                  http::status code = http::status::bad_gateway;
                  if (written == owner_answer::written) {
                    code = http::status::ok;
                  } else if (written == owner_answer::refused) {
                    code = http::status::conflict;
                  } else if (written == owner_answer::unavailable) {
                    code = http::status::service_unavailable;
                  }
                  answer(http::text_response(code, "text/plain", ""));
                });
}

void node::learn_end(const std::string& job, std::function<void()> then) {
  if (owner_ || !owner_link_ || owner_denied_) return then();
  http::request request{http::verb::post, kEndPath, http::kHttpVersion11};
  request.body() = job;
  request.prepare_payload();
  owner_link_->call(
      "read end", std::move(request), kEndTimeout,
      [this, job, then = std::move(then)](http::call_result&& result) {
        bool ended = result.has_value() &&
                     result->result() == http::status::ok &&
                     jobs::find(table_, job) != nullptr;
        if (ended) take_record({jobs::progress_key(job), result->body(), 0});
        then();
      });
}

void node::tell_end(const http::request& request,
                    const http::responder& answer) {
  const jobs::entry* known = jobs::find(table_, request.body());
  bool ended = known != nullptr && known->progress.outcome() != wire::OPEN;
  if (!ended) {
    return answer(http::text_response(http::status::no_content, "", ""));
  }
  answer(http::text_response(http::status::ok, "application/octet-stream",
                             known->progress.SerializeAsString()));
}

void node::handle_peer(http::request&& request, http::responder answer) {
  if (request.target() == kRecordPath) {
    return write_for_peer(std::move(request), std::move(answer));
  }
  if (request.target() == kEndPath) return tell_end(request, answer);
  if (request.target() == kAdvicePath) {
    return relay_advice(std::move(request), std::move(answer));
  }
  std::string_view target(request.target().data(), request.target().size());
  if (target.starts_with(kStorePath)) {
    return relay_store_call(std::move(request), std::move(answer));
  }
  if (request.target() == kMetricsPath) {
    return answer(
        http::text_response(http::status::ok, "text/plain", metrics_text()));
  }
  if (request.target() != kPresencePath) {
    return answer(
        http::error_response(http::status::not_found, "no such route"));
  }
  wire::presence presence;
  if (http::from_json(request.body(), &presence).has_error()) {
    return answer(
        http::error_response(http::status::bad_request, "no presence"));
  }
  wire::owner_status status;
  if (owner_) {
    for (const std::string& each : owner_->peer_addresses()) {
      if (each != presence.peer_address()) status.add_peer_addresses(each);
    }
    owner_->heard_of(presence.daemon(), presence.peer_address());
    status.set_epoch(owner_->epoch());
    status.set_journal_reachable(owner_->reaches_journal());
  }
  answer(http::json_response(http::status::ok, http::to_compact_json(status)));
}

// The advice service counts its callers by VM, so each daemon asks for itself.
void node::relay_advice(http::request&& request, http::responder answer) {
  if (!advice_) {
    return answer(http::error_response(http::status::service_unavailable,
                                       "no advice service"));
  }
  advice_->call(
      "advise",
      http::json_request(http::verb::post, "/advise",
                         std::move(request.body())),
      [answer](http::call_result&& result) {
        if (result.has_value()) {
          http::response reply = std::move(*result);
          return answer(http::json_response(reply.result(), reply.body()));
        }
        answer(http::error_response(http::status::bad_gateway, "no advice"));
      });
}

std::string node::metrics_text() const {
  std::string text;
  measured_.answers.append_text(&text);
  measured_.first_starts.append_text(&text);
  measured_.ends.append_text(&text);
  append_value(&text, "ebonygrade_pool_owner", "gauge",
               "1 while this daemon owns the pool.", owner_ ? 1 : 0);
  append_value(&text, "ebonygrade_pool_store_calls_total", "counter",
               "Calls to the platform's store.", store_.calls());
  append_value(&text, "ebonygrade_pool_jobs_known", "gauge",
               "Jobs in this daemon's copy of the journal.",
               table_.jobs.size());
  append_value(&text, "ebonygrade_pool_unreadable_records_total", "counter",
               "Records of the journal that could not be read.",
               table_.unreadable);
  if (owner_) append_owner_metrics(&text);
  return text;
}

void node::append_owner_metrics(std::string* text) const {
  const pool::pool_state& state = owner_->state();
  append_value(text, "ebonygrade_pool_workers", "gauge",
               "Workers known to the owner.", state.workers.size());
  append_value(text, "ebonygrade_pool_waiting_steps", "gauge",
               "Steps with tasks that wait for a place.", state.waiting.size());
  append_value(text, "ebonygrade_pool_starts_total", "counter",
               "Starts sent to workers, copies included.",
               state.counters.starts);
  append_value(text, "ebonygrade_pool_stops_total", "counter",
               "Stops sent to workers, copies included.", state.counters.stops);
  append_value(text, "ebonygrade_pool_questions_total", "counter",
               "Questions to the advice service.", state.counters.advice);
  append_value(text, "ebonygrade_pool_refused_starts_total", "counter",
               "Starts that workers refused.", state.counters.refused_starts);
  append_value(text, "ebonygrade_pool_ends_done_total", "counter",
               "Runs that ended well.", state.counters.ends_done);
  append_value(text, "ebonygrade_pool_ends_failed_total", "counter",
               "Runs that failed.", state.counters.ends_failed);
  append_value(text, "ebonygrade_pool_ends_other_total", "counter",
               "Runs that ended otherwise.", state.counters.ends_other);
  append_value(text, "ebonygrade_pool_runs_lost_total", "counter",
               "Runs lost with their worker.", state.counters.lost);
}

// ---- Graceful stop
// ----------------------------------------------------------------

void node::drain(std::function<void()> done) {
  draining_ = true;
  if (owner_) {
    owner_->release([this] {
      owner_.reset();
      journal_->set_pause(kFollowerReadPause);
    });
  }
  drain_timer_.expires_after(kBalancerTime);
  drain_timer_.async_wait(
      [this, done = std::move(done)](boost::system::error_code failed) {
        if (failed) return;
        callers_.stop(done);
        drain_timer_.expires_after(settings_.drain_grace - kBalancerTime -
                                   kDrainMargin);
        drain_timer_.async_wait([done](boost::system::error_code late) {
          if (!late) done();
        });
      });
}

}  // namespace ebonygrade::poold
