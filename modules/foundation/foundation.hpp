/** @file
    The foundation module: basic facilities used by every other module.

    Contains results and errors, time and clocks, identifiers and stable
    hashes, the numbered events and their journal, metrics, and the
    micro-kernel through which services find each other by name. The module
    depends on no other module.
*/
#ifndef HIBISCUSFERRY_FOUNDATION_FOUNDATION_HPP
#define HIBISCUSFERRY_FOUNDATION_FOUNDATION_HPP

#include "foundation/events/event_catalogue.hpp"
#include "foundation/events/event_journal.hpp"
#include "foundation/events/log_writer.hpp"
#include "foundation/identity/identifier.hpp"
#include "foundation/identity/stable_hash.hpp"
#include "foundation/kernel/kernel.hpp"
#include "foundation/metrics/metrics_registry.hpp"
#include "foundation/result/result.hpp"
#include "foundation/time/clock.hpp"
#include "foundation/time/hybrid_logical_clock.hpp"

#endif
