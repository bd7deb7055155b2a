#ifndef BULRUSHSPRING_TESTS_CLIENT_MODEL_ENTRIES_HPP
#define BULRUSHSPRING_TESTS_CLIENT_MODEL_ENTRIES_HPP

#include "base/hash.hpp"
#include "base/random.hpp"
#include "libraries/client/answer.hpp"
#include "libraries/client/caller.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace bulrushspring::tests
{

// A fault injected into one exchange.
enum class fault {
    none,
    unreachable,
    lost_request, // sent, but not received by the entry
    lost_answer,
    malformed_answer,
    mismatched_answer, // the answer to another request
    restarted,         // the entry restarts just before it gets the request
    not_admitted,
    stopping,
    fault_count,
};

// A model of entries as docs/CALLERS.md specifies them, without a network.
struct model_entries {
    struct entry {
        endpoint where;
        int incarnation = 1;
        std::map<std::string, caller_answer> answers;
    };
    struct sent_request {
        endpoint to;
        client::http_request request;
    };

    std::vector<entry> entries;
    manual_clock time;
    random_source random;
    std::vector<fault> faults; // of the next exchanges, in order
    duration hold = seconds{10};
    std::map<std::string, int> executions; // by the id that the caller chose
    std::vector<sent_request> log;

    explicit model_entries(int count)
    {
        for (int i = 0; i < count; ++i) {
            entries.push_back({address(i)});
        }
    }

    static endpoint address(int number)
    {
        return {0x0A000001U + static_cast<std::uint32_t>(number), 7001};
    }

    static std::string grant_of(const endpoint& to, const entry& at)
    {
        const auto rest = to_string(to) + "/" + std::to_string(at.incarnation);
        return to_string(hash_content(rest)).substr(0, 16) + "." + rest;
    }

    fault next_fault()
    {
        if (faults.empty()) {
            return fault::none;
        }
        const auto next = faults.front();
        faults.erase(faults.begin());
        return next;
    }

    client::exchange_result exchange(const endpoint& to,
                                     const client::http_request& request)
    {
        time.advance(milliseconds{5});
        const auto injected = next_fault();
        auto& at =
            *std::find_if(entries.begin(), entries.end(),
                          [&](const entry& it) { return it.where == to; });
        const error lost{errc::closed, "exchange", to_string(to), ""};
        if (injected == fault::unreachable) {
            return {lost, false};
        }
        log.push_back({to, request});
        if (injected == fault::lost_request) {
            return {lost, true};
        }
        if (injected == fault::restarted) {
            ++at.incarnation;
            at.answers.clear();
        }
        auto response = request.target.rfind("/v1/addresses", 0) == 0
                            ? addresses(to, at)
                            : answer(to, at, request, injected);
        if (injected == fault::lost_answer) {
            return {lost, true};
        }
        if (injected == fault::malformed_answer) {
            response.body.resize(response.body.size() / 2);
        }
        return {response, true};
    }

    client::http_response addresses(const endpoint& to, const entry& at) const
    {
        auto list = nlohmann::json::array();
        for (const auto& it : entries) {
            list.push_back({{"name", to_string(it.where)},
                            {"data_centre", "kl-1"},
                            {"address", to_string(it.where)}});
        }
        const nlohmann::json object = {{"entries", list},
                                       {"hold_ms", to_milliseconds(hold)},
                                       {"grant", grant_of(to, at)},
                                       {"grant_hold_ms", 30'000}};
        return {200, {}, object.dump()};
    }

    client::http_response answer(const endpoint& to, entry& at,
                                 const client::http_request& request,
                                 fault injected)
    {
        const auto header = [&](std::string_view name) {
            const client::http_response headers{0, request.headers, ""};
            return std::string(client::header_of(headers, name));
        };
        const auto id = header("Bulrushspring-Request-Id");
        caller_answer answer;
        answer.request_id = id;
        answer.status = answer_status::refused;
        answer.run = execution::not_run;
        int status = 503;
        const bool once = request.target.rfind("/v1/request/", 0) == 0;
        const auto known = at.answers.find(id);
        const bool first = header("Bulrushspring-Sending") == "1";
        const bool bound = id.rfind(grant_of(to, at).substr(0, 17), 0) == 0;
        if (once && header("Bulrushspring-Grant") != grant_of(to, at)) {
            answer.run = first ? execution::not_run : execution::unknown;
            answer.grant = grant_of(to, at);
            status = 409;
        } else if (known != at.answers.end()) {
            answer = known->second;
            status = 200;
        } else if (once && !first && !bound) {
            answer.run = execution::unknown;
            answer.reason = "earlier_sending_unknown";
        } else if (injected == fault::not_admitted) {
            answer.retry_after = seconds{1};
        } else if (injected == fault::stopping) {
            answer.reason = "stopping";
        } else {
            ++executions[id.substr(id.rfind('.') + 1)];
            answer.status = answer_status::answered;
            answer.run = execution::ran;
            status = 200;
            at.answers[id] = answer;
        }
        if (injected == fault::mismatched_answer) {
            answer.request_id = "another";
        }
        return {status, {}, client::answer_json(answer)};
    }

    client::transport transport()
    {
        return {[this](const endpoint& to, const client::http_request& request,
                       duration /*unused*/) { return exchange(to, request); },
                [this] { return time.now(); },
                [this](duration wait) { time.advance(wait); }};
    }

    client::address_book book() const
    {
        client::address_book known;
        for (const auto& it : entries) {
            known.bootstrap.push_back(it.where);
        }
        return known;
    }
};

inline client::call make_call(manifest::service_kind kind, std::string id)
{
    client::call what;
    what.kind = kind;
    what.service = "order-desk";
    what.key = "board 7";
    what.id = std::move(id);
    return what;
}

} // namespace bulrushspring::tests

#endif
