#ifndef BULRUSHSPRING_LIBRARIES_METRICS_NAMES_HPP
#define BULRUSHSPRING_LIBRARIES_METRICS_NAMES_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace bulrushspring::metrics
{

// Monotonic counters, in the order of counter_names. The exported names are
// fixed, so some differ from the enumerators: answers_complete is exported as
// answers_whole_total, unexpected_answers as stray_answers_total.
enum class counter : std::uint8_t {
    caller_requests,
    answers_complete,
    answers_partial,
    answers_refused,
    answers_failed,
    answers_unknown,
    leaf_requests,
    leaf_hedges,
    leaf_retries,
    leaf_cancellations,
    leaf_shed,
    leaf_failures,
    leaf_answers_unusable,
    unexpected_answers,
    connections_opened,
    connections_closed,
    connections_silent,
    datagrams_sent,
    datagrams_received,
    datagram_bytes_sent,
    datagram_bytes_received,
    input_rejected,
    peer_requests,
    peer_requests_failed,
    peer_replies_refused,
    peer_bytes_sent,
    peer_bytes_received,
    peer_bytes_discarded,
    platform_reads,
    platform_failures,
    store_restores,
    records_unreadable,
    manifests_accepted,
    manifests_refused,
    evacuations_begun,
    evacuations_drained,
    evacuations_revoked,
    memory_drops_partial,
    memory_drops_unsent,
    memory_drops_response,
    memory_drops_idle,
    leafs_slow,
    leaf_probes,
    requests_queued,
    requests_queue_rejected,
    count_of_counters,
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(
                                                  counter::count_of_counters)>
    counter_names = {
        "caller_requests_total",
        "answers_whole_total",
        "answers_partial_total",
        "answers_refused_total",
        "answers_failed_total",
        "answers_unknown_total",
        "leaf_requests_total",
        "leaf_hedges_total",
        "leaf_retries_total",
        "leaf_cancellations_total",
        "leaf_shed_total",
        "leaf_failures_total",
        "leaf_answers_unusable_total",
        "stray_answers_total",
        "connections_opened_total",
        "connections_closed_total",
        "connections_silent_total",
        "datagrams_sent_total",
        "datagrams_received_total",
        "datagram_bytes_sent_total",
        "datagram_bytes_received_total",
        "input_rejected_total",
        "peer_requests_total",
        "peer_requests_failed_total",
        "peer_replies_refused_total",
        "peer_bytes_sent_total",
        "peer_bytes_received_total",
        "peer_bytes_discarded_total",
        "platform_reads_total",
        "platform_failures_total",
        "store_restores_total",
        "records_unreadable_total",
        "manifests_accepted_total",
        "manifests_refused_total",
        "evacuations_begun_total",
        "evacuations_drained_total",
        "evacuations_revoked_total",
        "memory_dropped_partial_total",
        "memory_dropped_unsent_total",
        "memory_dropped_responses_total",
        "memory_dropped_idle_total",
        "leafs_slow_total",
        "leaf_probes_total",
        "requests_queued_total",
        "requests_queue_rejected_total",
};

// Histograms of latencies, in the order of histogram_names.
enum class histogram : std::uint8_t {
    query_latency,
    read_latency,
    request_latency,
    leaf_latency,
    count_of_histograms,
};

inline constexpr std::array<
    std::string_view, static_cast<std::size_t>(histogram::count_of_histograms)>
    histogram_names = {
        "query_latency_seconds",
        "read_latency_seconds",
        "request_latency_seconds",
        "leaf_latency_seconds",
};

} // namespace bulrushspring::metrics

#endif
