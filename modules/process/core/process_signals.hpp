#ifndef HIBISCUSFERRY_PROCESS_CORE_PROCESS_SIGNALS_HPP
#define HIBISCUSFERRY_PROCESS_CORE_PROCESS_SIGNALS_HPP

#include <initializer_list>

namespace hibiscusferry
{

/** Blocks signals, so that they wait until they are unblocked. Their default
    action would end the process while no handler is installed: before the event
    loop runs, and after it has ended. */
void block_signals(std::initializer_list<int> signals);

/** Delivers signals that have waited, and those that follow. To be called when
    their handler is installed. */
void unblock_signals(std::initializer_list<int> signals);

} // namespace hibiscusferry

#endif
