#ifndef HIBISCUSFERRY_ADMISSION_COST_REQUEST_COST_HPP
#define HIBISCUSFERRY_ADMISSION_COST_REQUEST_COST_HPP

#include "document/document.hpp"

namespace hibiscusferry
{

/** The work of one request in tokens, counted separately for prefill and
    decode. */
struct request_cost
{
    double prefill_tokens = 0;
    double decode_tokens = 0;

    /** Returns the cost in weighted tokens, the unit of all shares, limits and
        queues. One decoded token costs `cost.decode`. */
    double weighted(const token_cost& cost) const
    {
        return prefill_tokens * cost.prefill + decode_tokens * cost.decode;
    }
};

} // namespace hibiscusferry

#endif
