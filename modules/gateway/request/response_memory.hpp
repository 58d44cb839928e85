#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_RESPONSE_MEMORY_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_RESPONSE_MEMORY_HPP

#include "http/http.hpp"
#include <cstddef>
#include <memory>

namespace hibiscusferry
{

/** Limits the memory that the responses buffered by a process use together.

    Each response may always use `share_bytes`. What exceeds that comes out of a
    common pool, of which a response takes at most as much as it leaves free.
    Therefore a few responses without end never use up the pool, and smaller
    ones still fit. All responses also count towards the budget of the process,
    which they share with requests.
*/
class response_memory
{
public:
    /** Responses up to this size are not limited. */
    static constexpr std::size_t share_bytes = 32U << 10;

    /** Sets the budget of which the responses are part. */
    void set_budget(std::shared_ptr<memory_budget> budget);

    /** The memory of one response. Released by the destructor. */
    class reservation
    {
    public:
        explicit reservation(std::shared_ptr<response_memory> memory);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        /** Changes the size of the response.

            @param bytes       its new size
            @param pool_bytes  the current size of the common pool
            @returns false if the size exceeds the limit; the reservation is
                     unchanged in this case
        */
        bool resize(std::size_t bytes, std::size_t pool_bytes);

    private:
        std::shared_ptr<response_memory> memory_;
        std::size_t pooled_bytes_ = 0;
        memory_budget::reservation budgeted_;
    };

private:
    std::size_t pooled_bytes_ = 0;
    std::shared_ptr<memory_budget> budget_;
};

} // namespace hibiscusferry

#endif
