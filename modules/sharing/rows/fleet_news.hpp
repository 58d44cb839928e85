#ifndef HIBISCUSFERRY_SHARING_ROWS_FLEET_NEWS_HPP
#define HIBISCUSFERRY_SHARING_ROWS_FLEET_NEWS_HPP

#include "foundation/foundation.hpp"
#include "sharing/rows/row_mirror.hpp"
#include <array>
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The tables that every host follows. */
enum class news_table
{
    configuration,
    targets,
    hosts
};

constexpr std::size_t news_tables = 3;

constexpr std::array<news_table, news_tables> all_news_tables{
    news_table::configuration, news_table::targets, news_table::hosts};

/** "configuration", "targets" or "hosts". */
std::string_view to_text(news_table table);

/** How far a host has read a table. */
struct news_mark
{
    /** It knows all changes up to this version; 0 if it never read it. */
    row_version as_of = 0;
    /** row_mirror::digest() of its copy. */
    std::uint64_t digest = 0;
    /** How long ago that was the newest state. */
    std::chrono::milliseconds age{0};
};

using news_marks = std::array<news_mark, news_tables>;

/** What a host tells another one of a table. */
struct table_news
{
    news_table table = news_table::configuration;
    /** `changes` holds the whole table. */
    bool is_whole = false;
    table_changes changes;
    /** row_mirror::digest() of the teller's copy. */
    std::uint64_t digest = 0;
    std::chrono::milliseconds age{0};
};

/** The form in which news pass between hosts: CBOR. */
std::string encode_news(const std::vector<table_news>& news);

/** std::errc::bad_message if the bytes are not of that form. */
result<std::vector<table_news>> decode_news(const std::string& bytes);

/** A host's copies of the tables that all hosts follow, and how old they
    are. */
class fleet_news
{
public:
    /** @param meaning_of_target  a hash of what the row of a target means */
    explicit fleet_news(row_mirror::meaning meaning_of_target);

    row_mirror& mirror(news_table table);
    const row_mirror& mirror(news_table table) const;

    /** The copy was the newest state at that time. */
    void set_current(news_table table, time_point at);

    /** Time since the copy was last known to be the newest state; longer than
        any limit if it never was. */
    std::chrono::milliseconds age(news_table table, time_point now) const;

    news_marks marks(time_point now) const;

    /** What a host that knows the tables up to these versions has to be
        told. */
    std::vector<table_news>
    since(const std::array<row_version, news_tables>& known,
          time_point now) const;

private:
    struct followed_table
    {
        row_mirror mirror;
        std::optional<time_point> current_at;
    };

    std::array<followed_table, news_tables> tables_;
};

} // namespace hibiscusferry

#endif
