// Submits requests, a bounded number at a time, and follows each until its
// outcome is final or the time to wait is over.
//
// A request whose answer was lost is sent again, to the next daemon, under
// the same id: the id makes that harmless. A refusal that names a time to
// come back is followed, with jitter, as often as the options allow.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "tool/arguments.h"
#include "tool/caller.h"
#include "wire/api.pb.h"

namespace ebonygrade::tool {

// What the caller learned about one request.
enum class result_kind {
  outcome,        // `status` holds the present or final outcome.
  refused_input,  // A daemon refused its content; it did not run.
  unreachable,    // No daemon was reached; it did not run.
  lost,           // May have run: an answer was lost and none came since.
};

struct submit_result {
  result_kind kind = result_kind::outcome;
  wire::request_status status;
  error::failure cause;        // Unless there is an outcome.
  std::uint32_t attempts = 0;  // Times that it was submitted.
};

// The ids that a submission with these options uses.
std::vector<std::string> request_ids(const submit_options& options);

class submission {
 public:
  using on_result = std::function<void(const submit_result&)>;

  // Runs on `context`; the references must outlive it. `seed` drives jitter.
  submission(boost::asio::io_context& context, const clock::clock& clock,
             caller& daemons, const submit_options& options, milliseconds wait,
             std::uint64_t seed, on_result handler);

  // Starts the first requests; each that ends starts the next.
  void start();

 private:
  struct request;

  void start_next();
  void send(const std::shared_ptr<request>& each);
  void on_reply(const std::shared_ptr<request>& each, call_report&& report);
  void on_status(const std::shared_ptr<request>& each);
  void on_error_reply(const std::shared_ptr<request>& each,
                      const call_report& report);
  // Sends it again after about `pause`, or ends it if it may not come back.
  void come_back(const std::shared_ptr<request>& each, milliseconds pause);
  void finish(const std::shared_ptr<request>& each);
  milliseconds with_jitter(milliseconds pause);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  caller& daemons_;
  submit_options options_;
  milliseconds wait_;
  on_result handler_;
  std::mt19937_64 random_;
  std::vector<std::string> ids_;
  std::size_t next_id_ = 0;
};

}  // namespace ebonygrade::tool
