#include "error/error.h"

namespace ebonygrade::error {

namespace {

class error_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "ebonygrade"; }

  std::string message(int value) const override {
    switch (static_cast<code>(value)) {
      case code::unavailable:
        return "unavailable";
      case code::timeout:
        return "timed out";
      case code::bad_reply:
        return "unreadable reply";
      case code::invalid_argument:
        return "invalid argument";
      case code::rejected:
        return "rejected";
      case code::connection_lost:
        return "connection lost";
    }
    return "error " + std::to_string(value);
  }
};

void append_part(std::string* text, std::string_view part) {
  if (part.empty()) return;
  if (!text->empty()) text->append(": ");
  text->append(part);
}

}  // namespace

const std::error_category& category() {
  static const error_category instance;
  return instance;
}

std::error_code make_error_code(code value) {
  return {static_cast<int>(value), category()};
}

std::string to_string(const failure& value) {
  std::string text;
  append_part(&text, value.step);
  append_part(&text, value.peer);
  append_part(&text, value.code.message());
  append_part(&text, value.detail);
  return text;
}

void throw_exception_from_error(const failure& value,
                                const boost::source_location&) {
  throw std::system_error(value.code, to_string(value));
}

}  // namespace ebonygrade::error
