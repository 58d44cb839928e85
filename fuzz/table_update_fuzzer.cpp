#include "fuzz_input.hpp"
#include "sharing/replication/fleet_replicas.hpp"

using namespace hibiscusferry;

/** Fuzzes the decoder of table updates, which must be unchanged after encoding
    and decoding. Replicas apply them whatever they hold. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<std::vector<table_update>> decoded =
        decode_updates(input_text(data, size));
    if (!decoded)
        return 0;
    const time_point now{std::chrono::hours(1000)};
    fleet_replicas replicas([](const table_row& row)
                            { return stable_hash(row.value); });
    for (table_update update : decoded.value())
    {
        if (!replicas.restore_rows(update))
            continue;
        table_replica& replica = replicas.replica(update.table);
        if (update.is_snapshot)
            replica.replace(update.changes);
        else
            replica.apply(update.changes);
        replicas.mark_current(update.table, now - update.age);
        require(replicas.age(update.table, now).count() >= 0,
                "no replica is newer than now");
    }
    const std::string bytes = encode_updates(decoded.value());
    const result<std::vector<table_update>> again = decode_updates(bytes);
    require(again && again.value().size() == decoded.value().size() &&
                encode_updates(again.value()) == bytes,
            "updates are unchanged after a round trip");
    return 0;
}
