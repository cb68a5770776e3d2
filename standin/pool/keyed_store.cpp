#include "standin/pool/keyed_store.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <limits>
#include <optional>
#include <set>

#include "clock/timer.h"

namespace ebonygrade::standin {

namespace endian = boost::endian;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxBodyBytes = 4 << 20;
constexpr std::size_t kMaxRememberedAppends = 5;
constexpr std::size_t kMaxNewestItems = 500;
constexpr std::chrono::milliseconds kMaxWaitingWork{2000};

http::server_options make_server_options() {
  http::server_options options;
  options.max_body_bytes = kMaxBodyBytes;
  return options;
}

std::uint64_t query_number(const http::target_parts& target,
                           std::string_view name) {
  std::optional<std::string> text = http::query_value(target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
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

stored_record parse_record(std::string raw) {
  stored_record record;
  std::size_t key = raw.empty() ? 0 : static_cast<unsigned char>(raw[0]);
  if (raw.size() >= 1 + key) {
    record.key = raw.substr(1, key);
    record.value = raw.substr(1 + key);
  }
  record.raw = std::move(raw);
  return record;
}

// Nothing if a length prefix exceeds the rest of the body.
std::optional<std::vector<stored_record>> parse_records(
    const std::string& body) {
  std::vector<stored_record> records;
  std::size_t at = 0;
  while (at < body.size()) {
    if (body.size() - at < kLengthBytes) return std::nullopt;
    std::size_t length = endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(body.data()) + at);
    at += kLengthBytes;
    if (body.size() - at < length) return std::nullopt;
    records.push_back(parse_record(body.substr(at, length)));
    at += length;
  }
  return records;
}

http::response json_reply(unsigned code, std::string body) {
  http::response reply = http::json_response(http::status::ok, std::move(body));
  reply.result(code);
  return reply;
}

}  // namespace

keyed_store::keyed_store(boost::asio::io_context& context)
    : context_(context),
      server_(context, make_server_options(),
              [this](http::request&& request, http::responder answer) {
                handle(std::move(request), std::move(answer));
              }) {
  server_.listen("127.0.0.1:0").value();
}

std::string keyed_store::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

void keyed_store::put(const std::string& topic, const std::string& key,
                      const std::string& value) {
  std::string raw(1, static_cast<char>(key.size()));
  add(&topics_[topic], {parse_record(raw + key + value)});
}

void keyed_store::block_reads(const std::string& topic) {
  block_reads_below(topic, std::numeric_limits<std::uint64_t>::max());
}

void keyed_store::block_readers_behind(const std::string& topic) {
  block_reads_below(topic, topics_[topic].records.size() + 1);
}

void keyed_store::block_reads_below(const std::string& topic,
                                    std::uint64_t offset) {
  blocked_topic_ = topic;
  blocked_below_ = offset;
  for (const std::shared_ptr<waiting_read>& each : waiting_reads_) {
    if (each->topic != topic || each->from >= offset) continue;
    if (std::exchange(each->answered, true)) continue;
    each->timer->cancel();
    blocked_reads_.push_back(std::move(each->answer));
  }
}

void keyed_store::compact(const std::string& name) {
  topics_[name].first_offset = topics_[name].records.size();
}

const std::vector<stored_record>& keyed_store::records(
    const std::string& topic) {
  return topics_[topic].records;
}

std::uint64_t keyed_store::reads_with_records(const std::string& topic) {
  return topics_[topic].reads_with_records;
}

std::set<std::string> keyed_store::producers(const std::string& topic) const {
  std::map<std::string, std::set<std::string>>::const_iterator found =
      producers_.find(topic);
  return found == producers_.end() ? std::set<std::string>() : found->second;
}

void keyed_store::add(topic* into, const std::vector<stored_record>& records) {
  into->records.insert(into->records.end(), records.begin(), records.end());
  answer_waiting_reads();
}

void keyed_store::handle(http::request&& request, http::responder answer) {
  std::optional<http::target_parts> target =
      http::parse_target(std::string(request.target()));
  if (target && target->segments.size() == 1 &&
      target->segments.front() == "log-append") {
    producers_[http::query_value(*target, "topic").value_or("")].insert(
        http::query_value(*target, "producer").value_or(""));
  }
  if (unavailable_ || !target || target->segments.size() != 1) {
    return answer(json_reply(503, "{}"));
  }
  const std::string& call = target->segments.front();
  if (call == "log-read") return read(*target, std::move(answer));
  if (call == "log-newest") return reply(answer, newest(*target));
  if (call != "log-append") return reply(answer, json_reply(404, "{}"));
  if (delay_append(*target, request.body(), answer)) return;
  if (times_.append.count() == 0) {
    return run_append(*target, request.body(), std::move(answer));
  }
  topic& into = topics_[http::query_value(*target, "topic").value_or("")];
  clock::steady_time now = clock::boot_clock::now();
  if (into.busy_until - now > kMaxWaitingWork) {
    return reply(answer, json_reply(503, "{}"));
  }
  into.busy_until = std::max(into.busy_until, now) + times_.append;
  run_after(into.busy_until - now,
            [this, target = *target, body = request.body(),
             answer = std::move(answer)] { run_append(target, body, answer); });
}

void keyed_store::apply_late(const late_appends& late, std::uint32_t seed) {
  late_ = late;
  late_random_.seed(seed);
}

bool keyed_store::delay_append(const http::target_parts& target,
                               const std::string& body,
                               const http::responder& answer) {
  if (late_.share <= 0) return false;
  bool is_late =
      std::uniform_real_distribution<double>(0, 1)(late_random_) < late_.share;
  if (!is_late) return false;
  std::uniform_int_distribution<std::int64_t> delay(late_.shortest.count(),
                                                    late_.longest.count());
  lost_replies_.push_back(answer);
  ++waiting_late_appends_;
  run_after(
      std::chrono::milliseconds(delay(late_random_)), [this, target, body] {
        std::string name = http::query_value(target, "topic").value_or("");
        std::size_t before = topics_[name].records.size();
        append(target, body);
        --waiting_late_appends_;
        bool added = topics_[name].records.size() > before;
        ++(added ? applied_late_appends_ : void_late_appends_);
      });
  return true;
}

void keyed_store::run_append(const http::target_parts& target,
                             const std::string& body, http::responder answer) {
  bool conflicts = !conflict_topic_.empty() &&
                   http::query_value(target, "topic") == conflict_topic_ &&
                   http::query_value(target, "at").has_value();
  if (conflicts) put(conflict_topic_, "c0000000000000000", "");
  http::response message = append(target, body);
  if (replies_to_drop_ > 0) {
    --replies_to_drop_;
    return answer.drop();
  }
  if (std::uniform_real_distribution<double>(0, 1)(random_) < lost_share_) {
    return lost_replies_.push_back(std::move(answer));
  }
  reply(answer, std::move(message));
}

void keyed_store::run_after(std::chrono::nanoseconds delay,
                            std::function<void()> step) {
  std::shared_ptr<clock::timer> timer =
      std::make_shared<clock::timer>(context_);
  timer->expires_after(std::chrono::ceil<clock::milliseconds>(delay));
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code cancelled) {
        if (!cancelled) step();
      });
}

void keyed_store::reply(const http::responder& answer,
                        http::response&& message) {
  if (times_.answer.count() == 0) return answer(std::move(message));
  std::shared_ptr<http::response> kept =
      std::make_shared<http::response>(std::move(message));
  run_after(times_.answer, [answer, kept] { answer(std::move(*kept)); });
}

http::response keyed_store::append(const http::target_parts& target,
                                   const std::string& body) {
  ++appends_;
  std::optional<std::string> name = http::query_value(target, "topic");
  std::optional<std::vector<stored_record>> records = parse_records(body);
  if (!name || !records) return json_reply(400, "{}");
  if (*name == "keyed.op" || *name == "keyed.servers")
    return json_reply(403, "{}");
  return append_records(&topics_[*name], target, std::move(*records));
}

http::response keyed_store::append_records(topic* into,
                                           const http::target_parts& target,
                                           std::vector<stored_record> records) {
  std::optional<std::string> producer = http::query_value(target, "producer");
  std::uint64_t epoch = query_number(target, "epoch");
  std::uint64_t sequence = query_number(target, "seq");
  producer_state* state = nullptr;
  bool starts_epoch = false;
  if (producer) {
    state = &into->producers[*producer];
    bool is_new = state->replies.empty() && state->epoch == 0;
    if (epoch < state->epoch) return json_reply(409, R"({"reason":"fenced"})");
    starts_epoch = is_new || epoch > state->epoch;
    if (!starts_epoch) {
      for (const std::pair<std::uint64_t, std::string>& each : state->replies) {
        if (each.first == sequence) return json_reply(200, each.second);
      }
      if (sequence != state->next_sequence) {
        return json_reply(409, R"({"reason":"seq","seq":)" +
                                   std::to_string(state->next_sequence) + "}");
      }
    }
  }
  std::uint64_t end = into->records.size();
  if (http::query_value(target, "at") && query_number(target, "at") != end) {
    return json_reply(412, R"({"end":)" + std::to_string(end) + "}");
  }
  std::string reply = R"({"offset":)" + std::to_string(end) + R"(,"end":)" +
                      std::to_string(end + records.size()) + "}";
  if (state != nullptr) {
    if (starts_epoch) state->replies.clear();
    state->epoch = epoch;
    state->next_sequence = sequence + 1;
    state->replies.emplace_back(sequence, reply);
    if (state->replies.size() > kMaxRememberedAppends) {
      state->replies.pop_front();
    }
    for (stored_record& each : records) {
      each.producer = *producer;
      each.epoch = epoch;
    }
  }
  add(into, records);
  return json_reply(200, reply);
}

http::response keyed_store::newest(const http::target_parts& target) {
  const topic& from = topics_[http::query_value(target, "topic").value_or("")];
  std::string after = http::query_value(target, "dependsOn").value_or("");
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < from.records.size(); ++i) {
    last[from.records[i].key] = i;
  }
  std::string items;
  std::size_t count = 0;
  bool more = false;
  for (const std::pair<const std::string, std::size_t>& each : last) {
    const stored_record& record = from.records[each.second];
    if (each.first <= after || record.value.empty()) continue;
    if (count == kMaxNewestItems) {
      more = true;
      break;
    }
    ++count;
    if (!items.empty()) items += ',';
    items += R"({"key":")" + each.first + R"(","value":")" +
             encode_base64(record.value) + R"(","offset":)" +
             std::to_string(each.second) + "}";
  }
  return json_reply(200, R"({"items":[)" + items + R"(],"more":)" +
                             (more ? "true" : "false") + R"(,"end":)" +
                             std::to_string(from.records.size()) + "}");
}

http::response keyed_store::make_read_reply(topic& from, std::uint64_t offset) {
  if (offset < from.records.size()) ++from.reads_with_records;
  std::string body;
  append_u64(&body, from.records.size());
  append_u64(&body, from.first_offset);
  for (std::size_t i = offset; i < from.records.size(); ++i) {
    append_length(&body, from.records[i].raw.size());
    body += from.records[i].raw;
  }
  return http::text_response(http::status::ok, "application/octet-stream",
                             std::move(body));
}

void keyed_store::read(const http::target_parts& target,
                       http::responder answer) {
  std::string name = http::query_value(target, "topic").value_or("");
  std::uint64_t offset = query_number(target, "from");
  if (!name.empty() && name == blocked_topic_ && offset < blocked_below_) {
    return blocked_reads_.push_back(std::move(answer));
  }
  topic& from = topics_[name];
  if (offset < from.first_offset) {
    return reply(answer,
                 json_reply(410, R"({"first":)" +
                                     std::to_string(from.first_offset) + "}"));
  }
  std::uint64_t wait = query_number(target, "waitMs");
  if (offset < from.records.size() || wait == 0) {
    return reply(answer, make_read_reply(from, offset));
  }
  std::shared_ptr<waiting_read> waiting = std::make_shared<waiting_read>(
      waiting_read{name, offset, std::move(answer),
                   std::make_unique<clock::timer>(context_), false});
  waiting->timer->expires_after(std::chrono::milliseconds(wait));
  waiting->timer->async_wait(
      [this, waiting](boost::system::error_code cancelled) {
        if (cancelled || std::exchange(waiting->answered, true)) return;
        reply(waiting->answer,
              make_read_reply(topics_[waiting->topic], waiting->from));
      });
  waiting_reads_.push_back(std::move(waiting));
}

void keyed_store::answer_waiting_reads() {
  std::vector<std::shared_ptr<waiting_read>> still_waiting;
  for (std::shared_ptr<waiting_read>& each : waiting_reads_) {
    if (each->answered) continue;
    topic& from = topics_[each->topic];
    if (each->from >= from.records.size()) {
      still_waiting.push_back(std::move(each));
      continue;
    }
    each->answered = true;
    each->timer->cancel();
    reply(each->answer, make_read_reply(from, each->from));
  }
  waiting_reads_ = std::move(still_waiting);
}

}  // namespace ebonygrade::standin
