// Options of each duty, taken from the settings. Values that a daemon makes
// up when it starts, such as its incarnation, are passed in.
#pragma once

#include <cstdint>

#include "ownership/ownership.h"
#include "peer/link.h"
#include "platform/client.h"
#include "requests/requests.h"
#include "settings/settings.h"
#include "worker/adapter.h"

namespace ebonygrade::settings {

worker::adapter_options to_adapter_options(const settings& value);
platform::client_options to_client_options(const settings& value);
peer::link_options to_link_options(const settings& value,
                                   std::uint64_t incarnation);
ownership::ownership_options to_ownership_options(const settings& value,
                                                  std::uint64_t incarnation);
requests::table_options to_table_options(const settings& value);

}  // namespace ebonygrade::settings
