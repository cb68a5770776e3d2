#include "service.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "platform/json.h"

namespace ebonygrade::review {

namespace endian = boost::endian;
namespace json = boost::json;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxNewest = 500;
constexpr std::size_t kMaxNewestBytes = 1 << 20;
constexpr std::size_t kRememberedAppends = 5;

http::server_options store_options() {
  http::server_options options;
  options.max_body_bytes = 16 << 20;
  return options;
}

std::uint64_t number(const http::target_parts& target, std::string_view name,
                     std::uint64_t missing = 0) {
  std::optional<std::string> text = http::query_value(target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : missing;
}

std::string text_of(const http::target_parts& target, std::string_view name) {
  return http::query_value(target, name).value_or("");
}

http::response reply_json(unsigned code, std::string body) {
  http::response reply = http::json_response(http::status::ok, std::move(body));
  reply.result(code);
  return reply;
}

std::string base64(const std::string& value) {
  namespace codec = boost::beast::detail::base64;
  std::string out(codec::encoded_size(value.size()), '\0');
  out.resize(codec::encode(out.data(), value.data(), value.size()));
  return out;
}

template <typename Number>
void append_big(std::string* out, Number value) {
  unsigned char bytes[sizeof value];
  endian::endian_store<Number, sizeof value, endian::order::big>(bytes, value);
  out->append(reinterpret_cast<const char*>(bytes), sizeof bytes);
}

std::optional<std::vector<std::string>> split_records(const std::string& body) {
  std::vector<std::string> out;
  std::size_t at = 0;
  while (at < body.size()) {
    if (body.size() - at < kLengthBytes) return std::nullopt;
    std::size_t length = endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(body.data()) + at);
    at += kLengthBytes;
    if (body.size() - at < length) return std::nullopt;
    out.push_back(body.substr(at, length));
    at += length;
  }
  return out;
}

}  // namespace

store::store(boost::asio::io_context& context, site& shared)
    : context_(context),
      site_(shared),
      server_(context, store_options(),
              [this](http::request&& request, http::responder answer) {
                std::lock_guard<std::mutex> guard(site_.lock);
                handle(std::move(request), answer);
              }) {
  server_.listen("127.0.0.1:0").value();
}

std::string store::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

void store::put(const std::string& name, const std::string& key,
                const std::string& value) {
  std::string raw(1, static_cast<char>(key.size()));
  topics_[name].records.push_back({key, value, raw + key + value});
  answer_reads();
}

std::string store::newest_value(const std::string& name,
                                const std::string& key) {
  std::string value;
  for (const stored& each : topics_[name].records) {
    if (each.key == key) value = each.value;
  }
  return value;
}

void store::handle(http::request&& request, const http::responder& answer) {
  std::optional<http::target_parts> target =
      http::parse_target(std::string(request.target()));
  if (!target || target->segments.size() != 1) {
    return answer(reply_json(404, "{}"));
  }
  const std::string& call = target->segments.front();
  if (call == "log-read") return read(*target, answer);
  if (call == "log-newest") return answer(newest(*target));
  if (call == "log-append") return answer(append(*target, request.body()));
  answer(reply_json(404, "{}"));
}

http::response store::append(const http::target_parts& target,
                             const std::string& body) {
  std::string name = text_of(target, "topic");
  if (name == "keyed.op" || name == "keyed.servers") {
    return reply_json(403, "{}");
  }
  std::optional<std::vector<std::string>> raws = split_records(body);
  if (!raws || name.empty()) return reply_json(400, "{}");
  std::size_t total = 0;
  std::size_t largest = 0;
  for (const std::string& each : *raws) {
    total += each.size();
    largest = std::max(largest, each.size());
  }
  if (largest > kRecordBytes || total > kCallBytes) {
    ++oversized_;
    site_.log("store: refuses an append to " + name + " with 413: records " +
              std::to_string(raws->size()) + ", largest " +
              std::to_string(largest) + " bytes, all " + std::to_string(total));
    return reply_json(413, "{}");
  }
  topic& into = topics_[name];
  std::uint64_t end = into.records.size();
  std::string producer_name = text_of(target, "producer");
  std::uint64_t epoch = number(target, "epoch");
  std::uint64_t sequence = number(target, "seq");
  producer* from = nullptr;
  bool begins = false;
  if (!producer_name.empty()) {
    from = &into.producers[producer_name];
    if (from->known && epoch < from->epoch) {
      return reply_json(409, R"({"reason":"fenced"})");
    }
    begins = !from->known || epoch > from->epoch;
    if (!begins) {
      for (const std::pair<std::uint64_t, std::string>& each : from->replies) {
        if (each.first == sequence) return reply_json(200, each.second);
      }
      if (sequence != from->next) {
        return reply_json(409, R"({"reason":"seq","seq":)" +
                                   std::to_string(from->next) + "}");
      }
    }
  }
  if (http::query_value(target, "at") && number(target, "at") != end) {
    return reply_json(412, R"({"end":)" + std::to_string(end) + "}");
  }
  for (const std::string& raw : *raws) {
    std::size_t key = raw.empty() ? 0 : static_cast<unsigned char>(raw[0]);
    if (raw.size() < 1 + key) return reply_json(400, "{}");
    into.records.push_back({raw.substr(1, key), raw.substr(1 + key), raw});
  }
  std::string reply = R"({"offset":)" + std::to_string(end) + R"(,"end":)" +
                      std::to_string(into.records.size()) + "}";
  if (from != nullptr) {
    if (begins) from->replies.clear();
    from->known = true;
    from->epoch = epoch;
    from->next = sequence + 1;
    from->replies.emplace_back(sequence, reply);
    if (from->replies.size() > kRememberedAppends) from->replies.pop_front();
  }
  answer_reads();
  return reply_json(200, reply);
}

http::response store::newest(const http::target_parts& target) {
  const topic& from = topics_[text_of(target, "topic")];
  std::string after = text_of(target, "dependsOn");
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < from.records.size(); ++i) {
    last[from.records[i].key] = i;
  }
  json::array items;
  std::size_t bytes = 0;
  bool more = false;
  for (const std::pair<const std::string, std::size_t>& each : last) {
    const stored& record = from.records[each.second];
    if (each.first <= after || record.value.empty()) continue;
    if (items.size() == kMaxNewest || bytes > kMaxNewestBytes) {
      more = true;
      break;
    }
    bytes += record.value.size();
    items.push_back({{"key", each.first},
                     {"value", base64(record.value)},
                     {"offset", each.second}});
  }
  json::object body;
  body["items"] = std::move(items);
  body["more"] = more;
  body["end"] = from.records.size();
  return reply_json(200, json::serialize(body));
}

http::response store::read_reply(const topic& from, std::uint64_t offset,
                                 std::uint64_t max_kb) {
  std::string body;
  append_big<std::uint64_t>(&body, from.records.size());
  append_big<std::uint64_t>(&body, 0);
  for (std::size_t i = offset; i < from.records.size(); ++i) {
    const std::string& raw = from.records[i].raw;
    if (i > offset && body.size() + raw.size() > max_kb * 1024) break;
    append_big<std::uint32_t>(&body, static_cast<std::uint32_t>(raw.size()));
    body += raw;
  }
  return http::text_response(http::status::ok, "application/octet-stream",
                             std::move(body));
}

void store::read(const http::target_parts& target, http::responder answer) {
  std::string name = text_of(target, "topic");
  std::uint64_t from = number(target, "from");
  std::uint64_t wait = number(target, "waitMs");
  std::uint64_t max_kb = number(target, "maxKb", 1024);
  topic& wanted = topics_[name];
  if (from < wanted.records.size() || wait == 0) {
    return answer(read_reply(wanted, from, max_kb));
  }
  std::shared_ptr<waiting_read> waiting =
      std::make_shared<waiting_read>(waiting_read{
          name, from, max_kb, std::move(answer),
          std::make_unique<boost::asio::steady_timer>(context_), false});
  waiting->timer->expires_after(milliseconds(wait));
  waiting->timer->async_wait([this, waiting](boost::system::error_code failed) {
    std::lock_guard<std::mutex> guard(site_.lock);
    if (failed || std::exchange(waiting->answered, true)) return;
    waiting->answer(
        read_reply(topics_[waiting->topic], waiting->from, waiting->max_kb));
  });
  reads_.push_back(std::move(waiting));
}

void store::answer_reads() {
  std::erase_if(reads_, [this](const std::shared_ptr<waiting_read>& each) {
    if (each->answered) return true;
    const topic& from = topics_[each->topic];
    if (each->from >= from.records.size()) return false;
    each->answered = true;
    each->timer->cancel();
    each->answer(read_reply(from, each->from, each->max_kb));
    return true;
  });
}

// ---- Machines and advice ----------------------------------------------------

cloud::cloud(boost::asio::io_context& context, site& shared, handlers calls)
    : site_(shared),
      calls_(std::move(calls)),
      server_(context, http::server_options(),
              [this](http::request&& request, const http::responder& answer) {
                std::lock_guard<std::mutex> guard(site_.lock);
                answer(handle(request));
              }) {
  server_.listen("127.0.0.1:0").value();
}

std::string cloud::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

http::response cloud::handle(const http::request& request) {
  std::string target(request.target());
  if (target.starts_with("/machines")) {
    json::array rows;
    for (const machine_row& each : calls_.list()) {
      json::object row;
      row["machine"] = each.machine;
      row["pool"] = each.pool;
      row["state"] = each.state;
      row["zone"] = "zone-a";
      row["labels"] = {each.kind, each.rack};
      if (!each.executor.empty()) row["id"] = each.executor;
      rows.push_back(std::move(row));
    }
    json::object body;
    body["machines"] = std::move(rows);
    body["nextToken"] = nullptr;
    return reply_json(200, json::serialize(body));
  }
  if (target == "/machine-upkeep") return order_upkeep(request);
  if (target == "/advise") {
    json::array granted;
    std::optional<json::object> body = platform::parse_object(request.body());
    const json::array* workers =
        body ? platform::array_field(*body, "workers") : nullptr;
    if (workers != nullptr) {
      for (const json::value& each : *workers) {
        granted.push_back(json::array{each, "ticket"});
      }
    }
    json::object reply;
    reply["granted"] = std::move(granted);
    return reply_json(200, json::serialize(reply));
  }
  return reply_json(404, "{}");
}

http::response cloud::order_upkeep(const http::request& request) {
  std::optional<json::object> body = platform::parse_object(request.body());
  if (!body) return reply_json(400, "{}");
  std::string machine = platform::string_field(*body, "machine").value_or("");
  std::uint64_t wave = static_cast<std::uint64_t>(
      platform::integer_field(*body, "wave").value_or(0));
  std::string token(request["X-Fence-Token"]);
  std::uint64_t fence = std::strtoull(token.c_str(), nullptr, 10);
  if (fence < fences_[machine]) {
    return reply_json(409, R"({"reason":"fence"})");
  }
  fences_[machine] = fence;
  bool& done = begun_[{machine, wave}];
  if (!done && !calls_.upkeep(machine, wave)) {
    return reply_json(409, R"({"reason":"busy"})");
  }
  done = true;
  return reply_json(200, "{}");
}

}  // namespace ebonygrade::review
