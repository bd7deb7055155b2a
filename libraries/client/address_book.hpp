#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_ADDRESS_BOOK_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_ADDRESS_BOOK_HPP

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "libraries/reducer/caller_message.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushspring::client
{

// A grant and when it expires.
struct cached_grant {
    std::string text;
    boot_time expires;
};

// A caller's cache of entry addresses, with their expiry, and of the grants
// that entries issued.
struct address_book {
    std::vector<endpoint> bootstrap; // used when no addresses are cached
    std::vector<endpoint> entries;   // in order of preference
    boot_time expires;
    std::unordered_map<endpoint, cached_grant> grants; // at most max_grants
};

// Limit on cached grants; beyond it the one that expires first is evicted.
inline constexpr std::size_t max_grants = 256;

// Whether the cached addresses have not expired.
bool addresses_valid(const address_book& book, boot_time now);

// Stores an address answer received from `from`. `asked` is the time of the
// request, not of the answer, so that nothing is cached for too long.
void accept(address_book& book, const endpoint& from,
            const address_answer& answer, boot_time asked);

// Stores a grant that an entry issued.
void store_grant(address_book& book, const endpoint& from, std::string grant,
                 boot_time expires);

// The grant for an entry; empty if there is none or it has expired.
std::string_view grant_for(const address_book& book, const endpoint& entry,
                           boot_time now);

// Moves an entry that can't be used to the end of the list, so that the next
// request starts with another.
void move_to_end(address_book& book, const endpoint& entry);

// The endpoints to ask for addresses, in order: the cached entries, then the
// rest of the bootstrap list.
std::vector<endpoint> address_sources(const address_book& book);

} // namespace bulrushspring::client

#endif
