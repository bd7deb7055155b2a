#include "fleet.hpp"

namespace bulrushspring::configuration::test
{

simulated_fleet::simulated_fleet(std::size_t size, std::uint64_t seed,
                                 const options& settings)
    : members(size), settings_(settings), random_(seed)
{
    for (std::size_t i = 0; i < size; ++i) {
        auto& record = members[i].record;
        record.name = "entry-" + std::to_string(i);
        record.data_centre = "dc-" + std::to_string(i % 3);
        record.region = "r";
        record.peer = {0x7f000001, static_cast<std::uint16_t>(1001 + 3 * i)};
    }
}

void simulated_fleet::start(std::size_t member_index)
{
    auto& one = members[member_index];
    one.node.reset();
    one.min_expected = {};
    bool first = true;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto& other = members[i];
        if (other.node && ready(*other.node) && reaches(member_index, i)) {
            const auto& in_force = other.node->in_force.id;
            one.min_expected = first || is_newer(one.min_expected, in_force)
                                   ? in_force
                                   : one.min_expected;
            first = false;
        }
    }
    one.disturbances = ++disturbances_;
    ++one.incarnation;
    one.highest = {};
    one.was_ready = false;
    one.deferred_events.clear();
    one.frozen_until = now;
    one.node = make_state(settings_, random_(), now);
}

void simulated_fleet::start_all()
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        start(i);
    }
}

void simulated_fleet::stop(std::size_t member_index)
{
    members[member_index].node.reset();
    ++disturbances_;
}

void simulated_fleet::move(std::size_t member_index, std::size_t partition)
{
    members[member_index].partition = partition;
    ++disturbances_;
}

void simulated_fleet::freeze(std::size_t member_index, duration span)
{
    members[member_index].frozen_until = now + span;
    ++disturbances_;
}

void simulated_fleet::deliver(std::size_t to, std::uint64_t incarnation,
                              duration after, event what)
{
    queue_.push(
        {now + after, ++next_sequence_, to, incarnation, std::move(what)});
}

void simulated_fleet::run(duration span)
{
    const boot_time end = now + span;
    constexpr milliseconds slice{20};
    while (now < end) {
        now += slice;
        answer_reads();
        send_ticks_and_pings();
        while (!queue_.empty() && queue_.top().when <= now) {
            const delivery next = queue_.top();
            queue_.pop();
            if (members[next.to].node &&
                members[next.to].incarnation == next.incarnation) {
                process(next.to, next.what);
            }
        }
    }
}

void simulated_fleet::send_ticks_and_pings()
{
    constexpr std::uint64_t slices_per_ping = 50; // one per second
    for (std::size_t i = 0; i < members.size(); ++i) {
        auto& one = members[i];
        if (!one.node || now < one.frozen_until) {
            continue;
        }
        while (!one.deferred_events.empty()) {
            const event what = std::move(one.deferred_events.front());
            one.deferred_events.pop_front();
            process(i, what);
        }
        if (now >= next_wakeup(*one.node)) {
            process(i, tick{});
        }
        const auto to = random_below(random_, members.size());
        if (pings && to != i && random_below(random_, slices_per_ping) == 0) {
            effect ping = send_datagram{
                members[to].record.peer,
                wire::ping{0, one.record, digest_of(*one.node), {}, {}}};
            execute(i, ping);
        }
    }
}

void simulated_fleet::process(std::size_t member_index, const event& what)
{
    auto& one = members[member_index];
    if (now < one.frozen_until) {
        one.deferred_events.push_back(what);
        return;
    }
    std::vector<wire::member_record> live;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].node && reaches(member_index, i)) {
            live.push_back(members[i].record);
        }
    }
    std::vector<effect> effects;
    context context{now, effects, one.last_identifier};
    const peers seen{live, one.record};
    std::visit(
        [&](const auto& typed) {
            if constexpr (requires {
                              reduce(*one.node, typed, seen, context);
                          }) {
                reduce(*one.node, typed, seen, context);
            }
        },
        what);
    for (auto& made : effects) {
        execute(member_index, made);
    }
    check_invariants(member_index);
}

void simulated_fleet::execute(std::size_t member_index, effect& what)
{
    constexpr milliseconds latency{5};
    if (auto* sent = std::get_if<send_datagram>(&what)) {
        const auto to = find_member(sent->to);
        if (to && reaches(member_index, *to) &&
            random_fraction(random_) >= loss) {
            deliver(*to, members[*to].incarnation, latency,
                    datagram_received{members[member_index].record.peer,
                                      sent->message});
        }
    } else if (auto* call = std::get_if<send_peer_request>(&what)) {
        ask(member_index, *call);
    } else if (auto* reply = std::get_if<reply_to_peer>(&what)) {
        const auto it = requesters_.find(raw(reply->token));
        const auto [to, incarnation, exchange] = it->second;
        const auto& handed = std::get<wire::documents_reply>(reply->reply);
        members[to].bytes_received +=
            handed.manifest_index.size() + handed.vms.size();
        for (const auto& section : handed.sections) {
            members[to].bytes_received += section.content.size();
        }
        deliver(to, incarnation, latency,
                peer_reply_received{exchange, reply->reply});
        requesters_.erase(it);
    } else if (auto* wanted = std::get_if<read_platform>(&what)) {
        read(member_index, *wanted);
    } else if (auto* line = std::get_if<write_log>(&what)) {
        log.push_back(std::move(line->record));
    }
}

void simulated_fleet::ask(std::size_t member_index,
                          const send_peer_request& call)
{
    const auto incarnation = members[member_index].incarnation;
    // A reply that is received in time precedes this one.
    deliver(member_index, incarnation, call.timeout,
            peer_reply_received{call.exchange,
                                error{errc::timed_out, "ask", "peer", ""}});
    const auto to = find_member(call.peer);
    if (!to || !reaches(member_index, *to)) {
        return;
    }
    const std::uint64_t token = ++next_sequence_;
    requesters_[token] = {member_index, incarnation, call.exchange};
    deliver(*to, members[*to].incarnation, milliseconds{5},
            peer_request_received{peer_token{token},
                                  members[member_index].record.peer,
                                  call.request});
}

bool simulated_fleet::reaches(std::size_t from, std::size_t to) const
{
    return members[from].partition == members[to].partition;
}

std::optional<std::size_t>
simulated_fleet::find_member(const endpoint& peer) const
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].record.peer == peer && members[i].node) {
            return i;
        }
    }
    return {};
}

} // namespace bulrushspring::configuration::test
