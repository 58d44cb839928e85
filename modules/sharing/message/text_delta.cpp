#include "sharing/message/text_delta.hpp"

#define XXH_INLINE_ALL
#include <memory>
#include <xxhash.h>
#include <zstd.h>

namespace hibiscusferry
{

namespace
{

/** Higher levels take several times the processor time for rows that are hardly
    smaller. */
constexpr int compression_level = 1;
constexpr int min_window_log = 10;
/** Logarithm of the bytes of the window for each entry of the hash table. With
    fewer entries, parts of a large base are not found again. */
constexpr int hash_to_window_log = 3;
/** Windows of up to 32 MB, so that two of the largest rows fit. */
constexpr int max_window_log = 25;

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/** The smallest window from whose end its beginning can be referred to. */
int window_log_of(std::size_t bytes)
{
    int window_log = min_window_log;
    while (window_log < max_window_log &&
           (std::size_t{1} << window_log) < bytes)
        ++window_log;
    return window_log;
}

} // namespace

std::uint64_t text_digest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

result<std::string> encode_text_delta(std::string_view text,
                                      std::string_view base)
{
    const compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const int window_log = window_log_of(text.size() + base.size());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                           compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_hashLog,
                           window_log - hash_to_window_log);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    const std::size_t size = ZSTD_compress2(
        context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0)
        return std::make_error_code(std::errc::not_enough_memory);
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

result<std::string> decode_text_delta(std::string_view bytes,
                                      std::string_view base,
                                      std::size_t max_bytes)
{
    const unsigned long long size =
        ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    const bool is_size_known =
        size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
    if (!is_size_known || size > max_bytes)
        return std::make_error_code(std::errc::bad_message);
    const decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    std::string text(static_cast<std::size_t>(size), '\0');
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    const std::size_t written = ZSTD_decompressDCtx(
        context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != text.size())
        return std::make_error_code(std::errc::bad_message);
    return text;
}

} // namespace hibiscusferry
