#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_TOKEN_BUCKET_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_TOKEN_BUCKET_HPP

#include "base/time.hpp"

#include <algorithm>

namespace bulrushspring::limits
{

// A rate limit that allows bursts of up to `capacity`.
struct token_bucket {
    double per_second = 0;
    double capacity = 0;
    double tokens = 0;
    boot_time filled_at;
};

inline token_bucket make_bucket(double per_second, double capacity,
                                boot_time now)
{
    return {per_second, capacity, capacity, now};
}

// The tokens available, with those earned since the bucket was refilled.
inline double available(const token_bucket& bucket, boot_time now)
{
    const std::chrono::duration<double> elapsed = now - bucket.filled_at;
    return std::min(bucket.capacity,
                    bucket.tokens + elapsed.count() * bucket.per_second);
}

// Adds the tokens earned since the last call and returns the tokens available.
inline double refill(token_bucket& bucket, boot_time now)
{
    bucket.tokens = available(bucket, now);
    bucket.filled_at = now;
    return bucket.tokens;
}

// Takes an amount of tokens. Returns false, and takes nothing, if fewer are
// available.
inline bool take(token_bucket& bucket, double amount, boot_time now)
{
    if (refill(bucket, now) < amount) {
        return false;
    }
    bucket.tokens -= amount;
    return true;
}

} // namespace bulrushspring::limits

#endif
