// Converts the settings to the options of the daemon's components. Values that
// a daemon chooses at its start, such as its incarnation, are parameters.
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
