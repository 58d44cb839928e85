#include "record.hpp"

#include "sockets.hpp"
#include <cstdio>
#include <mutex>

namespace review
{

namespace
{

std::mutex record_mutex;
std::FILE* record_file = nullptr;

} // namespace

void open_record(const std::string& path)
{
    const std::lock_guard<std::mutex> lock(record_mutex);
    record_file = std::fopen(path.c_str(), "w");
}

void record(const std::string& line)
{
    const std::int64_t now = now_ms();
    const std::lock_guard<std::mutex> lock(record_mutex);
    if (record_file == nullptr)
        return;
    std::fprintf(record_file, "%7lld %s\n", static_cast<long long>(now),
                 line.c_str());
    std::fflush(record_file);
}

} // namespace review
