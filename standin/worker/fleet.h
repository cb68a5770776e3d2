// Many stand-in workers in one process, with one ledger and one control port:
//
//   POST /v1/control   worker_control
//   GET  /v1/ledger    -> ledger
//   GET  /v1/workers   -> vm_list, as registered at the platform
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "control/control.pb.h"
#include "error/error.h"
#include "job/job.h"
#include "standin/worker/task_table.h"
#include "wire/platform.pb.h"

namespace ebonygrade::standin::worker {

struct fleet_options {
  std::string ip = "127.0.0.1";
  std::string prefix = "w";  // Worker ids are the prefix followed by a number.
  std::size_t count = 48;
  std::uint16_t first_port = 0;  // 0: each worker gets a free port.
  std::uint16_t control_port = 0;
  std::vector<std::string> zones{"zone-a"};
  std::size_t workers_per_rack = 8;  // Racks are assigned to the zones in turn.
  job::resources capacity{16000, 65536, 0, 8};
  milliseconds retention{60000};
  milliseconds usage_lag{2000};
};

class fleet {
 public:
  // Runs on `context`, which one thread runs; all members must be called on
  // that thread.
  fleet(boost::asio::io_context& context, const clock::clock& clock,
        const fleet_options& options);
  ~fleet();

  // Listens on the ports of all workers and on the control port.
  error::result<void> open();
  std::uint16_t control_port() const;
  // The workers, as they are registered in the platform's list.
  wire::vm_list list() const;
  // Adds the workers to the list at "IP:PORT". Retries until the list accepts
  // them, then calls `done`.
  void register_at(std::string_view platform, std::function<void()> done);

  error::result<void> inject(const worker_control& control);
  const standin::ledger& ledger() const;
  // Number of open connections to one worker.
  std::size_t connection_count(std::string_view worker) const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::standin::worker
