// Follows a keyed topic: loads the newest record of every key once, then reads
// each later record in order. If the next records have been trimmed, the
// follower loads the newest record of every key again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/backoff.h"
#include "poold/store_client.h"

namespace ebonygrade::poold {

struct follower_options {
  std::string topic;
  milliseconds max_wait{1000};      // Long-poll wait of one read.
  milliseconds read_interval{250};  // Limits the rate of reads.
};

class topic_follower : public std::enable_shared_from_this<topic_follower> {
 public:
  struct handlers {
    // The newest record of every key; all other keys have been removed.
    std::function<void(const std::vector<jobs::record>&)> on_snapshot;
    // Later records. Also called with none after a read that returned none.
    std::function<void(const std::vector<jobs::record>&)> on_records;
  };

  topic_follower(boost::asio::io_context& context, store_client& store,
                 const clock::clock& clock, follower_options options,
                 handlers handlers);

  void start();
  void stop();
  void set_read_interval(milliseconds interval) {
    options_.read_interval = interval;
  }
  // Ends the delay before the next read. No effect while a read is in flight.
  void read_now();

  // Whether a read has been in flight since before `sent_by`. A read that the
  // store received then would have returned any record after next().
  bool is_waiting(steady_time sent_by) const {
    return read_sent_ && *read_sent_ <= sent_by;
  }

  // Drops the records from offset `from` up to `to` when they are read, and
  // avoids reading them. For records that this daemon wrote, by an append first
  // sent at `sent`, and applies before the next read.
  void skip(std::uint64_t from, std::uint64_t to, steady_time sent);

  bool loaded() const { return loaded_; }
  // Whether the last call to the store failed, or its reply is overdue.
  bool failing() const;
  std::uint64_t next() const { return next_; }
  // Send time of the last call that showed the end of the topic: a read that
  // reached it, an append of this daemon there, or the first page of a load.
  steady_time current_as_of() const { return current_as_of_; }
  // How much longer than asked for the read in flight takes; 0 without one.
  milliseconds overdue(steady_time now) const;

 private:
  // Loads the next page after those in pages_.
  void load();
  void load_page(const std::string& after);
  void read();
  bool is_skipped(std::uint64_t offset) const;
  // Passes the records at next() that are to be skipped.
  void pass_skipped();
  void emit_failure(std::string_view step, steady_time sent,
                    const error::failure& cause) const;
  void schedule(milliseconds delay, void (topic_follower::*step)());

  store_client& store_;
  const clock::clock& clock_;
  follower_options options_;
  handlers handlers_;
  clock::timer timer_;
  std::vector<jobs::record> pages_;  // While loading.
  std::uint64_t first_page_end_ = 0;
  steady_time first_page_sent_;
  std::uint64_t next_ = 0;
  // Offsets to skip that may still be read: first, and one after the last.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> skipped_;
  // An end of the topic that a read showed, and when that read was sent.
  std::optional<std::pair<std::uint64_t, steady_time>> known_end_;
  bool loaded_ = false;
  bool stopped_ = false;
  bool scheduled_ = false;
  steady_time current_as_of_;
  std::optional<steady_time> read_sent_;  // Of the read in flight.
  http::backoff backoff_{milliseconds(100), 2, 0};
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
