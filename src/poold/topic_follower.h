// Follows a keyed topic: reads the newest record of every key once, then each
// further record in order. If the records it needs next are gone, it starts
// over with the newest of every key.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/backoff.h"
#include "poold/store_client.h"

namespace ebonygrade::poold {

struct follower_options {
  std::string topic;
  milliseconds max_wait{1000};      // Longest that one read waits for a record.
  milliseconds read_interval{250};  // Between two reads; bounds their rate.
};

class topic_follower : public std::enable_shared_from_this<topic_follower> {
 public:
  struct handlers {
    // Every key at once; a key that is not among them is gone.
    std::function<void(const std::vector<jobs::record>&)> on_snapshot;
    // Further records. Also called for a read that brought none.
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
  // Reads now, if no read is under way; the pause is cut short.
  void read_now();

  bool loaded() const { return loaded_; }
  std::uint64_t next() const { return next_; }
  // When the last read was sent that reached the end of the topic.
  steady_time current_as_of() const { return current_as_of_; }

 private:
  // Goes on after the pages that have come.
  void load();
  void load_page(const std::string& after);
  void read();
  void schedule(milliseconds delay, void (topic_follower::*step)());

  store_client& store_;
  const clock::clock& clock_;
  follower_options options_;
  handlers handlers_;
  boost::asio::steady_timer timer_;
  std::vector<jobs::record> pages_;  // While loading.
  milliseconds load_timeout_{0};     // Of the next page.
  std::uint64_t first_page_end_ = 0;
  std::uint64_t next_ = 0;
  bool loaded_ = false;
  bool stopped_ = false;
  bool scheduled_ = false;
  steady_time current_as_of_;
  http::backoff backoff_{milliseconds(100), 2, 0};
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
