// Stand-in for the platform's store: keyed topics of one partition, appended
// to under producers and read by long polls. Strict where the platform is: an
// append that the platform would refuse is refused with its answer.
//
// Faults: refuse() answers 503; lose_answers() does what is asked and answers
// nothing; forget() drops all but the newest record of each key.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"

namespace ebonygrade::standin {

struct stored_record {
  std::string key;
  std::string value;
  std::string raw;  // As it was appended, without its length.
};

class keyed_store {
 public:
  explicit keyed_store(boost::asio::io_context& context);

  std::string address() const;
  // Writes as the operator or a worker does.
  void put(const std::string& topic, const std::string& key,
           const std::string& value);
  void refuse(bool on) { refuses_ = on; }
  void lose_answers(int count) { lost_answers_ = count; }
  int answers_to_lose() const { return lost_answers_; }
  // Further reads of the topic get no answer.
  void hold_reads(const std::string& topic) { held_topic_ = topic; }
  // Somebody else always appends to the topic just before an append with a
  // condition.
  void win_races(const std::string& topic) { raced_topic_ = topic; }
  void forget(const std::string& topic);
  const std::vector<stored_record>& records(const std::string& topic);
  std::uint64_t appends() const { return appends_; }
  // Names of those that appended, or tried to, in alphabetical order.
  std::set<std::string> producers(const std::string& topic) const;

 private:
  struct producer_state {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    // The last five appends of the epoch: number and answer.
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct topic {
    std::vector<stored_record> records;
    std::uint64_t first = 0;  // Offsets below are gone.
    std::map<std::string, producer_state> producers;
  };
  struct reader {
    std::string topic;
    std::uint64_t from = 0;
    http::responder answer;
    std::unique_ptr<boost::asio::steady_timer> limit;
    bool answered = false;
  };

  void handle(http::request&& request, http::responder answer);
  http::response append(const http::target_parts& target,
                        const std::string& body);
  http::response append_as(topic* into, const http::target_parts& target,
                           const std::vector<stored_record>& records);
  http::response newest(const http::target_parts& target);
  void read(const http::target_parts& target, http::responder answer);
  http::response read_now(const topic& from, std::uint64_t offset) const;
  void add(topic* into, const std::vector<stored_record>& records);
  void wake_readers();

  boost::asio::io_context& context_;
  http::server server_;
  std::map<std::string, topic> topics_;
  std::map<std::string, std::set<std::string>> producers_;  // By topic.
  std::vector<std::shared_ptr<reader>> readers_;
  bool refuses_ = false;
  int lost_answers_ = 0;
  std::string held_topic_;
  std::string raced_topic_;
  std::vector<http::responder> held_reads_;
  std::uint64_t appends_ = 0;
};

}  // namespace ebonygrade::standin
