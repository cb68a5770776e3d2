// Stand-in for the platform's store: keyed topics of one partition. Producers
// append to them under an epoch and a sequence number; long polls read them.
// An append that the platform would refuse is refused with the same reply.
//
// Injected faults: set_unavailable() answers every call with 503,
// drop_replies() applies calls without a reply, and compact() drops all but
// the newest record of each key. A store with set_times() applies the appends
// to a topic one after the other and delays its replies; with lose_replies() a
// share of the replies to appends never arrives, on a connection that stays
// open. With apply_late() a share of the appends gets no reply and is applied
// only later, after appends that were sent in the meantime.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/server.h"

namespace ebonygrade::standin {

struct stored_record {
  std::string key;
  std::string value;
  std::string raw;          // As appended, without the length prefix.
  std::string producer;     // Empty: appended without one.
  std::uint64_t epoch = 0;  // Of the producer.
};

// How long the store takes. Appends beyond 2 s of waiting work get 503.
struct store_times {
  std::chrono::milliseconds append{0};  // For each append; one at a time.
  std::chrono::milliseconds answer{0};  // Before each reply.
};

// Appends that get no reply and are applied late. The rules for conditions,
// producers, epochs and sequence numbers are checked when an append is applied.
struct late_appends {
  double share = 0;  // Of the appends, 0 to 1.
  // Each is applied after a time between these.
  std::chrono::milliseconds shortest{1000};
  std::chrono::milliseconds longest{6000};
};

class keyed_store {
 public:
  explicit keyed_store(boost::asio::io_context& context);

  std::string address() const;
  std::uint16_t port() const { return server_.port(); }
  // Appends a record without a producer, as the operator or a worker does.
  void put(const std::string& topic, const std::string& key,
           const std::string& value);
  void set_unavailable(bool unavailable) { unavailable_ = unavailable; }
  void set_times(const store_times& times) { times_ = times; }
  // Loses this share (0 to 1) of the replies to appends, from a fixed seed.
  void lose_replies(double share) { lost_share_ = share; }
  // For further appends; those that wait stay late. The choice and the times
  // follow from the seed. Waiting appends are applied even if the connection
  // they came over closes, and while the store is unavailable.
  void apply_late(const late_appends& late, std::uint32_t seed = 1);
  // Late appends that are still to be applied.
  std::size_t waiting_late_appends() const { return waiting_late_appends_; }
  // Late appends that were applied and added their records.
  std::uint64_t applied_late_appends() const { return applied_late_appends_; }
  // Late appends that added nothing: refused, or repeats of an earlier one.
  std::uint64_t void_late_appends() const { return void_late_appends_; }
  void drop_replies(int count) { replies_to_drop_ = count; }
  int replies_to_drop() const { return replies_to_drop_; }
  // Leaves all reads of the topic without a reply, those that wait included.
  void block_reads(const std::string& topic);
  // The same for reads of the next record and of those before it: readers that
  // haven't read it stay behind for good, and others aren't affected.
  void block_readers_behind(const std::string& topic);
  // Appends a record of another writer to the topic just before every append
  // that is conditional on an offset, so that the condition fails.
  void inject_conflicts(const std::string& topic) { conflict_topic_ = topic; }
  void compact(const std::string& topic);
  const std::vector<stored_record>& records(const std::string& topic);
  std::uint64_t appends() const { return appends_; }
  // Replies to reads of the topic that held at least one record.
  std::uint64_t reads_with_records(const std::string& topic);
  // Names of the producers that appended or tried to.
  std::set<std::string> producers(const std::string& topic) const;

 private:
  struct producer_state {
    std::uint64_t epoch = 0;
    std::uint64_t next_sequence = 0;
    // Sequence number and reply of the last appends of the epoch.
    std::deque<std::pair<std::uint64_t, std::string>> replies;
  };
  struct topic {
    std::vector<stored_record> records;
    // Reads below this offset get status 410.
    std::uint64_t first_offset = 0;
    std::uint64_t reads_with_records = 0;
    std::map<std::string, producer_state> producers;
    clock::steady_time busy_until;  // End of the waiting appends.
  };
  struct waiting_read {
    std::string topic;
    std::uint64_t from = 0;
    http::responder answer;
    std::unique_ptr<clock::timer> timer;
    bool answered = false;
  };

  void handle(http::request&& request, http::responder answer);
  // Whether the append is left for later.
  bool delay_append(const http::target_parts& target, const std::string& body,
                    const http::responder& answer);
  void run_append(const http::target_parts& target, const std::string& body,
                  http::responder answer);
  http::response append(const http::target_parts& target,
                        const std::string& body);
  // Sends the reply after the time for an answer.
  void reply(const http::responder& answer, http::response&& message);
  void run_after(std::chrono::nanoseconds delay, std::function<void()> step);
  http::response append_records(topic* into, const http::target_parts& target,
                                std::vector<stored_record> records);
  http::response newest(const http::target_parts& target);
  void read(const http::target_parts& target, http::responder answer);
  http::response make_read_reply(topic& from, std::uint64_t offset);
  void add(topic* into, const std::vector<stored_record>& records);
  void answer_waiting_reads();
  void block_reads_below(const std::string& topic, std::uint64_t offset);

  boost::asio::io_context& context_;
  http::server server_;
  std::map<std::string, topic> topics_;
  std::map<std::string, std::set<std::string>> producers_;  // By topic.
  std::vector<std::shared_ptr<waiting_read>> waiting_reads_;
  bool unavailable_ = false;
  store_times times_;
  double lost_share_ = 0;
  std::mt19937 random_{1};
  late_appends late_;
  std::mt19937 late_random_{1};
  std::size_t waiting_late_appends_ = 0;
  std::uint64_t applied_late_appends_ = 0;
  std::uint64_t void_late_appends_ = 0;
  int replies_to_drop_ = 0;
  std::string blocked_topic_;
  std::uint64_t blocked_below_ = 0;  // Of its offsets.
  std::string conflict_topic_;
  std::vector<http::responder> blocked_reads_;
  std::vector<http::responder> lost_replies_;  // Their connections stay open.
  std::uint64_t appends_ = 0;
};

}  // namespace ebonygrade::standin
