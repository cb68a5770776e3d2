// Stand-in for the platform: serves the log and the VM list of
// wire/platform.proto over HTTP. Tests inject outages, append delays, lost
// replies and a lag of the list through /v1/control.
//
//   POST   /v1/streams/NAME/records, GET /v1/streams/NAME/records
//   GET    /v1/list
//   PUT    /v1/list           vm_list: adds, changes or removes VMs
//   POST   /v1/list/daemons   daemon_vm: adds or changes one VM
//   POST   /v1/list/workers   worker_vm: adds or changes one VM
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
  // Runs on `context`, which one thread runs; all members must be called on
  // that thread.
  service(boost::asio::io_context& context, const clock::clock& clock,
          const service_options& options);
  ~service();

  // Listens at "IP:PORT"; port 0 picks a free port.
  error::result<void> listen(std::string_view address);
  std::uint16_t port() const;
  // Stops listening and closes every connection.
  void close();

  // Applies the fields that are set in `change` and returns all values in
  // force.
  platform_control control(const platform_control& change);
  // Numbers of appends and reads that succeeded and were answered.
  std::uint64_t appends() const;
  std::uint64_t reads() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::standin::platform
