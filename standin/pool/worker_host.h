// Stand-in for one of the platform's workers: serves the platform's HTTP calls
// with a simulated worker and maintains its entry in service discovery.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "http/server.h"
#include "pool/simulated_worker.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::standin {

class worker_host {
 public:
  worker_host(boost::asio::io_context& context, std::string id,
              std::string service, pool::ledger* ledger,
              pool::gang_registry* gangs, keyed_store* store);

  // Writes the service discovery entry; `state` is "ready" or "draining".
  void announce(const std::string& state);

 private:
  void handle(http::request&& request, http::responder answer);
  http::response handle_start(const http::request& request);
  http::response handle_stop(const http::request& request);
  http::response handle_poll(const http::request& request);
  void tick();

  std::string id_;
  std::string service_;
  keyed_store* store_;
  pool::simulated_worker worker_;
  http::server server_;
  boost::asio::steady_timer timer_;
};

}  // namespace ebonygrade::standin
