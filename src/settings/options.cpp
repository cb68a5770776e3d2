#include "settings/options.h"

#include <optional>

namespace ebonygrade::settings {

worker::adapter_options to_adapter_options(const settings& value) {
  worker::adapter_options options;
  options.self = value.daemon.id;
  options.call_timeout = value.worker.call_timeout;
  options.event_wait = value.worker.event_wait;
  options.retry_pause = value.worker.retry_pause;
  options.task_lease = value.worker.task_lease;
  options.max_batch = static_cast<std::uint32_t>(value.worker.max_batch);
  return options;
}

platform::client_options to_client_options(const settings& value) {
  platform::client_options options;
  options.log_address = value.platform.log_address;
  options.list_address = value.platform.list_address;
  options.call_timeout = value.platform.call_timeout;
  options.follow_wait = value.platform.follow_wait;
  options.list_interval = value.platform.list_interval;
  options.retry_pause = value.platform.retry_pause;
  options.appends_per_second = value.platform.appends_per_second;
  return options;
}

peer::link_options to_link_options(const settings& value,
                                   std::uint64_t incarnation) {
  peer::link_options options;
  options.self = value.daemon.id;
  options.incarnation = incarnation;
  options.listen_address = value.daemon.peer_address;
  options.zone = value.daemon.zone;
  std::optional<std::uint16_t> region =
      region_of_zone(value.cell, value.daemon.zone);
  if (region) options.region = value.cell.regions[*region].name;
  options.silence_limit = value.peer.silence_limit;
  options.max_reconnect_pause = value.peer.max_reconnect_pause;
  options.send_queue = static_cast<std::size_t>(value.peer.send_queue);
  return options;
}

ownership::ownership_options to_ownership_options(const settings& value,
                                                  std::uint64_t incarnation) {
  ownership::ownership_options options;
  options.self = value.daemon.id;
  options.incarnation = incarnation;
  options.takeover_after = value.ownership.takeover_after;
  options.handover_after = value.ownership.handover_after;
  options.claim_retry = value.ownership.claim_retry;
  options.snapshot_every = value.ownership.snapshot_every;
  return options;
}

requests::table_options to_table_options(const settings& value) {
  requests::table_options options;
  options.task_lease = value.worker.task_lease;
  options.outcome_retention = value.requests.outcome_retention;
  options.retry_after = value.requests.retry_after;
  options.max_attempts =
      static_cast<std::uint32_t>(value.requests.max_attempts);
  options.max_requests = static_cast<std::size_t>(value.requests.max_requests);
  return options;
}

}  // namespace ebonygrade::settings
