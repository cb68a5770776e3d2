// The daemons of a site, as processes with settings like those that the
// platform writes, and a client that calls them.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "site.h"

namespace ebonygrade::review {

struct daemon_settings {
  std::string program;  // Of the deploy file.
  std::string folder;   // For the settings files and the logs.
  std::string store;
  std::string cloud;
  milliseconds lease{6000};
  std::size_t count = 6;
};

// Free ports of the loopback address.
std::vector<std::uint16_t> free_ports(std::size_t count);

class daemons {
 public:
  daemons(site& shared, daemon_settings settings);
  // Ends all processes.
  ~daemons();
  daemons(const daemons&) = delete;
  daemons& operator=(const daemons&) = delete;

  std::size_t size() const { return members_.size(); }
  const std::string& address(std::size_t index) const {
    return members_[index].clients;
  }
  // Whether every daemon has said that it is ready, within the time.
  bool all_ready(milliseconds limit) const;
  // Whether processes ended by themselves.
  bool any_ended();

 private:
  struct member {
    std::string id;
    std::string clients;
    std::string readiness;
    std::string peers;
    std::string settings_path;
    pid_t process = -1;
    bool ended = false;
  };
  void start(member* started) const;

  site& site_;
  daemon_settings settings_;
  std::vector<member> members_;
};

struct reply {
  int status = 0;  // 0: no answer.
  std::string body;
};

// Makes one call on a channel of its own.
reply call(const std::string& address, const std::string& method,
           const std::string& path, const std::string& host,
           const std::string& body, milliseconds limit);

}  // namespace ebonygrade::review
