#ifndef LAVENDERKEEL_BASE_FAILURE_H_
#define LAVENDERKEEL_BASE_FAILURE_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <utility>

#include "lavenderkeel/base/result_code.h"

namespace lavenderkeel {

namespace leaf = boost::leaf;

/// Error that a leaf::result carries.
struct Failure {
  ResultCode code = ResultCode::kServerFailed;
  std::string message;

  friend bool operator==(const Failure&, const Failure&) = default;
};

/// Either a value or the Failure that a leaf::result carried.
template <typename T>
struct Caught {
  std::optional<T> value;
  Failure failure;

  explicit operator bool() const { return value.has_value(); }
};

namespace internal {

template <typename Result>
struct ResultValue;
template <typename T>
struct ResultValue<leaf::result<T>> {
  using Type = T;
};

}  // namespace internal

/// Runs a function that returns leaf::result<T> and returns its value or its
/// Failure, for callers that report the failure and do not propagate it.
template <typename Function>
auto Catch(Function&& function) {
  using T = typename internal::ResultValue<decltype(function())>::Type;
  return leaf::try_handle_all(
      [&]() -> leaf::result<Caught<T>> {
        BOOST_LEAF_AUTO(value, function());
        return Caught<T>{.value = std::move(value), .failure = {}};
      },
      [](Failure failure) {
        return Caught<T>{.value = std::nullopt, .failure = std::move(failure)};
      },
      [] { return Caught<T>{}; });
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_FAILURE_H_
