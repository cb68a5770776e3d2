#include "standin/pool/keyed_store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <optional>
#include <set>

namespace ebonygrade::standin {

namespace endian = boost::endian;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kRememberedAppends = 5;
constexpr std::size_t kPageRecords = 500;

http::server_options options() {
  http::server_options made;
  made.max_body_bytes = 4 << 20;
  return made;
}

std::uint64_t number(const http::target_parts& target, std::string_view name) {
  std::optional<std::string> text = http::query_value(target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

std::string encode_base64(const std::string& value) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(value.size()), '\0');
  out.resize(base64::encode(out.data(), value.data(), value.size()));
  return out;
}

void put_u64(std::string* out, std::uint64_t value) {
  unsigned char bytes[8];
  endian::store_big_u64(bytes, value);
  out->append(reinterpret_cast<const char*>(bytes), sizeof bytes);
}

void put_length(std::string* out, std::size_t value) {
  unsigned char bytes[kLengthBytes];
  endian::store_big_u32(bytes, static_cast<std::uint32_t>(value));
  out->append(reinterpret_cast<const char*>(bytes), kLengthBytes);
}

stored_record parse(std::string raw) {
  stored_record record;
  std::size_t key = raw.empty() ? 0 : static_cast<unsigned char>(raw[0]);
  if (raw.size() >= 1 + key) {
    record.key = raw.substr(1, key);
    record.value = raw.substr(1 + key);
  }
  record.raw = std::move(raw);
  return record;
}

// Nothing if a length doesn't fit.
std::optional<std::vector<stored_record>> parse_all(const std::string& body) {
  std::vector<stored_record> records;
  std::size_t at = 0;
  while (at < body.size()) {
    if (body.size() - at < kLengthBytes) return std::nullopt;
    std::size_t length = endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(body.data()) + at);
    at += kLengthBytes;
    if (body.size() - at < length) return std::nullopt;
    records.push_back(parse(body.substr(at, length)));
    at += length;
  }
  return records;
}

http::response json(unsigned code, std::string body) {
  http::response reply = http::json_response(http::status::ok, std::move(body));
  reply.result(code);
  return reply;
}

}  // namespace

keyed_store::keyed_store(boost::asio::io_context& context)
    : context_(context),
      server_(context, options(),
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
  add(&topics_[topic], {parse(raw + key + value)});
}

void keyed_store::forget(const std::string& name) {
  topics_[name].first = topics_[name].records.size();
}

const std::vector<stored_record>& keyed_store::records(
    const std::string& topic) {
  return topics_[topic].records;
}

std::set<std::string> keyed_store::producers(const std::string& topic) const {
  std::map<std::string, std::set<std::string>>::const_iterator found =
      producers_.find(topic);
  return found == producers_.end() ? std::set<std::string>() : found->second;
}

void keyed_store::add(topic* into, const std::vector<stored_record>& records) {
  into->records.insert(into->records.end(), records.begin(), records.end());
  wake_readers();
}

void keyed_store::handle(http::request&& request, http::responder answer) {
  std::optional<http::target_parts> target =
      http::parse_target(std::string(request.target()));
  if (target && target->segments.size() == 1 &&
      target->segments.front() == "log-append") {
    producers_[http::query_value(*target, "topic").value_or("")].insert(
        http::query_value(*target, "producer").value_or(""));
  }
  if (refuses_ || !target || target->segments.size() != 1) {
    return answer(json(503, "{}"));
  }
  const std::string& call = target->segments.front();
  if (call == "log-read") return read(*target, std::move(answer));
  if (call == "log-newest") return answer(newest(*target));
  if (call != "log-append") return answer(json(404, "{}"));
  bool raced = !raced_topic_.empty() &&
               http::query_value(*target, "topic") == raced_topic_ &&
               http::query_value(*target, "at").has_value();
  if (raced) put(raced_topic_, "c0000000000000000", "");
  http::response reply = append(*target, request.body());
  if (lost_answers_ > 0) {
    --lost_answers_;
    // The connection stays open and silent.
    return answer.drop();
  }
  answer(std::move(reply));
}

http::response keyed_store::append(const http::target_parts& target,
                                   const std::string& body) {
  ++appends_;
  std::optional<std::string> name = http::query_value(target, "topic");
  std::optional<std::vector<stored_record>> records = parse_all(body);
  if (!name || !records) return json(400, "{}");
  if (*name == "keyed.op" || *name == "keyed.servers") return json(403, "{}");
  return append_as(&topics_[*name], target, *records);
}

http::response keyed_store::append_as(
    topic* into, const http::target_parts& target,
    const std::vector<stored_record>& records) {
  std::optional<std::string> producer = http::query_value(target, "producer");
  std::uint64_t epoch = number(target, "epoch");
  std::uint64_t sequence = number(target, "seq");
  producer_state* state = nullptr;
  bool begins_epoch = false;
  if (producer) {
    state = &into->producers[*producer];
    bool is_new = state->answers.empty() && state->epoch == 0;
    if (epoch < state->epoch) return json(409, R"({"reason":"fenced"})");
    begins_epoch = is_new || epoch > state->epoch;
    if (!begins_epoch) {
      for (const std::pair<std::uint64_t, std::string>& each : state->answers) {
        if (each.first == sequence) return json(200, each.second);
      }
      if (sequence != state->next) {
        return json(409, R"({"reason":"seq","seq":)" +
                             std::to_string(state->next) + "}");
      }
    }
  }
  std::uint64_t end = into->records.size();
  if (http::query_value(target, "at") && number(target, "at") != end) {
    return json(412, R"({"end":)" + std::to_string(end) + "}");
  }
  std::string reply = R"({"offset":)" + std::to_string(end) + R"(,"end":)" +
                      std::to_string(end + records.size()) + "}";
  if (state != nullptr) {
    if (begins_epoch) state->answers.clear();
    state->epoch = epoch;
    state->next = sequence + 1;
    state->answers.emplace_back(sequence, reply);
    if (state->answers.size() > kRememberedAppends) {
      state->answers.pop_front();
    }
  }
  add(into, records);
  return json(200, reply);
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
    if (count == kPageRecords) {
      more = true;
      break;
    }
    ++count;
    if (!items.empty()) items += ',';
    items += R"({"key":")" + each.first + R"(","value":")" +
             encode_base64(record.value) + R"(","offset":)" +
             std::to_string(each.second) + "}";
  }
  return json(200, R"({"items":[)" + items + R"(],"more":)" +
                       (more ? "true" : "false") + R"(,"end":)" +
                       std::to_string(from.records.size()) + "}");
}

http::response keyed_store::read_now(const topic& from,
                                     std::uint64_t offset) const {
  std::string body;
  put_u64(&body, from.records.size());
  put_u64(&body, from.first);
  for (std::size_t i = offset; i < from.records.size(); ++i) {
    put_length(&body, from.records[i].raw.size());
    body += from.records[i].raw;
  }
  return http::text_response(http::status::ok, "application/octet-stream",
                             std::move(body));
}

void keyed_store::read(const http::target_parts& target,
                       http::responder answer) {
  std::string name = http::query_value(target, "topic").value_or("");
  if (!name.empty() && name == held_topic_) {
    return held_reads_.push_back(std::move(answer));
  }
  topic& from = topics_[name];
  std::uint64_t offset = number(target, "from");
  if (offset < from.first) {
    return answer(json(410, R"({"first":)" + std::to_string(from.first) + "}"));
  }
  std::uint64_t wait = number(target, "waitMs");
  if (offset < from.records.size() || wait == 0) {
    return answer(read_now(from, offset));
  }
  std::shared_ptr<reader> waiting = std::make_shared<reader>(
      reader{name, offset, std::move(answer),
             std::make_unique<boost::asio::steady_timer>(context_), false});
  waiting->limit->expires_after(std::chrono::milliseconds(wait));
  waiting->limit->async_wait([this, waiting](boost::system::error_code e) {
    if (e || std::exchange(waiting->answered, true)) return;
    waiting->answer(read_now(topics_[waiting->topic], waiting->from));
  });
  readers_.push_back(std::move(waiting));
}

void keyed_store::wake_readers() {
  std::vector<std::shared_ptr<reader>> still;
  for (std::shared_ptr<reader>& each : readers_) {
    if (each->answered) continue;
    const topic& from = topics_[each->topic];
    if (each->from >= from.records.size()) {
      still.push_back(std::move(each));
      continue;
    }
    each->answered = true;
    each->limit->cancel();
    each->answer(read_now(from, each->from));
  }
  readers_ = std::move(still);
}

}  // namespace ebonygrade::standin
