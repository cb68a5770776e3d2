// Stand-in for the platform's store: topics of one partition, appends under a
// producer, reads that wait, and the newest record of each key.
#pragma once

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "record.h"
#include "web.h"

namespace review {

// Limits of the site files.
inline constexpr std::size_t kRecordBytes = 262144;
inline constexpr std::size_t kCallBytes = 2097152;
inline constexpr std::size_t kMaxNewestItems = 500;
inline constexpr std::size_t kMaxNewestBytes = 1U << 20U;
inline constexpr std::size_t kRememberedAppends = 5;
inline constexpr milliseconds kAnswerTime{4};

inline std::optional<std::string> query_value(std::string_view target,
                                              const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    std::string_view rest = target.substr(at + 1);
    std::size_t end = rest.find('&');
    std::string_view pair = rest.substr(0, end);
    if (pair.starts_with(name + "=")) {
      std::string decoded;
      std::string_view text = pair.substr(name.size() + 1);
      for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
          std::string hex(text.substr(i + 1, 2));
          decoded += static_cast<char>(std::strtoul(hex.c_str(), nullptr, 16));
          i += 2;
        } else {
          decoded += text[i];
        }
      }
      return decoded;
    }
    at = end == std::string_view::npos ? end : at + 1 + end;
  }
  return std::nullopt;
}

inline std::uint64_t query_number(std::string_view target,
                                  const std::string& name) {
  return std::strtoull(query_value(target, name).value_or("0").c_str(), nullptr,
                       10);
}

class store {
 public:
  store(asio::io_context* context, record* log) : log_(log) {
    address_ = serve(
        context, [this](const request& received) { return handle(received); });
  }

  const std::string& address() const { return address_; }
  // While down, every call gets 503 and does nothing.
  void set_down(bool down) {
    down_ = down;
    log_->line(down ? "store: down, answers 503" : "store: up again");
  }
  std::uint64_t oversized() const { return oversized_; }
  void put(const std::string& topic, const std::string& key,
           const std::string& value) {
    std::string raw(1, static_cast<char>(key.size()));
    topics_[topic].records.push_back(raw + key + value);
  }

 private:
  struct producer_state {
    bool known = false;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::deque<std::pair<std::uint64_t, std::string>> replies;
  };
  struct topic {
    std::vector<std::string> records;  // As appended, without the length.
    std::map<std::string, producer_state> producers;
  };

  asio::awaitable<std::optional<response>> handle(const request& received) {
    std::string target(received.target());
    std::string body = received.body();
    co_await pause(kAnswerTime);
    if (down_) co_return make_reply(503, "{}");
    if (target.starts_with("/log-append?")) co_return append(target, body);
    if (target.starts_with("/log-newest?")) co_return newest(target);
    if (!target.starts_with("/log-read?")) co_return make_reply(404, "{}");
    topic& from = topics_[query_value(target, "topic").value_or("")];
    std::uint64_t offset = query_number(target, "from");
    steady::time_point until =
        steady::now() + milliseconds(query_number(target, "waitMs"));
    while (from.records.size() <= offset && steady::now() < until) {
      co_await pause(milliseconds(5));
      if (down_) co_return make_reply(503, "{}");
    }
    co_return read(from, offset, query_number(target, "maxKb"));
  }

  static std::string_view key_of(const std::string& raw) {
    return std::string_view(raw).substr(1, static_cast<unsigned char>(raw[0]));
  }

  response append(const std::string& target, const std::string& body) {
    std::vector<std::string> records;
    std::size_t total = 0;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t length = boost::endian::load_big_u32(
          reinterpret_cast<const unsigned char*>(body.data()) + at);
      if (length > body.size() - at - 4) return make_reply(400, "{}");
      total += length;
      if (length > kRecordBytes) {
        refuse_size("a record of " + std::to_string(length) + " bytes");
        return make_reply(400, R"({"reason":"recordBytes"})");
      }
      records.push_back(body.substr(at + 4, length));
      at += 4 + length;
    }
    if (total > kCallBytes) {
      refuse_size("a call of " + std::to_string(total) + " bytes");
      return make_reply(400, R"({"reason":"callBytes"})");
    }
    topic& into = topics_[query_value(target, "topic").value_or("")];
    producer_state unnamed;
    std::optional<std::string> name = query_value(target, "producer");
    producer_state& producer = name ? into.producers[*name] : unnamed;
    std::uint64_t epoch = query_number(target, "epoch");
    std::uint64_t sequence = query_number(target, "seq");
    if (epoch < producer.epoch) {
      return make_reply(409, R"({"reason":"fenced"})");
    }
    bool begins = !producer.known || epoch > producer.epoch;
    if (!begins) {
      for (const std::pair<std::uint64_t, std::string>& each :
           producer.replies) {
        if (each.first == sequence) return make_reply(200, each.second);
      }
      if (sequence != producer.next) {
        return make_reply(409, R"({"reason":"seq","seq":)" +
                                   std::to_string(producer.next) + "}");
      }
    }
    std::size_t end = into.records.size();
    if (query_value(target, "at") && query_number(target, "at") != end) {
      return make_reply(412, R"({"end":)" + std::to_string(end) + "}");
    }
    for (std::string& each : records) into.records.push_back(std::move(each));
    std::string reply = R"({"offset":)" + std::to_string(end) + R"(,"end":)" +
                        std::to_string(into.records.size()) + "}";
    if (begins) producer.replies.clear();
    producer.known = true;
    producer.epoch = epoch;
    producer.next = sequence + 1;
    producer.replies.emplace_back(sequence, reply);
    if (producer.replies.size() > kRememberedAppends) {
      producer.replies.pop_front();
    }
    return make_reply(200, reply);
  }

  void refuse_size(const std::string& what) {
    if (oversized_++ < 20) log_->line("store: refuses " + what + " with 400");
  }

  static response read(const topic& from, std::uint64_t offset,
                       std::uint64_t max_kb) {
    std::string body(16, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(body.data()),
                                 from.records.size());
    std::size_t limit = (max_kb == 0 ? 1024 : max_kb) * 1024;
    for (std::size_t i = offset; i < from.records.size(); ++i) {
      const std::string& raw = from.records[i];
      if (body.size() > 16 && body.size() + raw.size() > limit) break;
      unsigned char length[4];
      boost::endian::store_big_u32(length,
                                   static_cast<std::uint32_t>(raw.size()));
      body.append(reinterpret_cast<const char*>(length), 4);
      body += raw;
    }
    return make_reply(200, std::move(body), "application/octet-stream");
  }

  response newest(const std::string& target) {
    const topic& from = topics_[query_value(target, "topic").value_or("")];
    std::string after = query_value(target, "dependsOn").value_or("");
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < from.records.size(); ++i) {
      last[std::string(key_of(from.records[i]))] = i;
    }
    json::array items;
    std::size_t bytes = 0;
    bool more = false;
    for (const std::pair<const std::string, std::size_t>& each : last) {
      const std::string& raw = from.records[each.second];
      std::string value = raw.substr(1 + each.first.size());
      if (each.first <= after || value.empty()) continue;
      if (items.size() >= kMaxNewestItems || bytes >= kMaxNewestBytes) {
        more = true;
        break;
      }
      bytes += raw.size();
      namespace base64 = boost::beast::detail::base64;
      std::string encoded(base64::encoded_size(value.size()), '\0');
      encoded.resize(
          base64::encode(encoded.data(), value.data(), value.size()));
      items.push_back(
          {{"key", each.first}, {"value", encoded}, {"offset", each.second}});
    }
    json::object out;
    out["items"] = std::move(items);
    out["more"] = more;
    out["end"] = from.records.size();
    return make_reply(200, json::serialize(out));
  }

  record* log_;
  std::string address_;
  std::map<std::string, topic> topics_;
  bool down_ = false;
  std::uint64_t oversized_ = 0;
};

}  // namespace review
