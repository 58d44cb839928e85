#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusferry;

namespace
{

using shared_routes = std::vector<std::shared_ptr<const route>>;

std::shared_ptr<const route> make_route(const std::string& prefix)
{
    route result;
    result.host = "shop.example";
    result.prefix = prefix;
    return std::make_shared<const route>(result);
}

std::vector<const route*> pointers_to(const shared_routes& routes)
{
    std::vector<const route*> pointers;
    for (const std::shared_ptr<const route>& entry : routes)
        pointers.push_back(entry.get());
    return pointers;
}

/** The first of the longest matching routes, found one by one. */
const route* find_linearly(const shared_routes& routes, std::string_view path)
{
    const route* longest = nullptr;
    for (const std::shared_ptr<const route>& entry : routes)
    {
        const bool is_match =
            path.substr(0, entry->prefix.size()) == entry->prefix;
        if (is_match && (longest == nullptr ||
                         entry->prefix.size() > longest->prefix.size()))
            longest = entry.get();
    }
    return longest;
}

/** Texts of few characters, many of which begin with each other. */
rc::Gen<std::string> any_path()
{
    return rc::gen::map(
        rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab/"))),
        [](const std::string& text) { return "/" + text.substr(0, 8); });
}

rc::Gen<shared_routes> any_routes()
{
    return rc::gen::map(
        rc::gen::container<std::vector<std::string>>(any_path()),
        [](const std::vector<std::string>& prefixes)
        {
            shared_routes routes;
            for (const std::string& prefix : prefixes)
                routes.push_back(make_route(prefix));
            return routes;
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_index_test)

BOOST_AUTO_TEST_CASE(an_index_finds_what_a_linear_search_finds)
{
    BOOST_TEST(rc::check("the longest prefix is found",
                         []
                         {
                             const shared_routes routes = *any_routes();
                             const prefix_index index(pointers_to(routes));
                             const std::string path = *any_path();
                             RC_ASSERT(index.find(path) ==
                                       find_linearly(routes, path));
                         }));
}

BOOST_AUTO_TEST_CASE(a_changed_index_is_like_a_new_one)
{
    BOOST_TEST(rc::check(
        "routes are removed and added",
        []
        {
            shared_routes routes = *any_routes();
            const prefix_index former(pointers_to(routes));
            shared_routes removed;
            shared_routes kept;
            for (const std::shared_ptr<const route>& entry : routes)
                (*rc::gen::arbitrary<bool>() ? removed : kept).push_back(entry);
            const shared_routes added = *any_routes();
            const std::optional<prefix_index> changed =
                former.changed(pointers_to(removed), pointers_to(added));
            kept.insert(kept.end(), added.begin(), added.end());
            const std::string path = *any_path();
            RC_ASSERT(!changed ||
                      changed->find(path) == find_linearly(kept, path));
        }));
}

BOOST_AUTO_TEST_CASE(equal_prefixes_need_a_new_index)
{
    const std::shared_ptr<const route> first = make_route("/a/");
    const std::shared_ptr<const route> second = make_route("/a/");
    const prefix_index index({first.get()});
    BOOST_TEST(!index.changed({}, {second.get()}).has_value());
    BOOST_TEST(!prefix_index({first.get(), second.get()})
                    .changed({first.get()}, {})
                    .has_value());
    BOOST_TEST((prefix_index({first.get(), second.get()}).find("/a/b") ==
                first.get()));
}

BOOST_AUTO_TEST_CASE(a_table_made_from_the_version_before_is_like_a_new_one)
{
    BOOST_TEST(rc::check(
        "tables of two versions find the same",
        []
        {
            fleet_configuration former;
            former.routes = *any_routes();
            fleet_configuration current;
            for (const std::shared_ptr<const route>& entry : former.routes)
            {
                if (*rc::gen::inRange(0, 5) > 0)
                    current.routes.push_back(entry);
                if (*rc::gen::inRange(0, 5) == 0)
                    current.routes.push_back(make_route(*any_path()));
            }
            const route_table former_table(former);
            const route_table from_former(current, &former_table);
            const std::string path = *any_path();
            RC_ASSERT(from_former.find("shop.example", path) ==
                      route_table(current).find("shop.example", path));
        }));
}

BOOST_AUTO_TEST_SUITE_END()
