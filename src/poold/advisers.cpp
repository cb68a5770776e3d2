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
// The service refuses a caller with 32 questions waiting.
constexpr std::size_t kMaxOpen = 24;

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
  local->client = std::make_shared<http::client>(context, service_address,
                                                 adviser_options());
  local->local = true;
  advisers_[""] = std::move(local);
}

void advisers::heard_of(const std::string& daemon,
                        const std::string& peer_address) {
  std::shared_ptr<adviser>& known = advisers_[daemon];
  if (!known || known->address != peer_address) {
    known = std::make_shared<adviser>();
    known->client = std::make_shared<http::client>(context_, peer_address,
                                                   adviser_options());
    known->address = peer_address;
    known->target = kAdvicePath;
  }
  known->heard = clock_.now();
}

advisers::adviser* advisers::choose(steady_time now) {
  adviser* best = nullptr;
  for (const std::pair<const std::string, std::shared_ptr<adviser>>& each :
       advisers_) {
    adviser& candidate = *each.second;
    bool silent = !candidate.local && now - candidate.heard > kSilence;
    if (silent || candidate.open >= kMaxOpen) continue;
    if (candidate.avoid_until > now) continue;
    candidate.free_at = std::max(candidate.free_at, now);
    if (best == nullptr || candidate.free_at < best->free_at) best = &candidate;
  }
  return best;
}

void advisers::ask(const pool::advice_order& order, handler handler) {
  steady_time now = clock_.now();
  adviser* chosen = choose(now);
  if (chosen == nullptr) return handler(std::nullopt);
  chosen->free_at += order.expected;
  ++chosen->open;
  http::request message = platform::encode_advice(order);
  if (!chosen->local) message.target(chosen->target);
  milliseconds timeout =
      std::chrono::duration_cast<milliseconds>(chosen->free_at - now) +
      kAnswerSlack;
  std::shared_ptr<adviser> held;
  for (std::pair<const std::string, std::shared_ptr<adviser>>& each :
       advisers_) {
    if (each.second.get() == chosen) held = each.second;
  }
  chosen->client->call(
      "advise", std::move(message), timeout,
      [this, held, handler = std::move(handler)](http::call_result&& result) {
        --held->open;
        std::optional<std::vector<pool::ticket>> tickets;
        if (result.has_value()) tickets = platform::decode_advice(*result);
        if (!tickets) held->avoid_until = clock_.now() + kAvoidTime;
        handler(std::move(tickets));
      });
}

}  // namespace ebonygrade::poold
