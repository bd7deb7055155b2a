#ifndef BULRUSHSPRING_FAKES_SITE_LEAF_HPP
#define BULRUSHSPRING_FAKES_SITE_LEAF_HPP

#include "base/random.hpp"
#include "libraries/http/server.hpp"

#include <functional>
#include <map>
#include <unordered_map>

namespace bulrushspring::site
{

// How often each request was run, over all leafs.
using run_counts = std::unordered_map<std::string, std::uint32_t>;

struct leaf_options {
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    std::uint32_t slots = 3;
    std::uint32_t queue = 18;
    duration work = milliseconds{5};
};

// What a leaf may do wrong, as shares of its requests from 0 to 1.
struct leaf_faults {
    double refuse = 0;   // not run, and said so
    double lose = 0;     // run, and no answer
    double fail = 0;     // run, and an error
    double truncate = 0; // run, and half of the answer
    double repeat = 0;   // run, and answered twice
    double slow_factor = 1;
};

// A server of one service.
class leaf
{
public:
    leaf(event_base* base, leaf_options options, run_counts& runs,
         std::uint64_t seed);

    const leaf_options& options() const { return options_; }
    leaf_faults faults;
    std::size_t arrivals() const { return arrivals_; }
    boot_time last_arrival() const { return last_arrival_; }
    std::size_t connections() const { return server_->connections(); }

    // The item that the store holds of it.
    std::string published(bool draining) const;

private:
    struct job {
        leaf* owner;
        caller_token token;
        http::request asked;
        shell::event_handle done;
    };

    void take(caller_token token, http::request asked);
    void refuse(caller_token token, unsigned status);
    void run_next();
    void finish(const job& done);
    static void pass_work(evutil_socket_t socket, short what, void* which);

    event_base* base_;
    leaf_options options_;
    run_counts& runs_;
    random_source random_;
    std::unique_ptr<http::server> server_;
    std::vector<std::unique_ptr<job>> running_;
    std::vector<std::unique_ptr<job>> queued_;
    std::size_t arrivals_ = 0;
    boot_time last_arrival_{};
};

// What a leaf of a service answers to a request: callers compare.
std::string seal_of(const std::string& service, const std::string& request_id);
std::string single_body(const std::string& service, const http::request& asked);
// The records of a shard, of 16 bytes each.
std::string shard_body(const std::string& service, std::string_view target);

} // namespace bulrushspring::site

#endif
