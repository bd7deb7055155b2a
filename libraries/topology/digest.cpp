#include "libraries/topology/digest.hpp"

namespace bulrushspring::topology
{
namespace
{

constexpr std::uint64_t level_mask = 0xFFFFU;
constexpr std::uint64_t in_service_bit = 0x10000U;
constexpr std::uint64_t reaches_store_bit =
    0x20000U; // ignored by older daemons

} // namespace

wire::digest to_wire(const record_digest& stated)
{
    wire::digest made;
    made.manifest_version = stated.revision;
    made.manifest_hash.high = stated.level |
                              (stated.in_service ? in_service_bit : 0) |
                              (stated.reaches_store ? reaches_store_bit : 0);
    made.manifest_hash.low = stated.full_revision;
    made.vms_revision = stated.table_version;
    return made;
}

record_digest from_wire(const wire::digest& received)
{
    record_digest stated;
    stated.revision = received.manifest_version;
    stated.level =
        static_cast<std::uint32_t>(received.manifest_hash.high & level_mask);
    if (stated.level > 0) {
        stated.in_service = (received.manifest_hash.high & in_service_bit) != 0;
        stated.reaches_store =
            (received.manifest_hash.high & reaches_store_bit) != 0;
        stated.full_revision = received.manifest_hash.low;
        stated.table_version = received.vms_revision;
    }
    return stated;
}

} // namespace bulrushspring::topology
