// Stand-in for the platform: the log and the VM list of wire/platform.proto
// over HTTP, with test control of outage, delay, lost answers and lag.
//
//   POST   /v1/streams/NAME/records, GET /v1/streams/NAME/records
//   GET    /v1/list
//   PUT    /v1/list           vm_list: adds or changes its entries
//   POST   /v1/list/daemons   daemon_vm: adds or changes one
//   POST   /v1/list/workers   worker_vm: adds or changes one
//   DELETE /v1/list/ID
//   POST   /v1/control        platform_control
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

#include "clock/clock.h"
#include "control/control.pb.h"
#include "error/error.h"
#include "standin/platform/log_store.h"

namespace ebonygrade::standin::platform {

struct service_options {
  log_options log;
  milliseconds list_lag{0};
};

class service {
 public:
  // Runs on `context`, by one thread; all members are called on it.
  service(boost::asio::io_context& context, const clock::clock& clock,
          const service_options& options);
  ~service();

  // Listens at "IP:PORT"; port 0 picks a free one.
  error::result<void> listen(std::string_view address);
  std::uint16_t port() const;
  // Stops listening and closes every connection.
  void close();

  // Applies what is set and returns all values in force.
  platform_control control(const platform_control& change);
  // Appends and reads that have been answered with success.
  std::uint64_t appends() const;
  std::uint64_t reads() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::standin::platform
