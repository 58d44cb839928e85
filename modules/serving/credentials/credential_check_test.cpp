#include "serving/serving.hpp"
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

namespace hibiscusferry
{

namespace
{

using std::chrono::milliseconds;

constexpr credential_bounds bounds{milliseconds(5000), milliseconds(3000)};

time_point at(std::int64_t milliseconds_since_start)
{
    return time_point(std::chrono::hours(1)) +
           milliseconds(milliseconds_since_start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(credential_check_tests)

// Guards against a host without contact that serves a key after the bound, and
// against one that refuses its callers earlier than it has to.
BOOST_AUTO_TEST_CASE(known_key_is_accepted_until_the_bound_and_no_longer)
{
    BOOST_TEST((check_credentials(true, at(0), at(5000), bounds) ==
                credential_result::accepted));
    BOOST_TEST((check_credentials(true, at(0), at(5001), bounds) ==
                credential_result::unverified));
    BOOST_TEST((check_credentials(true, std::nullopt, at(0), bounds) ==
                credential_result::unverified));
}

// Guards against the final refusal of a key that was just added.
BOOST_AUTO_TEST_CASE(unknown_key_is_final_only_with_a_recent_configuration)
{
    BOOST_TEST((check_credentials(false, at(0), at(3000), bounds) ==
                credential_result::unknown));
    BOOST_TEST((check_credentials(false, at(0), at(3001), bounds) ==
                credential_result::unverified));
    const credential_bounds lenient{std::nullopt, milliseconds(3000)};
    BOOST_TEST((check_credentials(false, at(0), at(3001), lenient) ==
                credential_result::unverified));
    BOOST_TEST((check_credentials(true, std::nullopt, at(0), lenient) ==
                credential_result::accepted));
}

BOOST_AUTO_TEST_CASE(host_leaves_rotation_before_it_refuses)
{
    BOOST_TEST(!will_be_unverified(at(0), at(3500), bounds));
    BOOST_TEST(will_be_unverified(at(0), at(3501), bounds));
    BOOST_TEST(!will_be_unverified(std::nullopt, at(0),
                                   {std::nullopt, milliseconds(3000)}));
}

// Guards against a key that is accepted after its revocation at the end of a
// chain of relays, each of which may be cut off or frozen at any moment. The
// age is passed along the chain; at a paused host it goes on growing.
BOOST_AUTO_TEST_CASE(revoked_keys_stop_in_time_through_any_chain_of_relays)
{
    BOOST_TEST(rc::check(
        [](const std::vector<unsigned char>& pauses, std::uint16_t revoked)
        {
            // Host 0 reads the store; each host fetches from the one before.
            constexpr std::size_t hosts = 4;
            const std::int64_t revoked_at = revoked % 8000;
            std::optional<std::int64_t> confirmed[hosts];
            bool knows_revocation[hosts] = {};
            std::int64_t now = 0;
            std::size_t turn = 0;
            for (const unsigned char pause : pauses)
            {
                now += std::int64_t{pause} * 20;
                const std::size_t host = turn++ % hosts;
                const bool is_cut = pause % 3 == 0;
                if (!is_cut && host == 0)
                {
                    confirmed[0] = now;
                    knows_revocation[0] = now >= revoked_at;
                }
                else if (!is_cut && confirmed[host - 1])
                {
                    confirmed[host] = confirmed[host - 1];
                    knows_revocation[host] = knows_revocation[host - 1];
                }
                for (std::size_t server = 0; server < hosts; ++server)
                {
                    const std::optional<time_point> confirmed_at =
                        confirmed[server]
                            ? std::optional(at(*confirmed[server]))
                            : std::nullopt;
                    const credential_result verdict =
                        check_credentials(!knows_revocation[server],
                                          confirmed_at, at(now), bounds);
                    if (now > revoked_at + 5000)
                        RC_ASSERT(verdict != credential_result::accepted);
                    const bool is_recent =
                        confirmed[server] && now - *confirmed[server] <= 5000;
                    if (is_recent && !knows_revocation[server])
                        RC_ASSERT(verdict == credential_result::accepted);
                }
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hibiscusferry
