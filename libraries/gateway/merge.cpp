#include "libraries/gateway/merge.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace bulrushspring::gateway
{

std::string greatest_records(std::span<const std::string_view> bodies,
                             std::size_t max_records)
{
    std::vector<std::string_view> records;
    for (const auto body : bodies) {
        for (std::size_t at = 0; at + record_bytes <= body.size();
             at += record_bytes) {
            records.push_back(body.substr(at, record_bytes));
        }
    }
    const auto kept = std::min(max_records, records.size());
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>{});
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (std::size_t i = 0; i < kept; ++i) {
        merged += records[i];
    }
    return merged;
}

} // namespace bulrushspring::gateway
