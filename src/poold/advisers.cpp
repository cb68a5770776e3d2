#include "poold/advisers.h"

#include <algorithm>
#include <utility>

#include "platform/advice.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

// Three missed announcements.
constexpr milliseconds kSilence{3200};
constexpr milliseconds kAvoidTime{2000};
constexpr milliseconds kAnswerSlack{1500};
// As many as a daemon is sent at once.
constexpr std::size_t kConnections = 3;

http::client_options adviser_options() {
  http::client_options options;
  options.connections = kConnections;
  return options;
}

}  // namespace

advisers::advisers(boost::asio::io_context& context, const clock::clock& clock,
                   const std::string& service_address)
    : context_(context), clock_(clock) {
  if (service_address.empty()) return;
  std::shared_ptr<adviser> local = std::make_shared<adviser>();
  local->client = std::make_unique<http::client>(context, service_address,
                                                 adviser_options());
  local->local = true;
  advisers_[""] = std::move(local);
}

void advisers::heard_of(const std::string& daemon,
                        const std::string& peer_address) {
  std::shared_ptr<adviser>& known = advisers_[daemon];
  if (!known || known->address != peer_address) {
    known = std::make_shared<adviser>();
    known->client = std::make_unique<http::client>(context_, peer_address,
                                                   adviser_options());
    known->address = peer_address;
    known->target = kAdvicePath;
  }
  known->heard = clock_.now();
  dispatch();
}

bool advisers::is_available(const adviser& adviser, steady_time now) const {
  if (adviser.avoid_until > now) return false;
  return adviser.local || now - adviser.heard <= kSilence;
}

std::vector<std::string> advisers::peer_addresses() const {
  std::vector<std::string> addresses;
  for (const std::pair<const std::string, std::shared_ptr<adviser>>& each :
       advisers_) {
    bool silent = clock_.now() - each.second->heard > kSilence;
    if (!each.second->local && !silent) {
      addresses.push_back(each.second->address);
    }
  }
  return addresses;
}

std::shared_ptr<advisers::adviser> advisers::choose(
    const pool::advice_request& order, steady_time now) const {
  std::vector<std::shared_ptr<adviser>> daemons;
  std::vector<adviser_load> loads;
  for (const std::pair<const std::string, std::shared_ptr<adviser>>& each :
       advisers_) {
    daemons.push_back(each.second);
    loads.push_back(each.second->load);
    loads.back().available = is_available(*each.second, now);
  }
  adviser_choice choice = choose_adviser(loads, order.expected, now);
  return choice.found ? daemons[choice.index] : nullptr;
}

void advisers::ask(const pool::advice_request& order, handler handler) {
  waiting_.emplace(order.priority, question{order, std::move(handler)});
  dispatch();
}

void advisers::dispatch() {
  steady_time now = clock_.now();
  std::multimap<std::uint32_t, question>::iterator each = waiting_.begin();
  while (each != waiting_.end()) {
    std::shared_ptr<adviser> chosen = choose(each->second.order, now);
    if (!chosen) {
      // A shorter question may still find a daemon.
      ++each;
      continue;
    }
    question next = std::move(each->second);
    each = waiting_.erase(each);
    send(std::move(chosen), std::move(next), now);
  }
}

void advisers::send(std::shared_ptr<adviser> chosen, question asked,
                    steady_time now) {
  milliseconds expected = asked.order.expected;
  note_question(&chosen->load, expected, now);
  steady_time due = chosen->load.free_at;
  http::request message = platform::encode_advice(asked.order);
  if (!chosen->local) message.target(chosen->target);
  milliseconds timeout =
      std::chrono::duration_cast<milliseconds>(due - now) + kAnswerSlack;
  http::client& client = *chosen->client;
  client.call("advise", std::move(message), timeout,
              [this, alive = std::weak_ptr<bool>(alive_), chosen, expected, due,
               answer = std::move(asked.answer)](http::call_result&& result) {
                if (alive.expired()) return;
                note_answer(&chosen->load, expected, due, clock_.now());
                std::optional<std::vector<pool::ticket>> tickets;
                if (result.has_value()) {
                  tickets = platform::decode_advice(*result);
                }
                if (!tickets) chosen->avoid_until = clock_.now() + kAvoidTime;
                answer(std::move(tickets));
                dispatch();
              });
}

}  // namespace ebonygrade::poold
