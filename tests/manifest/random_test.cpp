#include "libraries/manifest/vm_changes.hpp"
#include "tests/manifest/sections.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;
using namespace bulrushspring::manifest;
using namespace bulrushspring::manifest::test;

namespace
{

// Checks the invariants of an accepted manifest, whatever its source text.
void require_valid(const bulrushspring::manifest::manifest& value)
{
    const auto& entries = value.entries;
    for (const auto& [name, service] : value.services) {
        RC_ASSERT(value.pools.contains(service.pool));
        RC_ASSERT(service.deadline > milliseconds{0});
    }
    for (const auto& [name, pool] : value.pools) {
        RC_ASSERT(pool.connections >= entries.vms.size() + entries.spare_vms);
        std::vector<bool> held;
        for (const auto& one : pool.snapshots) {
            if (one.id == pool.served_snapshot) {
                held.resize(one.shards);
            }
        }
        RC_ASSERT(!held.empty());
        for (const auto& leaf : pool.leafs) {
            for (const auto& one : leaf.holdings) {
                if (one.snapshot == pool.served_snapshot && !leaf.leaving) {
                    held.at(one.shard) = true;
                }
            }
        }
        RC_ASSERT(std::count(held.begin(), held.end(), false) == 0);
    }
}

// Truncates the text, or deletes, overwrites or duplicates a part of it, like
// an incomplete write, a transmission error or a careless edit.
std::string damaged(std::string text)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length =
        std::min(*rc::gen::inRange<std::size_t>(0, 40), text.size() - at);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return text.substr(0, at);
    case 1:
        return text.erase(at, length);
    case 2:
        return text.replace(at, length, *rc::gen::arbitrary<std::string>());
    default:
        return text.insert(at, text.substr(at / 2, length));
    }
}

vm_list arbitrary_list()
{
    vm_list list;
    for (char name = 'a'; name <= 'h'; ++name) {
        const auto state = *rc::gen::inRange(0, 3);
        if (state < 2) {
            (state == 0 ? list.live : list.leaving).emplace_back(1, name);
        }
    }
    return list;
}

} // namespace

RC_BOOST_PROP(random_bytes_are_refused_with_an_error, ())
{
    const auto text = *rc::gen::arbitrary<std::string>();
    for (const char* name : {"fleet", "pool.p", "service.s"}) {
        const auto parsed = parse_section(name, text);
        RC_ASSERT(!parsed.has_value());
        RC_ASSERT(!parsed.error().empty());
    }
    RC_ASSERT(!parse_index(text).has_value());
}

RC_BOOST_PROP(a_truncated_index_is_refused, ())
{
    const auto whole = pack_index(3, read_example("yearbook"));
    // Without its final newline the index is still complete.
    const auto length = *rc::gen::inRange<std::size_t>(0, whole.size() - 1);
    RC_ASSERT(!parse_index(whole.substr(0, length)).has_value());
}

RC_BOOST_PROP(a_damaged_manifest_is_refused_or_valid, ())
{
    static const auto good = read_example("yearbook");
    auto sections = good;
    const auto damage_count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < damage_count; ++i) {
        auto& one =
            sections[*rc::gen::inRange<std::size_t>(0, sections.size())];
        if (!one.content.empty()) {
            one.content = damaged(one.content);
        }
    }
    const auto checked = check(sections);
    if (checked) {
        require_valid(checked.value());
    } else {
        RC_ASSERT(!checked.error().empty());
    }
}

RC_BOOST_PROP(changes_turn_one_list_into_the_other, ())
{
    const auto before = arbitrary_list();
    const auto after = arbitrary_list();
    const auto changes = difference(before, after);
    const auto read = parse_vm_changes(to_text(changes));
    RC_ASSERT(read.has_value());
    RC_ASSERT(apply(before, read.value()) == after);
    RC_ASSERT(changes.empty() == (before == after));
    RC_ASSERT(parse_vms(to_text(after)).value() == after);
}

BOOST_AUTO_TEST_CASE(a_list_has_one_canonical_text)
{
    const auto first = parse_vms("[vm b]\nstate = leaving\n[vm a]\nstate=live");
    const auto second =
        parse_vms("; a comment\n[vm a]\nstate = live\n[vm b]\nstate=leaving\n");
    BOOST_TEST(to_text(first.value()) == to_text(second.value()));
    for (const char* invalid :
         {"[vm a]\n", "[vm a]\nstate = gone\n", "[leaf a]\nstate = live\n",
          "[vm a", "a\n", "[vm a]\nstate=live\n[vm a]\nstate=live\n",
          "[vm a]\nstate=live\nsince=1\n"}) {
        BOOST_TEST(!parse_vms(invalid).has_value(), invalid);
    }
}
