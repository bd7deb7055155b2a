#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_PENDING_UPDATES_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_PENDING_UPDATES_HPP

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bulrushspring::membership
{

// The subject of an update: an index into the table that holds its content.
using subject_index = std::uint32_t;

// A queued update. Updates that were sent least often come first, and the
// newest first among these.
struct pending_update {
    std::uint32_t transmissions = 0;
    std::uint64_t age_order = 0; // lower for newer updates
    subject_index subject = 0;

    friend bool operator<(const pending_update& first,
                          const pending_update& second)
    {
        return std::tie(first.transmissions, first.age_order, first.subject) <
               std::tie(second.transmissions, second.age_order, second.subject);
    }
};

// The updates that gossip still has to transmit. There is at most one for each
// subject, so the table of the subjects bounds the queue.
struct pending_updates {
    std::set<pending_update> by_priority;
    std::unordered_map<subject_index, pending_update> by_subject;
    std::uint64_t next_age_order = ~std::uint64_t{0};
};

// Queues an update. If one with the same subject is queued, it starts over with
// no transmissions.
inline void enqueue(pending_updates& queue, subject_index subject)
{
    const auto known = queue.by_subject.find(subject);
    if (known != queue.by_subject.end()) {
        queue.by_priority.erase(known->second);
    }
    const pending_update update{0, queue.next_age_order--, subject};
    queue.by_subject[subject] = update;
    queue.by_priority.insert(update);
}

// Removes the update with this subject, if there is one.
inline void discard(pending_updates& queue, subject_index subject)
{
    const auto known = queue.by_subject.find(subject);
    if (known == queue.by_subject.end()) {
        return;
    }
    queue.by_priority.erase(known->second);
    queue.by_subject.erase(known);
}

// Selects the updates to send next, as many as fit into `room` bytes, and
// reduces `room` by their sizes. size_of returns the encoded size of a
// subject's content in bytes. Each selected update counts as transmitted once
// more, and is removed after max_transmissions.
template <typename SizeOf>
std::vector<subject_index>
take_updates(pending_updates& queue, std::size_t& room,
             std::uint32_t max_transmissions, SizeOf size_of)
{
    std::vector<subject_index> taken;
    auto next = queue.by_priority.begin();
    for (; next != queue.by_priority.end(); ++next) {
        const std::size_t size = size_of(next->subject);
        if (size > room) {
            break;
        }
        room -= size;
        taken.push_back(next->subject);
    }
    queue.by_priority.erase(queue.by_priority.begin(), next);
    for (const auto subject : taken) {
        auto& update = queue.by_subject[subject];
        ++update.transmissions;
        if (update.transmissions >= max_transmissions) {
            queue.by_subject.erase(subject);
            continue;
        }
        queue.by_priority.insert(update);
    }
    return taken;
}

} // namespace bulrushspring::membership

#endif
