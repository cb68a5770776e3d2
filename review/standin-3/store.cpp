#include "store.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <optional>

namespace ebonygrade::review {

namespace endian = boost::endian;
namespace json = boost::json;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxServerBody = 16 << 20;
constexpr std::size_t kMaxRememberedAppends = 5;
constexpr std::size_t kMaxNewestItems = 500;
constexpr std::size_t kMaxNewestBytes = 1 << 20;
constexpr std::chrono::milliseconds kMaxWaitingWork{2000};
constexpr std::uint64_t kDefaultReadKb = 1024;

http::server_options make_options() {
  http::server_options options;
  options.max_body_bytes = kMaxServerBody;
  return options;
}

std::string text_of(const http::target_parts& target, std::string_view name) {
  return http::query_value(target, name).value_or("");
}

std::uint64_t number_of(const http::target_parts& target, std::string_view name,
                        std::uint64_t missing = 0) {
  std::optional<std::string> text = http::query_value(target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : missing;
}

http::response make_reply(unsigned code, std::string body) {
  http::response reply = http::json_response(http::status::ok, std::move(body));
  reply.result(code);
  return reply;
}

std::string encode_base64(const std::string& value) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(value.size()), '\0');
  out.resize(base64::encode(out.data(), value.data(), value.size()));
  return out;
}

void append_u64(std::string* out, std::uint64_t value) {
  unsigned char bytes[8];
  endian::store_big_u64(bytes, value);
  out->append(reinterpret_cast<const char*>(bytes), sizeof bytes);
}

void append_length(std::string* out, std::size_t value) {
  unsigned char bytes[kLengthBytes];
  endian::store_big_u32(bytes, static_cast<std::uint32_t>(value));
  out->append(reinterpret_cast<const char*>(bytes), kLengthBytes);
}

// The records of an append, without their lengths.
std::optional<std::vector<std::string>> split_records(const std::string& body) {
  std::vector<std::string> records;
  std::size_t at = 0;
  while (at < body.size()) {
    if (body.size() - at < kLengthBytes) return std::nullopt;
    std::size_t length = endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(body.data()) + at);
    at += kLengthBytes;
    if (body.size() - at < length) return std::nullopt;
    records.push_back(body.substr(at, length));
    at += length;
  }
  return records;
}

}  // namespace

store::store(boost::asio::io_context& context, const store_limits& limits,
             std::function<void(const std::string&)> note)
    : context_(context),
      limits_(limits),
      note_(std::move(note)),
      server_(context, make_options(),
              [this](http::request&& request, http::responder answer) {
                handle(std::move(request), answer);
              }) {
  server_.listen("127.0.0.1:0").value();
}

std::string store::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

void store::put(const std::string& topic, const std::string& key,
                const std::string& value) {
  stored made{key, value, std::string(1, static_cast<char>(key.size()))};
  made.raw += key + value;
  add(&topics_[topic], {made});
}

void store::run_after(std::chrono::nanoseconds delay,
                      std::function<void()> step) {
  std::shared_ptr<clock::timer> timer =
      std::make_shared<clock::timer>(context_);
  timer->expires_after(delay);
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code failed) {
        if (!failed) step();
      });
}

void store::reply(const http::responder& answer, http::response message) {
  run_after(limits_.answer_time, [answer, message = std::move(message)] {
    answer(http::response(message));
  });
}

void store::handle(http::request&& request, const http::responder& answer) {
  std::optional<http::target_parts> target =
      http::parse_target(std::string(request.target()));
  if (!target || target->segments.size() != 1) {
    return reply(answer, make_reply(404, "{}"));
  }
  const std::string& call = target->segments.front();
  if (call == "log-read") return read(*target, answer);
  if (call == "log-newest") return reply(answer, list_newest(*target));
  if (call == "log-append") {
    return append_later(*target, std::move(request.body()), answer);
  }
  reply(answer, make_reply(404, "{}"));
}

void store::append_later(const http::target_parts& target, std::string body,
                         const http::responder& answer) {
  topic& into = topics_[text_of(target, "topic")];
  clock::steady_time now = clock::boot_clock::now();
  if (into.busy_until - now > kMaxWaitingWork) {
    return reply(answer, make_reply(503, "{}"));
  }
  std::chrono::duration<double> transfer(static_cast<double>(body.size()) /
                                         (limits_.mb_per_second * 1e6));
  into.busy_until =
      std::max(into.busy_until, now) + limits_.append_time +
      std::chrono::duration_cast<std::chrono::nanoseconds>(transfer);
  run_after(into.busy_until - now,
            [this, target, body = std::move(body), answer] {
              reply(answer, append(target, body));
            });
}

http::response store::append(const http::target_parts& target,
                             const std::string& body) {
  std::string name = text_of(target, "topic");
  if (name == "keyed.op" || name == "keyed.servers") {
    return make_reply(403, "{}");
  }
  topic& into = topics_[name];
  std::optional<std::vector<std::string>> raw = split_records(body);
  if (!raw) return make_reply(400, R"({"error":"malformed records"})");
  std::string producer_name = text_of(target, "producer");
  producer* from = nullptr;
  std::uint64_t epoch = number_of(target, "epoch");
  std::uint64_t sequence = number_of(target, "seq");
  if (!producer_name.empty()) {
    from = &into.producers[producer_name];
    if (epoch < from->epoch) {
      return make_reply(409, R"({"reason":"fenced"})");
    }
    for (const std::pair<std::uint64_t, http::response>& each : from->replies) {
      if (epoch == from->epoch && each.first == sequence) return each.second;
    }
    bool follows = epoch > from->epoch || sequence == from->next ||
                   (from->epoch == 0 && from->next == 0);
    if (!follows) {
      return make_reply(
          409, R"({"reason":"seq","seq":)" + std::to_string(from->next) + "}");
    }
  }
  std::size_t total = 0;
  std::size_t longest = 0;
  for (const std::string& each : *raw) {
    total += each.size();
    longest = std::max(longest, each.size());
  }
  if (longest > limits_.record_bytes || total > limits_.call_bytes) {
    note_("refused an append to " + name +
          " with 413: its longest record has " + std::to_string(longest) +
          " bytes, all " + std::to_string(total));
    return make_reply(413, R"({"error":"too large"})");
  }
  std::uint64_t end = into.records.size();
  if (http::query_value(target, "at") && number_of(target, "at") != end) {
    return make_reply(412, R"({"end":)" + std::to_string(end) + "}");
  }
  std::vector<stored> records;
  for (std::string& each : *raw) {
    stored made;
    std::size_t key = each.empty() ? 0 : static_cast<unsigned char>(each[0]);
    if (each.size() >= 1 + key) {
      made.key = each.substr(1, key);
      made.value = each.substr(1 + key);
    }
    made.raw = std::move(each);
    records.push_back(std::move(made));
  }
  std::uint64_t new_end = end + records.size();
  http::response made =
      make_reply(200, R"({"offset":)" + std::to_string(end) + R"(,"end":)" +
                          std::to_string(new_end) + "}");
  if (from != nullptr) {
    if (epoch > from->epoch) from->replies.clear();
    from->epoch = epoch;
    from->next = sequence + 1;
    from->replies.emplace_back(sequence, made);
    if (from->replies.size() > kMaxRememberedAppends) from->replies.pop_front();
  }
  add(&into, std::move(records));
  return made;
}

void store::add(topic* into, std::vector<stored> records) {
  for (stored& each : records) {
    if (each.value.empty()) {
      into->newest.erase(each.key);
    } else {
      into->newest[each.key] = into->records.size();
    }
    into->records.push_back(std::move(each));
  }
  answer_waiting_reads();
}

http::response store::list_newest(const http::target_parts& target) {
  const topic& from = topics_[text_of(target, "topic")];
  json::array items;
  std::size_t bytes = 0;
  bool more = false;
  std::map<std::string, std::uint64_t>::const_iterator each =
      from.newest.upper_bound(text_of(target, "dependsOn"));
  for (; each != from.newest.end(); ++each) {
    const stored& record = from.records[each->second];
    bool full = items.size() >= kMaxNewestItems ||
                (bytes > 0 && bytes + record.value.size() > kMaxNewestBytes);
    if (full) {
      more = true;
      break;
    }
    bytes += record.value.size();
    items.push_back({{"key", record.key},
                     {"value", encode_base64(record.value)},
                     {"offset", each->second}});
  }
  json::object body{{"items", std::move(items)},
                    {"more", more},
                    {"end", from.records.size()}};
  return make_reply(200, json::serialize(body));
}

http::response store::read_reply(const topic& from, std::uint64_t offset,
                                 std::size_t max_bytes) const {
  std::string body;
  append_u64(&body, from.records.size());
  append_u64(&body, 0);
  std::size_t bytes = 0;
  for (std::uint64_t i = offset; i < from.records.size(); ++i) {
    const std::string& raw = from.records[i].raw;
    if (bytes > 0 && bytes + raw.size() > max_bytes) break;
    bytes += raw.size();
    append_length(&body, raw.size());
    body += raw;
  }
  return http::text_response(http::status::ok, "application/octet-stream",
                             std::move(body));
}

void store::read(const http::target_parts& target,
                 const http::responder& answer) {
  std::string name = text_of(target, "topic");
  std::uint64_t from = number_of(target, "from");
  std::size_t max_bytes = number_of(target, "maxKb", kDefaultReadKb) << 10;
  std::uint64_t wait = number_of(target, "waitMs");
  const topic& records = topics_[name];
  if (from < records.records.size() || wait == 0) {
    return reply(answer, read_reply(records, from, max_bytes));
  }
  std::shared_ptr<waiting_read> made = std::make_shared<waiting_read>(
      waiting_read{name, from, max_bytes, answer,
                   std::make_unique<clock::timer>(context_), false});
  made->timer->expires_after(std::chrono::milliseconds(wait));
  made->timer->async_wait([this, made](boost::system::error_code cancelled) {
    if (cancelled || std::exchange(made->answered, true)) return;
    reply(made->answer,
          read_reply(topics_[made->topic], made->from, made->max_bytes));
  });
  waiting_.push_back(std::move(made));
}

void store::answer_waiting_reads() {
  std::vector<std::shared_ptr<waiting_read>> still_waiting;
  for (std::shared_ptr<waiting_read>& each : waiting_) {
    if (each->answered) continue;
    const topic& from = topics_[each->topic];
    if (each->from >= from.records.size()) {
      still_waiting.push_back(std::move(each));
      continue;
    }
    each->answered = true;
    each->timer->cancel();
    reply(each->answer, read_reply(from, each->from, each->max_bytes));
  }
  waiting_ = std::move(still_waiting);
}

}  // namespace ebonygrade::review
