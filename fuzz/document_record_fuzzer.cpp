#include "configuration/record/document_record.hpp"
#include "fuzz_input.hpp"

using namespace hibiscusferry;

namespace
{

void check_record(const std::string& text)
{
    const result<document_record> parsed = document_record::parse(text);
    if (!parsed)
        return;
    const result<document_record> reparsed =
        document_record::parse(parsed.value().row_text());
    require(reparsed && reparsed.value().service == parsed.value().service &&
                reparsed.value().version == parsed.value().version &&
                reparsed.value().change_id == parsed.value().change_id &&
                reparsed.value().author == parsed.value().author &&
                reparsed.value().text == parsed.value().text,
            "a document record is unchanged after a round trip");
}

void check_index(const std::string& text)
{
    const result<document_index> parsed = document_index::parse(text);
    if (!parsed)
        return;
    const result<document_index> reparsed =
        document_index::parse(parsed.value().row_text());
    require(reparsed && reparsed.value().revision == parsed.value().revision &&
                reparsed.value().versions == parsed.value().versions,
            "a document index is unchanged after a round trip");
}

} // namespace

/** Fuzzes the parsers of document rows and of the index row. A parsed value
   must be unchanged after serialization and parsing. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text = input_text(data, size);
    check_record(text);
    check_index(text);
    return 0;
}
