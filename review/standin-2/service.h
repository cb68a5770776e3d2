// Stand-ins of the platform: its store, its list of machines and the advice
// service. All of them follow PROTOCOL.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "site.h"

namespace ebonygrade::review {

// The store of the platform with topics of one partition. A record of more than
// `recordBytes`, and a call of more than `callBytes`, get 413 and add nothing.
class store {
 public:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;

  store(boost::asio::io_context& context, site& shared);

  std::string address() const;
  // Writes a record as the operator or an executor does.
  void put(const std::string& topic, const std::string& key,
           const std::string& value);
  // The newest value of a key; empty if there is none.
  std::string newest_value(const std::string& topic, const std::string& key);
  // Appends that got 413.
  std::uint64_t oversized() const { return oversized_; }

 private:
  struct stored {
    std::string key;
    std::string value;
    std::string raw;
  };
  struct producer {
    bool known = false;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::deque<std::pair<std::uint64_t, std::string>> replies;
  };
  struct topic {
    std::vector<stored> records;
    std::map<std::string, producer> producers;
  };
  struct waiting_read {
    std::string topic;
    std::uint64_t from = 0;
    std::uint64_t max_kb = 0;
    http::responder answer;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool answered = false;
  };

  void handle(http::request&& request, const http::responder& answer);
  http::response append(const http::target_parts& target,
                        const std::string& body);
  http::response newest(const http::target_parts& target);
  void read(const http::target_parts& target, http::responder answer);
  static http::response read_reply(const topic& from, std::uint64_t offset,
                                   std::uint64_t max_kb);
  void answer_reads();

  boost::asio::io_context& context_;
  site& site_;
  http::server server_;
  std::map<std::string, topic> topics_;
  std::vector<std::shared_ptr<waiting_read>> reads_;
  std::uint64_t oversized_ = 0;
};

// One machine as `GET /machines` shows it.
struct machine_row {
  std::string machine;
  std::string pool;
  std::string state;
  std::string rack;
  std::string kind;
  std::string executor;
};

// The platform's list of machines and their upkeep, and the advice service,
// which grants every worker.
class cloud {
 public:
  struct handlers {
    std::function<std::vector<machine_row>()> list;
    // Begins the upkeep of a machine. False if it isn't up.
    std::function<bool(const std::string& machine, std::uint64_t wave)> upkeep;
  };

  cloud(boost::asio::io_context& context, site& shared, handlers calls);
  std::string address() const;

 private:
  http::response handle(const http::request& request);
  http::response order_upkeep(const http::request& request);

  site& site_;
  handlers calls_;
  std::map<std::string, std::uint64_t> fences_;  // By machine.
  std::map<std::pair<std::string, std::uint64_t>, bool> begun_;
  http::server server_;
};

}  // namespace ebonygrade::review
