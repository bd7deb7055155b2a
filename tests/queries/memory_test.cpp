#include "tests/queries/simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

// Ten shards, of which the last is not reached. The answers of the others are
// charged to an account.
struct memory_fixture {
    memory::account account;
    simulation simulated{make_shared_manifest(make_manifest({}))};

    memory_fixture()
    {
        for (std::uint32_t replica = 0; replica < 3; ++replica) {
            simulated.leafs[leaf_name(9, replica)].mode = behaviour::silent;
        }
        simulated.intercept_answer = [this](const send_to_leaf&,
                                            leaf_answer& answer) {
            answer.held = memory::charge(&account, answer.body.size());
            return true;
        };
    }

    std::vector<memory::candidate> candidates() const
    {
        std::vector<memory::candidate> all;
        queries::list_candidates(simulated.queries, all, 7);
        return all;
    }
};

} // namespace

// The lines that queries keep of their leafs' answers were not counted, and
// could not be dropped.
BOOST_FIXTURE_TEST_CASE(a_query_is_charged_for_its_lines, memory_fixture)
{
    simulated.begin_query(1);
    simulated.run_for(milliseconds{100});
    const auto found = candidates();
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    BOOST_TEST(found[0].bytes >= 9 * line_of("request-1", 17, 0).size());
    BOOST_TEST(found[0].bytes == account.reserved);
    BOOST_TEST(found[0].holder == 7U);

    simulated.deliver(queries_dropped{{caller_token{found[0].id}}});
    BOOST_REQUIRE_EQUAL(simulated.answers[1].size(), 1U);
    const auto& answer = simulated.answers[1].front();
    BOOST_TEST((answer.status == answer_status::partial));
    BOOST_TEST(answer.missing.size() == 1U);
    BOOST_TEST(candidates().empty());
    BOOST_TEST(account.reserved == 0U);
}
