// Messages between the thread of the HTTP API and the core thread. A token
// identifies an HTTP exchange; every command gets exactly one reply with its
// token.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "clock/clock.h"
#include "wire/api.pb.h"
#include "wire/job.pb.h"

namespace ebonygrade::api {

using clock::milliseconds;

// ---- Commands -----------------------------------------------------------

struct submit {
  std::uint64_t token = 0;
  wire::job_request request;
  // How long to wait for the final outcome. A reply without one has the current
  // state.
  milliseconds wait{0};
};
struct query {
  std::uint64_t token = 0;
  std::string id;
  std::string region;
  milliseconds wait{0};
};
struct cancel {
  std::uint64_t token = 0;
  std::string id;
  std::string region;
};
struct explain {
  std::uint64_t token = 0;
  std::string id;
  std::string region;
};
struct publish {
  std::uint64_t token = 0;
  wire::publish_request request;
};
struct approve {
  std::uint64_t token = 0;
  std::uint64_t version = 0;
  wire::approve_request request;
};
struct roll {
  std::uint64_t token = 0;
  std::uint64_t version = 0;
  wire::roll_request request;
};
struct list_bundles {
  std::uint64_t token = 0;
};
struct show_cell {
  std::uint64_t token = 0;
};
struct show_metrics {
  std::uint64_t token = 0;
};
struct drain {
  std::uint64_t token = 0;
};
using command =
    std::variant<submit, query, cancel, explain, publish, approve, roll,
                 list_bundles, show_cell, show_metrics, drain>;

// ---- Replies ------------------------------------------------------------

struct status_reply {
  std::uint64_t token = 0;
  wire::request_status status;
};
struct bundle_reply {
  std::uint64_t token = 0;
  wire::bundle_status status;
};
struct bundles_reply {
  std::uint64_t token = 0;
  wire::bundle_list list;
};
struct cell_reply {
  std::uint64_t token = 0;
  wire::cell_status status;
};
struct text_reply {
  std::uint64_t token = 0;
  std::string text;
};
// The command was refused; `status` is the HTTP status code.
struct refusal {
  std::uint64_t token = 0;
  int status = 400;
  wire::error_reply error;
};
using reply = std::variant<status_reply, bundle_reply, bundles_reply,
                           cell_reply, text_reply, refusal>;

}  // namespace ebonygrade::api
