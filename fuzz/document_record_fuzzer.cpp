#include "configuration/record/document_record.hpp"
#include "fuzz_input.hpp"

using namespace hibiscusferry;

namespace
{

void check_record(const std::string& text)
{
    const result<document_record> read = document_record::parse(text);
    if (!read)
        return;
    const result<document_record> again =
        document_record::parse(read.value().row_text());
    require(again && again.value().service == read.value().service &&
                again.value().version == read.value().version &&
                again.value().change_id == read.value().change_id &&
                again.value().author == read.value().author &&
                again.value().text == read.value().text,
            "a document record reads back what it wrote");
}

void check_index(const std::string& text)
{
    const result<document_index> read = document_index::parse(text);
    if (!read)
        return;
    const result<document_index> again =
        document_index::parse(read.value().row_text());
    require(again && again.value().revision == read.value().revision &&
                again.value().versions == read.value().versions,
            "a document index reads back what it wrote");
}

} // namespace

/** Payloads of the documents' rows and of the index row: what is read is
    written and read again unchanged. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text = input_text(data, size);
    check_record(text);
    check_index(text);
    return 0;
}
