// Requests from callers and from peers, and other messages between daemons.
#include <algorithm>
#include <utility>

#include "core/core_pvt.h"

namespace ebonygrade::core {

namespace {

constexpr char kUnknownRegion[] = "region: is not one of the cell's";

entry::owner find_owner(const void* context, job::shard_id shard) {
  const core_state& state = *static_cast<const core_state*>(context);
  const ownership::claim_state& claim =
      state.ownership.claims.shards[shard.region][shard.shard];
  if (claim.epoch == 0 || claim.released) return {};
  if (claim.owner != state.options.self) return {claim.owner, claim.epoch};
  const job::epoch serving = ownership::serving_epoch(state.ownership, shard);
  if (serving == 0) return {};
  return {claim.owner, serving};
}

entry::owner_source owners_of(const core_state& state) {
  return {&state, &find_owner};
}

std::optional<job::shard_id> home_of(const core_state& state,
                                     const std::string& id,
                                     const std::string& region) {
  const std::optional<std::uint16_t> index =
      region_index(state, region.empty() ? state.region : region);
  if (!index) return std::nullopt;
  return job::shard_id{*index,
                       job::shard_of(id, state.options.shards_per_region)};
}

const std::string& region_name(const core_state& state, job::shard_id shard) {
  return state.options.regions[shard.region].name;
}

void dispatch_locally(core_state& state, std::uint64_t token,
                      const entry::open_request& request) {
  const requests::waiter waiter{"", token, request.wait_for_final};
  switch (request.kind) {
    case entry::request_kind::submit:
      apply_request(state, requests::submitted{
                               request.request, waiter,
                               runtime(state, request.request.home).epoch});
      return;
    case entry::request_kind::query:
      apply_request(state, requests::queried{request.request.id, waiter});
      return;
    case entry::request_kind::cancel:
      apply_request(state, requests::cancelled{request.request.id, waiter});
      return;
  }
}

void dispatch_to_peer(core_state& state, std::uint64_t token,
                      const entry::open_request& request,
                      const std::string& to) {
  wire::envelope message;
  const std::string& region = region_name(state, request.request.home);
  switch (request.kind) {
    case entry::request_kind::submit:
      message.mutable_forward()->set_token(token);
      message.mutable_forward()->set_hops(1);
      message.mutable_forward()->set_wait(request.wait_for_final);
      *message.mutable_forward()->mutable_request() =
          job::to_wire(request.request, state.clock.now(), region);
      break;
    case entry::request_kind::query:
      message.mutable_query()->set_token(token);
      message.mutable_query()->set_request_id(request.request.id);
      message.mutable_query()->set_region(region);
      message.mutable_query()->set_wait(request.wait_for_final);
      break;
    case entry::request_kind::cancel:
      message.mutable_cancel()->set_token(token);
      message.mutable_cancel()->set_request_id(request.request.id);
      message.mutable_cancel()->set_region(region);
      break;
  }
  send_to_peer(state, to, std::move(message));
}

void on_effect(core_state& state, const entry::dispatch& effect) {
  const auto found = state.entry.open.find(effect.token);
  if (found == state.entry.open.end()) return;
  const entry::open_request request = found->second;
  if (effect.to == state.options.self) {
    dispatch_locally(state, effect.token, request);
    const auto open = state.entry.open.find(effect.token);
    if (open != state.entry.open.end()) open->second.acknowledged = true;
    return;
  }
  state.metrics.add(metrics::counter::requests_forwarded);
  dispatch_to_peer(state, effect.token, request, effect.to);
}

void on_effect(core_state& state, const entry::reply_to_caller& effect) {
  api::status_reply reply;
  reply.token = effect.token;
  reply.status.set_id(effect.id);
  *reply.status.mutable_outcome() = effect.outcome;
  state.api.send(std::move(reply));
}

void apply_effects(core_state& state,
                   const std::vector<entry::effect>& effects) {
  for (const entry::effect& effect : effects) {
    std::visit([&state](const auto& each) { on_effect(state, each); }, effect);
  }
}

void open_exchange(core_state& state, std::uint64_t token,
                   entry::open_request request, milliseconds wait) {
  const steady_time now = state.clock.now();
  request.wait_for_final = wait > milliseconds(0);
  // If the owner sends no reply in time, a caller that doesn't wait gets the
  // last known state.
  request.reply_by =
      now +
      (request.wait_for_final ? wait : state.entry.options.owner_lost_timeout);
  apply_effects(state, entry::open(state.entry, token, std::move(request),
                                   owners_of(state), now));
}

// Home shard of the id. If the region is unknown, refuses the exchange and
// returns nothing.
std::optional<job::shard_id> home_or_refuse(core_state& state,
                                            std::uint64_t token,
                                            const std::string& id,
                                            const std::string& region) {
  const std::optional<job::shard_id> home = home_of(state, id, region);
  if (!home) refuse(state, token, 400, kUnknownRegion, "region");
  return home;
}

// Opens an exchange for a request of which only the id is known.
void open_by_id(core_state& state, std::uint64_t token,
                entry::request_kind kind, const std::string& id,
                const std::string& region, milliseconds wait) {
  const std::optional<job::shard_id> home =
      home_or_refuse(state, token, id, region);
  if (!home) return;
  entry::open_request request;
  request.kind = kind;
  request.request.id = id;
  request.request.home = *home;
  open_exchange(state, token, std::move(request), wait);
}

void reply_wrong_owner(core_state& state, const std::string& to,
                       std::uint64_t token) {
  wire::envelope message;
  message.mutable_forward_reply()->set_token(token);
  message.mutable_forward_reply()->set_wrong_owner(true);
  send_to_peer(state, to, std::move(message));
}

// Epoch under which this daemon serves the home shard; 0 if it doesn't serve
// it.
job::epoch serving_epoch_of(const core_state& state,
                            const std::optional<job::shard_id>& home) {
  if (!home) return 0;
  return ownership::serving_epoch(state.ownership, *home);
}

void on_forward(core_state& state, const std::string& from,
                const wire::forward& message) {
  const std::optional<job::shard_id> home =
      home_of(state, message.request().id(), message.request().region());
  const job::epoch epoch = serving_epoch_of(state, home);
  if (epoch == 0) {
    reply_wrong_owner(state, from, message.token());
    return;
  }
  error::result<job::request> parsed =
      job::parse_request(message.request(), state.clock.now());
  if (parsed.has_error()) {
    wire::envelope reply;
    reply.mutable_forward_reply()->set_token(message.token());
    *reply.mutable_forward_reply()->mutable_outcome() =
        job::not_run_outcome(parsed.error().detail, milliseconds(0));
    send_to_peer(state, from, std::move(reply));
    return;
  }
  parsed->home = *home;
  const requests::waiter waiter{from, message.token(), message.wait()};
  apply_request(state, requests::submitted{*parsed, waiter, epoch});
  // Acknowledges the request. If a final outcome was sent just before, the peer
  // has closed the exchange and needs no acknowledgement.
  const auto found = state.requests.by_id.find(parsed->id);
  if (found == state.requests.by_id.end()) return;
  if (found->second.outcome.kind() != wire::pending) return;
  wire::envelope reply;
  reply.mutable_forward_reply()->set_token(message.token());
  send_to_peer(state, from, std::move(reply));
}

void on_peer_query(core_state& state, const std::string& from,
                   const wire::query& message) {
  if (serving_epoch_of(
          state, home_of(state, message.request_id(), message.region())) == 0) {
    reply_wrong_owner(state, from, message.token());
    return;
  }
  apply_request(state,
                requests::queried{message.request_id(),
                                  {from, message.token(), message.wait()}});
}

void on_peer_cancel(core_state& state, const std::string& from,
                    const wire::cancel& message) {
  if (serving_epoch_of(
          state, home_of(state, message.request_id(), message.region())) == 0) {
    reply_wrong_owner(state, from, message.token());
    return;
  }
  apply_request(state, requests::cancelled{message.request_id(),
                                           {from, message.token(), false}});
}

void on_bundle_want(core_state& state, const std::string& from,
                    const wire::bundle_want& message) {
  if (state.registry.roll <= message.roll()) return;
  wire::envelope reply;
  wire::bundle_snapshot& snapshot = *reply.mutable_bundle();
  snapshot.set_roll(state.registry.roll);
  snapshot.set_version(state.registry.in_force);
  snapshot.set_text(state.registry.in_force_text);
  send_to_peer(state, from, std::move(reply));
}

}  // namespace

void on_submit(core_state& state, api::submit&& command) {
  state.metrics.add(metrics::counter::requests_submitted);
  error::result<job::request> parsed =
      job::parse_request(command.request, state.clock.now());
  if (parsed.has_error()) {
    const std::string& detail = parsed.error().detail;
    report_bad_request(state, detail);
    refuse(state, command.token, 400, detail,
           detail.substr(0, detail.find(':')));
    return;
  }
  const std::optional<job::shard_id> home = home_or_refuse(
      state, command.token, parsed->id, command.request.region());
  if (!home) {
    report_bad_request(state, kUnknownRegion);
    return;
  }
  entry::open_request request;
  request.request = std::move(*parsed);
  request.request.home = *home;
  open_exchange(state, command.token, std::move(request), command.wait);
}

void on_query(core_state& state, api::query&& command) {
  open_by_id(state, command.token, entry::request_kind::query, command.id,
             command.region, command.wait);
}

void on_cancel(core_state& state, api::cancel&& command) {
  open_by_id(state, command.token, entry::request_kind::cancel, command.id,
             command.region, milliseconds(0));
}

void on_explain(core_state& state, const api::explain& command) {
  const std::optional<job::shard_id> home =
      home_or_refuse(state, command.token, command.id, command.region);
  if (!home) return;
  const shard_runtime& shard = runtime(state, *home);
  if (shard.engine == nullptr) {
    const entry::owner owner = find_owner(&state, *home);
    refuse(state, command.token, 421,
           owner.daemon.empty() ? "the request's shard has no owner"
                                : "ask daemon " + owner.daemon);
    return;
  }
  state.api.send(api::text_reply{
      command.token,
      place::explain(*shard.engine, command.id, state.clock.now())});
}

void on_entry_reply(core_state& state, const requests::reply& reply) {
  apply_effects(state,
                entry::on_reply(state.entry, reply.to.token, reply.outcome,
                                reply.wrong_owner, state.clock.now()));
}

void tick_entry(core_state& state) {
  apply_effects(state,
                entry::tick(state.entry, owners_of(state), state.clock.now()));
}

void on_peer_message(core_state& state, const wire::envelope& message) {
  switch (message.body_case()) {
    case wire::envelope::kHeartbeat:
      membership::apply_heartbeat(state.membership, message);
      return;
    case wire::envelope::kForward:
      on_forward(state, message.from(), message.forward());
      return;
    case wire::envelope::kForwardReply:
      apply_effects(
          state, entry::on_reply(state.entry, message.forward_reply().token(),
                                 message.forward_reply().outcome(),
                                 message.forward_reply().wrong_owner(),
                                 state.clock.now()));
      return;
    case wire::envelope::kCancel:
      on_peer_cancel(state, message.from(), message.cancel());
      return;
    case wire::envelope::kQuery:
      on_peer_query(state, message.from(), message.query());
      return;
    case wire::envelope::kBundleWant:
      on_bundle_want(state, message.from(), message.bundle_want());
      return;
    case wire::envelope::kBundle:
      on_bundle_from_peer(state, message.bundle());
      return;
    case wire::envelope::kHeartbeatReply:
    case wire::envelope::kProbe:
    case wire::envelope::BODY_NOT_SET:
      return;
  }
}

void tick_membership(core_state& state) {
  membership::local_status local;
  local.claims_offset = state.ownership.claims.next_offset;
  local.bundle_roll = state.registry.roll;
  local.leaving = state.draining;
  membership::set_local(state.membership, local);
  for (membership::outgoing& each :
       membership::tick(state.membership, state.clock.now())) {
    wire::envelope message;
    *message.mutable_heartbeat() = std::move(each.heartbeat);
    send_to_peer(state, each.to, std::move(message));
  }
  const std::optional<std::string> source =
      membership::newer_bundle_source(state.membership);
  if (!source) return;
  wire::envelope want;
  want.mutable_bundle_want()->set_roll(state.registry.roll);
  send_to_peer(state, *source, std::move(want));
}

void send_to_peer(core_state& state, const std::string& to,
                  wire::envelope message) {
  state.peers.send(peer::send{to, std::move(message)});
}

}  // namespace ebonygrade::core
