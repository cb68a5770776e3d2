// Main program of the daemon. It reads the settings and runs the daemon until
// SIGTERM or SIGINT, then drains it and exits. A second signal makes it exit at
// once.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "ebonygraded/daemon.h"
#include "events/events.h"
#include "settings/settings.h"

namespace {

using ebonygrade::ebonygraded::daemon;
using ebonygrade::error::failure;
namespace clocks = ebonygrade::clock;
namespace events = ebonygrade::events;
namespace settings = ebonygrade::settings;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitAbandoned = 4;  // Open requests got no reply.
constexpr std::chrono::seconds kDrainTimeout{60};

cxxopts::Options make_options() {
  cxxopts::Options options("ebonygraded", "Daemon of the ebonygrade scheduler");
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>(), "FILE.ini")(
      "check-config", "check the settings and exit")("help", "show this help");
  return options;
}

// Reports the problems of the settings: as messages on standard error with
// --check-config, otherwise as events in the log.
void report_problems(const std::vector<failure>& problems, bool check_only) {
  const clocks::system_clock clock;
  if (!check_only) events::start("info", clock);
  for (const failure& each : problems) {
    if (check_only) {
      std::cerr << "ebonygraded: " << to_string(each) << "\n";
    } else {
      events::emit(events::id::settings_refused, each);
    }
  }
  if (!check_only) events::stop();
}

// Runs the daemon until it has drained or a second signal arrives. Returns the
// exit code.
int run(const settings::settings& value) {
  const clocks::system_clock clock;
  events::start(value.log.level, clock);
  daemon instance(value, clock);
  const ebonygrade::error::result<void> started = instance.start();
  if (started.has_error()) {
    std::cerr << "ebonygraded: " << to_string(started.error()) << "\n";
    events::stop();
    return kExitFailed;
  }
  events::emit(events::id::started, "start", "",
               "daemon {} in zone {}, http {}", value.daemon.id,
               value.daemon.zone, value.daemon.http_address);
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  int exit_code = kExitOk;
  signals.async_wait([&](boost::system::error_code, int) {
    events::emit(events::id::drain_begun, "drain", "", "timeout {} s",
                 kDrainTimeout.count());
    signals.async_wait([&](boost::system::error_code failed, int) {
      if (failed) return;
      events::emit(events::id::abandoned, "stop", "",
                   "second signal; {} requests without a reply",
                   instance.open_requests());
      exit_code = kExitAbandoned;
      context.stop();
    });
    instance.drain(kDrainTimeout, [&](std::size_t open_count) {
      boost::asio::post(context, [&, open_count] {
        if (open_count > 0) {
          events::emit(events::id::abandoned, "drain", "",
                       "{} requests without a reply", open_count);
          exit_code = kExitAbandoned;
        } else {
          events::emit(events::id::drain_finished, "drain", "", "");
        }
        signals.cancel();
        context.stop();
      });
    });
  });
  context.run();
  instance.stop();
  events::emit(events::id::stopped, "stop", "", "exit code {}", exit_code);
  events::stop();
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = make_options();
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << "ebonygraded: arguments: " << failed.what() << "\n";
    return kExitUsage;
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return kExitOk;
  }
  if (arguments.count("config") == 0) {
    std::cerr << "ebonygraded: arguments: --config FILE.ini is needed\n";
    return kExitUsage;
  }
  const settings::load_report loaded =
      settings::load(arguments["config"].as<std::string>());
  const bool check_only = arguments.count("check-config") > 0;
  if (!loaded.problems.empty()) {
    report_problems(loaded.problems, check_only);
    return kExitBadSettings;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return run(loaded.value);
}
