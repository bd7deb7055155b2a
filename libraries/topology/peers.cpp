#include "libraries/topology/peers.hpp"

#include "libraries/topology/events.hpp"

#include <algorithm>

namespace bulrushspring::topology
{
namespace
{

// The peers that are remembered of those that state the same.
constexpr std::size_t max_offering_peers = 8;

// Of a newer offer the time to request it is that of the first one that has not
// been fetched, so that a series of changes doesn't put it off.
void note_offer(peer_offer& offer, std::uint64_t known, std::uint64_t value,
                const endpoint& peer, boot_time fetch_at)
{
    if (value <= known || value < offer.value) {
        return;
    }
    if (offer.value <= known) {
        offer.missing_since = fetch_at;
    }
    const bool waiting = offer.value > known && !offer.peers.empty();
    if (value > offer.value) {
        offer.value = value;
        offer.peers.clear();
    }
    if (offer.peers.size() < max_offering_peers &&
        std::find(offer.peers.begin(), offer.peers.end(), peer) ==
            offer.peers.end()) {
        offer.peers.push_back(peer);
    }
    if (!waiting) {
        offer.fetch_at = std::max(offer.fetch_at, fetch_at);
    }
}

// Gives up a peer that has failed to deliver. If no other one offers the same,
// the next digest does.
void drop_peer(peer_offer& offer, const endpoint& failed, boot_time retry_at)
{
    if (std::erase(offer.peers, failed) > 0) {
        offer.fetch_at = retry_at;
    }
}

// One of the peers at random: all that have heard of a change from the same
// digest would otherwise ask the same one.
const endpoint& choose_peer(const peer_offer& offer, random_source& random)
{
    return offer.peers[random_below(random, offer.peers.size())];
}

void note_table(state& self, const endpoint& peer, std::uint64_t version,
                boot_time now, boot_time fetch_at)
{
    const auto& peers = self.peers;
    if (version > peers.undelivered_table || now >= peers.undelivered_until) {
        note_offer(self.peers.table, table_version_of(self), version, peer,
                   fetch_at);
    }
}

bool lacks_table(const state& self)
{
    return self.peers.table.value > table_version_of(self);
}

bool lacks(const peer_offer& offer, std::uint64_t known)
{
    return offer.value > known;
}

bool can_request(const peer_offer& offer, std::uint64_t known)
{
    return lacks(offer, known) && !offer.peers.empty();
}

// When to ask the first peer: after the listing, so that the whole list need
// not be sent, unless the store takes too long.
boot_time first_request_at(const state& self)
{
    const auto& peers = self.peers;
    if (!peers.first || peers.answered) {
        return boot_time::max();
    }
    const bool store_tried =
        self.last_answer_at != boot_time::min() || self.failures > 0;
    return store_tried ? peers.first->heard_at
                       : peers.first->heard_at + self.settings.first_list_wait;
}

void send(state& self, fetch_purpose purpose, const endpoint& to,
          wire::peer_request request, context& context)
{
    auto& peers = self.peers;
    peers.purpose = purpose;
    peers.asked = to;
    peers.asked_at = context.now;
    peers.exchange = context.new_identifier<exchange_id>();
    context.emit(send_peer_request{*peers.exchange, to, std::move(request),
                                   self.settings.peer_timeout});
}

wire::record_changes_request changes_request(const state& self)
{
    wire::record_changes_request request;
    request.level = protocol_level;
    request.after = self.revision;
    request.table_version = table_version_of(self);
    request.accepts_compression = true;
    return request;
}

void request_next_piece(state& self, context& context)
{
    const auto& list = *self.peers.list;
    auto request = changes_request(self);
    request.listed = list.received.records.back().published.revision;
    send(self, list.purpose, list.peer, request, context);
}

// A peer of level 0 is asked for all its records, since its reply to any other
// request lacks the content in use that is older than what the store holds.
void request_first(state& self, context& context)
{
    const auto& first = *self.peers.first;
    if (first.level == 0) {
        send(self, fetch_purpose::first, first.address,
             wire::records_request{0}, context);
        return;
    }
    auto request = changes_request(self);
    request.kept = true;
    send(self, fetch_purpose::first, first.address, request, context);
}

void request_table(state& self, context& context)
{
    const auto& offer = self.peers.table;
    const auto peer = choose_peer(offer, self.random);
    context.emit(
        write_log{make_record(peer_table_ahead, field("peer", to_string(peer)),
                              field("peer_version", offer.value),
                              field("version", table_version_of(self)))});
    send(self, fetch_purpose::table, peer, changes_request(self), context);
}

void request_changes(state& self, const peer_offer& offer,
                     const wire::peer_request& request, context& context)
{
    const auto peer = choose_peer(offer, self.random);
    context.emit(
        write_log{make_record(peer_ahead, field("peer", to_string(peer)),
                              field("peer_revision", offer.value),
                              field("revision", self.revision))});
    send(self, fetch_purpose::changes, peer, request, context);
}

} // namespace

std::uint64_t basic_revision_of(const state& self)
{
    return std::max(self.revision, self.basic_revision);
}

std::uint64_t table_version_of(const state& self)
{
    return self.table ? self.table->version : 0;
}

void note_digest(state& self, const endpoint& peer, const record_digest& stated,
                 boot_time now)
{
    auto& peers = self.peers;
    const auto fetch_at =
        now + (self.role != store_role::none
                   ? self.settings.peer_fetch_delay
                   : self.settings.peer_fetch_delay_without_store);
    const bool can_answer =
        stated.level > 0 ? stated.in_service : stated.revision > 0;
    if (!peers.answered && !peers.first && can_answer) {
        peers.first = first_peer{peer, stated.level, now};
    }
    if (!can_answer && peers.starting.size() < enough_starting_peers &&
        std::find(peers.starting.begin(), peers.starting.end(), peer) ==
            peers.starting.end()) {
        peers.starting.push_back(peer);
    }
    if (stated.level == 0) {
        note_offer(peers.basic_changes, basic_revision_of(self),
                   stated.revision, peer, fetch_at);
        return;
    }
    note_offer(peers.changes, self.revision, stated.full_revision, peer,
               fetch_at);
    note_table(self, peer, stated.table_version, now, fetch_at);
}

void request_if_due(state& self, context& context)
{
    const auto& peers = self.peers;
    if (peers.exchange) {
        return;
    }
    if (peers.list) {
        request_next_piece(self, context);
    } else if (context.now >= first_request_at(self)) {
        request_first(self, context);
    } else if (can_request(peers.table, table_version_of(self)) &&
               context.now >= peers.table.fetch_at) {
        request_table(self, context);
    } else if (can_request(peers.changes, self.revision) &&
               context.now >= peers.changes.fetch_at) {
        request_changes(self, peers.changes, changes_request(self), context);
    } else if (can_request(peers.basic_changes, basic_revision_of(self)) &&
               context.now >= peers.basic_changes.fetch_at) {
        request_changes(self, peers.basic_changes,
                        wire::records_request{basic_revision_of(self)},
                        context);
    }
}

std::optional<records_learned> receive_answer(state& self,
                                              records_learned event)
{
    auto& peers = self.peers;
    peers.exchange.reset();
    auto& list = peers.list;
    const bool same_era =
        !list || era_of(list->received.revision) == era_of(event.revision);
    if (!event.complete || !same_era) {
        list.reset();
        return event;
    }
    if (!list && !event.more) {
        return event;
    }
    const bool ends = !event.more || event.records.empty();
    if (!list) {
        list = partial_list{peers.asked, peers.purpose, std::move(event)};
    } else {
        auto& received = list->received.records;
        std::move(event.records.begin(), event.records.end(),
                  std::back_inserter(received));
    }
    if (!ends) {
        return std::nullopt;
    }
    auto whole = std::move(list->received);
    list.reset();
    return whole;
}

void finish_request(state& self, context& context)
{
    auto& peers = self.peers;
    if (peers.purpose == fetch_purpose::first && !peers.answered) {
        peers.answered = true;
        context.emit(write_log{
            make_record(peer_asked, field("peer", to_string(peers.asked)),
                        field("version", table_version_of(self)),
                        field("revision", self.revision))});
    }
    if (peers.purpose == fetch_purpose::table && lacks_table(self)) {
        peers.undelivered_table = peers.table.value;
        peers.undelivered_until = context.now + self.settings.table_retry;
        peers.table.value = table_version_of(self);
    }
}

void log_received(const state& self, const records_learned& event,
                  context& context)
{
    constexpr std::size_t logged_bytes = 64UL * 1024;
    if (event.bytes <= logged_bytes) {
        return;
    }
    const auto& peers = self.peers;
    context.emit(write_log{make_record(
        peer_records_received, field("peer", to_string(peers.asked)),
        field("records", event.records.size()), field("bytes", event.bytes),
        field("ms", to_milliseconds(context.now - peers.asked_at)),
        field("decoding_ms", to_milliseconds(event.decoding)))});
}

void fail_request(state& self, const error& cause, context& context)
{
    auto& peers = self.peers;
    const auto now = context.now;
    context.emit(write_log{make_record(
        peer_request_failed, field("peer", to_string(peers.asked)),
        field("ms", to_milliseconds(now - peers.asked_at)),
        field("cause", cause.code.message() + " " + cause.detail))});
    peers.exchange.reset();
    peers.list.reset();
    peers.first.reset();
    const double jitter = 0.5 + 0.5 * random_fraction(self.random);
    const auto retry_at = now + std::chrono::duration_cast<duration>(
                                    self.settings.peer_retry_pause * jitter);
    for (auto* offer : {&peers.table, &peers.changes, &peers.basic_changes}) {
        drop_peer(*offer, peers.asked, retry_at);
    }
}

boot_time next_request(const state& self)
{
    const auto& peers = self.peers;
    if (peers.exchange) {
        return boot_time::max();
    }
    if (peers.list) {
        return boot_time::min();
    }
    auto next = first_request_at(self);
    if (can_request(peers.table, table_version_of(self))) {
        next = std::min(next, peers.table.fetch_at);
    }
    if (can_request(peers.changes, self.revision)) {
        next = std::min(next, peers.changes.fetch_at);
    }
    if (can_request(peers.basic_changes, basic_revision_of(self))) {
        next = std::min(next, peers.basic_changes.fetch_at);
    }
    return next;
}

bool lacks_changes(const state& self, boot_time now)
{
    const auto overdue = [&](const peer_offer& offer, std::uint64_t known) {
        return lacks(offer, known) &&
               now - offer.missing_since >= self.settings.max_staleness;
    };
    return overdue(self.peers.changes, self.revision) ||
           overdue(self.peers.basic_changes, basic_revision_of(self));
}

} // namespace bulrushspring::topology
