// A value or an error.
#ifndef CACTUSWARD_RESULT_H_
#define CACTUSWARD_RESULT_H_

#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "cactusward/error.h"

namespace cactusward {

// Holds either a T or an error with an optional human-readable detail.
// Not thread-safe; distinct objects may be used from distinct threads.
template <typename T>
class result {
 public:
  // Makes a successful result.
  result(T value) : value_(std::move(value)) {}  // NOLINT
  // Makes a failed result. Precondition: `kind` is not kOk.
  result(error_kind kind, std::string detail = {})  // NOLINT
      : error_(kind), detail_(std::move(detail)) {}

  // True when a value is held.
  bool ok() const { return value_.has_value(); }
  explicit operator bool() const { return ok(); }

  // The value. Precondition: ok().
  T& value() { return *value_; }
  const T& value() const { return *value_; }
  T& operator*() { return *value_; }
  const T& operator*() const { return *value_; }
  T* operator->() { return &*value_; }
  const T* operator->() const { return &*value_; }

  // The error; default-constructed when ok().
  const std::error_code& error() const { return error_; }
  error_kind kind() const { return KindOf(error_); }
  // Human-readable detail, such as what was found and what is allowed; may be
  // empty.
  const std::string& detail() const { return detail_; }

 private:
  std::optional<T> value_;
  std::error_code error_;
  std::string detail_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_RESULT_H_
