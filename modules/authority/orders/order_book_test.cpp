#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const order_intent to_prefill{order_action::set_role, "prefill"};
const order_intent to_decode{order_action::set_role, "decode"};

/** A table that contains the fence row of successive lease holders. */
struct order_fixture
{
    order_book make_book(const std::string& host, std::uint64_t number,
                         order_check check = order_check::fencing)
    {
        const lease_record record{{host, "1"}, number, seconds(6), "fence"};
        const row_version version =
            table.commit({"f", {}, {{fence_key("r", "s"), record.text()}}})
                .version;
        order_settings settings;
        settings.service = "s";
        settings.region = "r";
        settings.self = {host, "1"};
        settings.check = check;
        return {settings, number, version, identifiers, now};
    }

    /** Performs all requested store operations and returns the remaining
        actions. */
    order_actions perform(order_book& book, order_actions actions)
    {
        order_actions rest;
        while (true)
        {
            for (const send_order& order : actions.sends)
                rest.sends.push_back(order);
            for (const std::string& target : actions.drains)
                rest.drains.push_back(target);
            for (const order_record& order : actions.settled)
                rest.settled.push_back(order);
            if (actions.scan)
            {
                actions = book.scan_finished(table.scan(actions.scan->prefix,
                                                        actions.scan->after,
                                                        actions.scan->limit),
                                             now);
                continue;
            }
            if (actions.commits.empty())
                return rest;
            const table_transaction commit = actions.commits.front();
            actions = book.commit_finished(commit.write_id,
                                           table.commit(commit), now);
        }
    }

    order_actions tick(order_book& book, milliseconds step)
    {
        now += step;
        return perform(book, book.tick(now));
    }

    /** Makes the book ready and requests one order, which is drained and
        sent. */
    send_order send_first_order(order_book& book, const order_intent& intent)
    {
        tick(book, milliseconds(50));
        book.fence_raised("t1");
        perform(book, book.request("t1", intent, now).value());
        return perform(book, book.drained("t1", now)).sends.at(0);
    }

    order_state row_state()
    {
        return order_record::parse(table.read("orders/s/t1").value().value)
            .value()
            .state;
    }

    memory_table table;
    identifier_source identifiers{7};
    time_point now;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(order_book_test, order_fixture)

BOOST_AUTO_TEST_CASE(an_order_is_stored_before_its_drain_and_sent_after_it)
{
    order_book book = make_book("a", 1);
    tick(book, milliseconds(50));
    book.fence_raised("t1");
    const order_actions requested =
        perform(book, book.request("t1", to_prefill, now).value());
    BOOST_TEST(requested.drains.size() == 1U);
    BOOST_TEST(requested.sends.empty());
    BOOST_TEST((row_state() == order_state::intended));

    const order_actions after = perform(book, book.drained("t1", now));
    BOOST_TEST(after.sends.size() == 1U);
    BOOST_TEST((row_state() == order_state::sent));
    const order_actions done =
        perform(book, book.response_received("t1", after.sends.at(0).order_id,
                                             order_response::done, now));
    BOOST_TEST(done.settled.size() == 1U);
    BOOST_TEST((row_state() == order_state::done));
}

BOOST_AUTO_TEST_CASE(a_conflicting_order_is_refused_until_the_first_is_settled)
{
    order_book book = make_book("a", 1);
    const send_order first = send_first_order(book, to_prefill);
    BOOST_TEST(book.request("t1", to_prefill, now).value().commits.empty());
    BOOST_TEST((book.request("t1", to_decode, now).error() ==
                authority_error::order_outstanding));
    perform(book, book.response_received("t1", first.order_id,
                                         order_response::done, now));
    BOOST_TEST(book.request("t1", to_decode, now).has_value());
}

BOOST_AUTO_TEST_CASE(a_replaced_holder_cannot_mark_a_row_as_sent)
{
    order_book old_book = make_book("a", 1);
    tick(old_book, milliseconds(50));
    old_book.fence_raised("t1");
    perform(old_book, old_book.request("t1", to_prefill, now).value());
    order_book new_book = make_book("b", 2);
    const order_actions late = perform(old_book, old_book.drained("t1", now));
    BOOST_TEST(late.sends.empty());
    BOOST_TEST(old_book.is_superseded());
    // The new holder resumes the order from the row.
    BOOST_TEST(tick(new_book, milliseconds(50)).drains.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_holder_repeats_the_same_order_after_a_new_drain)
{
    order_book old_book = make_book("a", 1);
    const send_order first = send_first_order(old_book, to_prefill);
    order_book new_book = make_book("b", 2);
    BOOST_TEST(tick(new_book, milliseconds(50)).drains.size() == 1U);
    BOOST_TEST(perform(new_book, new_book.drained("t1", now)).sends.empty());
    new_book.fence_raised("t1");
    const order_actions repeated = tick(new_book, milliseconds(50));
    BOOST_REQUIRE(repeated.sends.size() == 1U);
    BOOST_TEST(repeated.sends.at(0).order_id == first.order_id);
    BOOST_TEST(repeated.sends.at(0).fencing_number == 2U);
}

BOOST_AUTO_TEST_CASE(without_fencing_a_former_sender_blocks_other_orders)
{
    order_book old_book = make_book("a", 1, order_check::none);
    const send_order first = send_first_order(old_book, to_prefill);
    order_book new_book = make_book("b", 2, order_check::none);
    tick(new_book, milliseconds(50));
    perform(new_book, new_book.drained("t1", now));
    perform(new_book, new_book.response_received("t1", first.order_id,
                                                 order_response::done, now));
    BOOST_TEST((new_book.request("t1", to_decode, now).error() ==
                authority_error::former_sender_may_send));
    BOOST_TEST(new_book.unsettled(now).at(0).reason ==
               "former_sender_may_send");

    // The former holder removes itself from the row's senders.
    perform(old_book, old_book.retire(now));
    BOOST_TEST(!old_book.is_retired());
    perform(old_book, old_book.response_received(
                          "t1", first.order_id, order_response::not_sent, now));
    BOOST_TEST(old_book.is_retired());
    tick(new_book, seconds(6));
    BOOST_TEST(new_book.request("t1", to_decode, now).has_value());
}

BOOST_AUTO_TEST_CASE(a_terminated_former_sender_blocks_nothing)
{
    order_book old_book = make_book("a", 1, order_check::none);
    const send_order first = send_first_order(old_book, to_prefill);
    order_book new_book = make_book("b", 2, order_check::none);
    tick(new_book, milliseconds(50));
    perform(new_book, new_book.drained("t1", now));
    perform(new_book, new_book.response_received("t1", first.order_id,
                                                 order_response::done, now));
    new_book.sender_terminated({"a", "1"});
    BOOST_TEST(new_book.request("t1", to_decode, now).has_value());
}

BOOST_AUTO_TEST_CASE(no_more_engines_are_unavailable_than_allowed)
{
    order_book book = make_book("a", 1);
    send_first_order(book, to_prefill);
    book.fence_raised("t2");
    BOOST_TEST((book.request("t2", to_prefill, now).error() ==
                authority_error::too_many_unavailable));
    perform(book, book.response_received("t1", book.orders().at(0).order_id,
                                         order_response::done, now));
    book.set_available("t3", false);
    BOOST_TEST((book.request("t2", to_prefill, now).error() ==
                authority_error::too_many_unavailable));
    book.set_available("t3", true);
    BOOST_TEST(book.request("t2", to_prefill, now).has_value());
}

BOOST_AUTO_TEST_CASE(loads_are_paced_and_failures_backed_off)
{
    order_book book = make_book("a", 1);
    tick(book, milliseconds(50));
    book.fence_raised("t1");
    const order_intent load{order_action::load_adapter, "levy@2"};
    BOOST_TEST(
        (book.request("t1", load, now).error() == authority_error::paced));
    // The rate is twelve loads a minute, or one every five seconds.
    tick(book, seconds(5));
    const order_actions sends =
        perform(book, book.request("t1", load, now).value());
    perform(book, book.response_received("t1", sends.sends.at(0).order_id,
                                         order_response::failed, now));
    tick(book, seconds(25));
    BOOST_TEST(
        (book.request("t1", load, now).error() == authority_error::paced));
    tick(book, seconds(6));
    BOOST_TEST(book.request("t1", load, now).has_value());
}

BOOST_AUTO_TEST_CASE(an_order_whose_drain_never_completes_is_abandoned)
{
    order_book book = make_book("a", 1);
    tick(book, milliseconds(50));
    book.fence_raised("t1");
    perform(book, book.request("t1", to_prefill, now).value());
    tick(book, seconds(119));
    BOOST_TEST((row_state() == order_state::intended));
    tick(book, seconds(2));
    BOOST_TEST((row_state() == order_state::abandoned));
}

BOOST_AUTO_TEST_CASE(an_unparsable_row_blocks_its_target)
{
    table.commit({"w", {}, {{"orders/s/t1", "not a record"}}});
    order_book book = make_book("a", 1);
    tick(book, milliseconds(50));
    book.fence_raised("t1");
    BOOST_TEST((book.request("t1", to_prefill, now).error() ==
                authority_error::order_outstanding));
    BOOST_TEST(book.unsettled(now).at(0).reason == "unreadable_row");
}

BOOST_AUTO_TEST_SUITE_END()
