// Submits requests, with a limited number in flight, and queries each until its
// outcome is final or the wait ends.
//
// A request without a reply is sent again, to the next daemon, with the same
// id. This is safe, because the id is the idempotency key. A refused request is
// retried after the delay in the reply, with jitter, up to the number of
// retries in the options.
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

// Kind of the result of a request.
enum class result_kind {
  outcome,        // `status` has the current or final outcome.
  refused_input,  // A daemon rejected the request as invalid; it did not run.
  unreachable,    // No daemon accepted the request; it did not run.
  lost,           // No outcome is known; the request may have run.
};

struct submit_result {
  result_kind kind = result_kind::outcome;
  wire::request_status status;
  error::failure cause;        // Set if there is no outcome.
  std::uint32_t attempts = 0;  // Number of submissions of the request.
};

// Ids of the requests of a submission with these options.
std::vector<std::string> request_ids(const submit_options& options);

class submission {
 public:
  using on_result = std::function<void(const submit_result&)>;

  // Runs on `context`. The referenced objects must outlive the submission.
  // `seed` initializes the random numbers of the jitter.
  submission(boost::asio::io_context& context, const clock::clock& clock,
             caller& daemons, const submit_options& options, milliseconds wait,
             std::uint64_t seed, on_result handler);

  // Starts the first requests; each result starts the next request.
  void start();

 private:
  struct active_request;

  void start_next();
  void send(const std::shared_ptr<active_request>& active);
  void on_reply(const std::shared_ptr<active_request>& active,
                call_report&& report);
  void on_status(const std::shared_ptr<active_request>& active);
  void on_error_reply(const std::shared_ptr<active_request>& active,
                      const call_report& report);
  // Sends the request again after `delay` with jitter, or finishes it if it has
  // no retries left.
  void retry_or_finish(const std::shared_ptr<active_request>& active,
                       milliseconds delay);
  void finish(const std::shared_ptr<active_request>& active);
  milliseconds with_jitter(milliseconds delay);

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
