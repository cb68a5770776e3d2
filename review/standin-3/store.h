// Stand-in for the platform's store: keyed topics of one partition. It keeps
// the limits that the pages set for the size of a record and of an append, and
// refuses what exceeds them with 413; nothing is appended then.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/server.h"

namespace ebonygrade::review {

struct store_limits {
  std::size_t record_bytes = 262144;
  std::size_t call_bytes = 2097152;
  std::chrono::milliseconds append_time{2};  // One append at a time.
  std::chrono::milliseconds answer_time{4};
  double mb_per_second = 20;  // Of the appends to a partition.
};

class store {
 public:
  // `note` gets a line for each append that is refused for its size.
  store(boost::asio::io_context& context, const store_limits& limits,
        std::function<void(const std::string&)> note);

  std::string address() const;
  // Appends a record as the operator or an executor does. An empty value
  // drops the key.
  void put(const std::string& topic, const std::string& key,
           const std::string& value);

 private:
  struct stored {
    std::string key;
    std::string value;
    std::string raw;  // As appended, without the length.
  };
  struct producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::deque<std::pair<std::uint64_t, http::response>> replies;
  };
  struct topic {
    std::vector<stored> records;
    std::map<std::string, std::uint64_t> newest;  // Offsets, by key.
    std::map<std::string, producer> producers;
    clock::steady_time busy_until;
  };
  struct waiting_read {
    std::string topic;
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    http::responder answer;
    std::unique_ptr<clock::timer> timer;
    bool answered = false;
  };

  void handle(http::request&& request, const http::responder& answer);
  void append_later(const http::target_parts& target, std::string body,
                    const http::responder& answer);
  http::response append(const http::target_parts& target,
                        const std::string& body);
  http::response list_newest(const http::target_parts& target);
  void read(const http::target_parts& target, const http::responder& answer);
  http::response read_reply(const topic& from, std::uint64_t offset,
                            std::size_t max_bytes) const;
  void add(topic* into, std::vector<stored> records);
  void answer_waiting_reads();
  void reply(const http::responder& answer, http::response message);
  void run_after(std::chrono::nanoseconds delay, std::function<void()> step);

  boost::asio::io_context& context_;
  store_limits limits_;
  std::function<void(const std::string&)> note_;
  http::server server_;
  std::map<std::string, topic> topics_;
  std::vector<std::shared_ptr<waiting_read>> waiting_;
};

}  // namespace ebonygrade::review
