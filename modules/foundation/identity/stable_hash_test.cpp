#include "foundation/foundation.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(stable_hash_test)

BOOST_AUTO_TEST_CASE(sha256_matches_published_test_vector)
{
    BOOST_TEST(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                                    "b00361a396177a9cb410ff61f20015ad");
}

// An uneven distribution would overload single hosts. Each of the 8 nodes must
// own its even share of the keys, within 20 %.
BOOST_AUTO_TEST_CASE(rendezvous_hashing_distributes_keys_evenly)
{
    constexpr std::size_t nodes = 8;
    constexpr std::size_t keys = 8000;
    std::array<std::size_t, nodes> owned{};
    for (std::size_t key = 0; key < keys; ++key)
    {
        std::size_t best = 0;
        std::uint64_t best_weight = 0;
        for (std::size_t node = 0; node < nodes; ++node)
        {
            const std::uint64_t weight =
                rendezvous_weight(stable_hash("key-" + std::to_string(key)),
                                  stable_hash("node-" + std::to_string(node)));
            if (weight >= best_weight)
            {
                best = node;
                best_weight = weight;
            }
        }
        ++owned[best];
    }
    for (const std::size_t count : owned)
    {
        BOOST_TEST(count > keys / nodes * 4 / 5);
        BOOST_TEST(count < keys / nodes * 6 / 5);
    }
}

BOOST_AUTO_TEST_CASE(identifiers_repeat_only_with_equal_seeds)
{
    identifier_source first(7);
    identifier_source second(7);
    BOOST_TEST(first.next() == second.next());
    BOOST_TEST(first.next() != first.next());
    BOOST_TEST(identifier_source().next() != identifier_source().next());
}

BOOST_AUTO_TEST_SUITE_END()
