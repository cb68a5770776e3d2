// Carries waves of upkeep out: lists the platform's machines, orders their
// upkeep and tells the operator how far each wave is. Part of the owner's duty.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "pool/maintenance.h"
#include "poold/appender.h"
#include "poold/settings.h"

namespace ebonygrade::poold {

class upkeep_duty : public std::enable_shared_from_this<upkeep_duty> {
 public:
  // Writes a record to the journal; the handler gets false if it is not
  // known to be written.
  using journal_writer =
      std::function<void(const jobs::record&, std::function<void(bool)>)>;

  upkeep_duty(boost::asio::io_context& context, store& store,
              const clock::clock& clock, const node_settings& settings,
              std::uint64_t fence, pool::pool_state& pool,
              journal_writer journal);

  void on_wave(const pool::maintenance_wave& wave,
               const wire::wave_record& record);
  void stop();

 private:
  void run_after(milliseconds pause);
  void run();
  void list(const std::string& page_token);
  void decide();
  // Records the order, then gives it.
  void order(const pool::maintenance_order& order);
  void send(const pool::maintenance_order& order);
  void record(std::uint64_t wave, std::function<void(bool)> handler);
  void tell(std::uint64_t wave, bool complete);
  void write_status();

  const clock::clock& clock_;
  const node_settings& settings_;
  std::uint64_t fence_;
  pool::pool_state& pool_;
  journal_writer journal_;
  http::client machines_;
  std::shared_ptr<appender> status_;
  std::vector<jobs::record> untold_;
  boost::asio::steady_timer timer_;
  pool::maintenance_state upkeep_;
  std::vector<pool::machine> listed_;
  bool running_ = false;
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
