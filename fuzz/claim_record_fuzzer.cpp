#include "claims/record/claim_record.hpp"
#include "fuzz_input.hpp"

using namespace hibiscusferry;

/** Fuzzes the parser of claim records. A parsed record must be unchanged after
    serialization and parsing, and so must its storage keys. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<claim_record> parsed =
        claim_record::parse(input_text(data, size));
    if (!parsed)
        return 0;
    const std::string text = parsed.value().text();
    const result<claim_record> reparsed = claim_record::parse(text);
    require(reparsed.has_value(), "a serialized claim record can be parsed");
    require(reparsed.value().text() == text,
            "a claim record is unchanged after a round trip");
    require(reparsed.value().open_claim_key() ==
                    parsed.value().open_claim_key() &&
                reparsed.value().unresolved_key() ==
                    parsed.value().unresolved_key(),
            "the keys of a claim record are unchanged after a round trip");
    return 0;
}
