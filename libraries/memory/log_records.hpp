#ifndef BULRUSHSPRING_LIBRARIES_MEMORY_LOG_RECORDS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMORY_LOG_RECORDS_HPP

#include "libraries/log/record.hpp"
#include "libraries/memory/account.hpp"

// Log records about the account, the same for all daemons.
namespace bulrushspring::memory
{

// What follows from the memory of the process, in bytes.
log_record describe_limits(std::uint64_t process_bytes, const limits&);

// What was dropped: `reserved` and `connections` are those of before.
log_record describe_drops(std::uint64_t reserved, std::uint64_t connections,
                          const drop_counts&, const account& after);

} // namespace bulrushspring::memory

#endif
