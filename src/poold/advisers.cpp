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
// A question goes to a daemon whose earlier one is about to be answered, so
// that the service doesn't stand idle for the way there and back.
constexpr milliseconds kNearlyFree{20};
constexpr std::size_t kMaxOpen = 3;
// Questions that take longer may not occupy every daemon.
constexpr milliseconds kLongQuestion{40};
// Of the daemons, one in so many takes no long questions.
constexpr std::size_t kKeptFreeOneIn = 4;

http::client_options adviser_options() {
  http::client_options options;
  options.connections = kMaxOpen;
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
    const pool::advice_order& order, steady_time now) {
  std::shared_ptr<adviser> best;
  std::size_t available = 0;
  std::size_t with_long = 0;
  for (std::pair<const std::string, std::shared_ptr<adviser>>& each :
       advisers_) {
    adviser& candidate = *each.second;
    if (!is_available(candidate, now)) continue;
    ++available;
    if (candidate.open_long > 0) ++with_long;
    if (candidate.open >= kMaxOpen) continue;
    if (candidate.open == 0) candidate.free_at = now;
    if (candidate.free_at > now + kNearlyFree) continue;
    if (!best || candidate.free_at < best->free_at) best = each.second;
  }
  bool is_long = order.expected > kLongQuestion;
  std::size_t kept_free = available < 2 ? 0 : available / kKeptFreeOneIn + 1;
  if (is_long && with_long + kept_free >= available) return nullptr;
  return best;
}

void advisers::ask(const pool::advice_order& order, handler handler) {
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
  bool is_long = asked.order.expected > kLongQuestion;
  chosen->free_at = std::max(chosen->free_at, now) + asked.order.expected;
  ++chosen->open;
  if (is_long) ++chosen->open_long;
  http::request message = platform::encode_advice(asked.order);
  if (!chosen->local) message.target(chosen->target);
  milliseconds timeout =
      std::chrono::duration_cast<milliseconds>(chosen->free_at - now) +
      kAnswerSlack;
  http::client& client = *chosen->client;
  client.call("advise", std::move(message), timeout,
              [this, alive = std::weak_ptr<bool>(alive_), chosen, is_long,
               answer = std::move(asked.answer)](http::call_result&& result) {
                if (alive.expired()) return;
                --chosen->open;
                if (is_long) --chosen->open_long;
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
