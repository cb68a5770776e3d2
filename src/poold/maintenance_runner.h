// Runs the waves of machine maintenance for the pool's owner: lists the
// platform's machines, orders their maintenance and publishes the status of
// each wave to the operator.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clock/timer.h"
#include "http/client.h"
#include "pool/maintenance.h"
#include "poold/appender.h"
#include "poold/settings.h"

namespace ebonygrade::poold {

class maintenance_runner
    : public std::enable_shared_from_this<maintenance_runner> {
 public:
  // Writes a record to the journal. The handler gets false unless the write is
  // confirmed.
  using journal_writer =
      std::function<void(const jobs::record&, std::function<void(bool)>)>;

  maintenance_runner(boost::asio::io_context& context, store_client& store,
                     const clock::clock& clock, const node_settings& settings,
                     std::uint64_t fencing_token, pool::pool_state& pool,
                     journal_writer journal);

  void on_wave(const pool::maintenance_wave& wave,
               const wire::wave_record& record);
  void stop();

 private:
  // Whether no other daemon can have claimed the pool, as far as the last
  // confirmed append tells.
  bool may_order() const;
  void run_after(milliseconds delay);
  void run();
  void list(const std::string& page_token);
  void order_maintenance();
  // Writes the order to the journal, then sends it.
  void record_and_send(const pool::maintenance_order& order);
  void send(const pool::maintenance_order& order);
  void record_wave(std::uint64_t wave, std::function<void(bool)> handler);
  void publish_status(std::uint64_t wave, bool complete);
  void flush_status();

  const clock::clock& clock_;
  const node_settings& settings_;
  std::uint64_t fencing_token_;
  pool::pool_state& pool_;
  journal_writer journal_;
  http::client machines_;
  std::shared_ptr<appender> status_;
  std::vector<jobs::record> unpublished_;
  clock::timer timer_;
  pool::maintenance_state maintenance_;
  std::vector<pool::machine> listed_;
  clock::steady_time list_asked_;  // When the first page was requested.
  bool running_ = false;
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
