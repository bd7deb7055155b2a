#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_RATE_SHARE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_RATE_SHARE_HPP

#include "base/random.hpp"
#include "libraries/limits/token_bucket.hpp"
#include "libraries/wire/message.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// A leaf may state how many requests a second it takes from all daemons
// together. The daemons divide that rate without talking about each request:
// each computes its own share from the membership.
//
// While the rate allows each daemon that serves callers a request a second, all
// of these have equal shares. Below that, as many of them as the rate has
// requests a second own it, chosen by rendezvous hash, so that a burst of one
// request each stays near the rate as well. The other daemons together have a
// small reserve, by which they notice in time that the limit has ended.
namespace bulrushspring::gateway
{

// The daemons that divide the rates of leafs.
struct rate_sharers {
    std::vector<std::string> serving; // names, callers are directed to them
    // The number of serving daemons, and of all. They fall slowly, since a
    // daemon that is not heard of may still send requests.
    double serving_count = 1;
    double fleet_count = 1;
    // The most that they have been. By these, the limits of cold leafs are
    // divided, so that daemons which do not hear from each other for long keep
    // to them.
    double most_serving = 1;
    double most_in_fleet = 1;
    std::uint64_t generation = 0; // rises when shares of cold leafs change
    boot_time counted_at{};
    // A daemon that does not know its fleet yet takes no share.
    bool known = false;
};

// Adopts the present members.
void update(rate_sharers&, std::span<const wire::member_record> serving,
            std::size_t fleet_size, bool known, boot_time now);

// One daemon's share of a leaf's rate.
struct rate_share {
    double per_second = 0;
    bool owner = false; // else it has a share of the reserve
};

// The share of the daemon of this name. `limit` is in requests a second.
rate_share share_of(const rate_sharers&, std::string_view daemon,
                    std::string_view leaf, double limit);

// The bound on the requests to a cold leaf within any second, from all daemons:
// `overshoot` times what it tolerates, and `slack` more.
struct cold_bound {
    double overshoot = 1.5;
    double slack = 5.0;
};

// The share of what a cold leaf tolerates, in requests a second. The shares of
// all daemons add up to less than half of the bound: it holds within each
// second, in which an owner may send two requests, and for two parts of the
// fleet that do not hear from each other and name owners of their own.
rate_share cold_share_of(const rate_sharers&, std::string_view daemon,
                         std::string_view leaf, double per_second,
                         const cold_bound&);

// Admits the requests of one daemon to one leaf.
struct rate_gate {
    rate_share share;
    limits::token_bucket bucket; // of an owner
    // Otherwise the time at which a request may be sent, which passes unused
    // after a while: requests of many daemons must not accumulate.
    boot_time permit_at{};
};

// Adopts another share. Tokens that were not used yet are kept.
void set_share(rate_gate&, const rate_share&, random_source&, boot_time now);

// The earliest time at which a request may be sent; boot_time::max() if no time
// is known.
boot_time admits_at(const rate_gate&, boot_time now);

// Counts a request that is sent.
void count_request(rate_gate&, random_source&, boot_time now);

// Draws the next time for a request if the last one has passed unused.
void renew_permit(rate_gate&, random_source&, boot_time now);

} // namespace bulrushspring::gateway

#endif
