#include "claims/record/claim_record.hpp"
#include "fuzz_input.hpp"

using namespace hibiscusferry;

/** Payloads of claims' rows: what is read is written and read again
    unchanged, and its keys can be made. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<claim_record> read =
        claim_record::parse(input_text(data, size));
    if (!read)
        return 0;
    const std::string text = read.value().text();
    const result<claim_record> again = claim_record::parse(text);
    require(again.has_value(), "a record reads what it wrote");
    require(again.value().text() == text, "a record reads back unchanged");
    require(again.value().open_claim_key() == read.value().open_claim_key() &&
                again.value().unresolved_key() == read.value().unresolved_key(),
            "a record keeps its keys");
    return 0;
}
