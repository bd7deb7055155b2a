#include "libraries/client/address_book.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::client
{

bool addresses_valid(const address_book& book, boot_time now)
{
    return !book.entries.empty() && now < book.expires;
}

void accept(address_book& book, const endpoint& from,
            const address_answer& answer, boot_time asked)
{
    if (!answer.grant.empty()) {
        store_grant(book, from, answer.grant, asked + answer.grant_validity);
    }
    book.entries.clear();
    for (const auto& entry : answer.entries) {
        book.entries.push_back(entry.caller);
    }
    book.expires = asked + answer.validity;
}

void store_grant(address_book& book, const endpoint& from, std::string grant,
                 boot_time expires)
{
    auto& grants = book.grants;
    if (grants.size() >= max_grants && grants.count(from) == 0) {
        const auto first_to_expire = std::min_element(
            grants.begin(), grants.end(), [](const auto& a, const auto& b) {
                return a.second.expires < b.second.expires;
            });
        grants.erase(first_to_expire);
    }
    grants[from] = {std::move(grant), expires};
}

std::string_view grant_for(const address_book& book, const endpoint& entry,
                           boot_time now)
{
    const auto found = book.grants.find(entry);
    if (found == book.grants.end() || found->second.expires <= now) {
        return {};
    }
    return found->second.text;
}

void move_to_end(address_book& book, const endpoint& entry)
{
    const auto found =
        std::find(book.entries.begin(), book.entries.end(), entry);
    if (found != book.entries.end()) {
        std::rotate(found, found + 1, book.entries.end());
    }
}

std::vector<endpoint> address_sources(const address_book& book)
{
    auto asked = book.entries;
    for (const auto& entry : book.bootstrap) {
        if (std::find(asked.begin(), asked.end(), entry) == asked.end()) {
            asked.push_back(entry);
        }
    }
    return asked;
}

} // namespace bulrushspring::client
