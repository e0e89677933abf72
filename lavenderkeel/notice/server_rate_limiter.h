#ifndef LAVENDERKEEL_NOTICE_SERVER_RATE_LIMITER_H_
#define LAVENDERKEEL_NOTICE_SERVER_RATE_LIMITER_H_

#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/notice/server_notices.h"

namespace lavenderkeel {

/// Token buckets that keep servers within the rate limits that they state.
class ServerRateLimiter {
 public:
  struct Options {
    /// Lower bound of the rate in requests a second. Only the answer to a
    /// request shows that a limit of zero has ended.
    double min_rate = 0.25;
    /// Requests that were not granted for this long may be granted at once.
    Duration burst_time = std::chrono::milliseconds(100);
  };

  ServerRateLimiter(Options options,
                    const ServerNotices& notices,
                    const Clock& clock)
      : options_(options), notices_(notices), clock_(clock) {}

  /// Sets the fraction of every limit that may be used here. The rest is left
  /// to schedulers at entries that this one cannot reach.
  void set_share(double share) { share_ = share; }

  /// Returns how many requests the server may get now; nothing if it states no
  /// limit.
  std::optional<int> Permits(const std::string& server) const;
  /// Counts a request to the server.
  void Take(const std::string& server);
  /// Forgets servers whose limits have ended.
  void Tick();
  size_t size() const { return buckets_.size(); }

 private:
  struct Bucket {
    double tokens = 1;
    TimePoint filled_at;
  };

  /// Returns the tokens now; `bucket` is null for a limit that is not used yet.
  double TokensOf(const Bucket* bucket, double limit) const;

  Options options_;
  const ServerNotices& notices_;
  const Clock& clock_;
  double share_ = 1;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_NOTICE_SERVER_RATE_LIMITER_H_
