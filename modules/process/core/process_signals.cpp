#include "process/core/process_signals.hpp"

#include <csignal>

namespace hibiscusferry
{

namespace
{

void change_mask(int operation, std::initializer_list<int> signals)
{
    sigset_t mask;
    sigemptyset(&mask);
    for (const int signal : signals)
        sigaddset(&mask, signal);
    ::pthread_sigmask(operation, &mask, nullptr);
}

} // namespace

void block_signals(std::initializer_list<int> signals)
{
    change_mask(SIG_BLOCK, signals);
}

void unblock_signals(std::initializer_list<int> signals)
{
    change_mask(SIG_UNBLOCK, signals);
}

} // namespace hibiscusferry
