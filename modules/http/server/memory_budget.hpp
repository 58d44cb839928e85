#ifndef HIBISCUSFERRY_HTTP_SERVER_MEMORY_BUDGET_HPP
#define HIBISCUSFERRY_HTTP_SERVER_MEMORY_BUDGET_HPP

#include <cstddef>
#include <functional>
#include <memory>

namespace hibiscusferry
{

/** What the memory of a reservation is used for. */
enum class memory_use
{
    request, ///< a connection and the request that it receives
    response ///< a response that waits to be read by a client
};

/** Limits the memory that clients together can make a process hold.

    Addresses crowds of clients that send large requests, or do not read their
    responses. Requests take at most three quarters and responses at most seven
    eighths of the budget; small reservations may use all of it. Therefore large
    requests leave room for responses, and both leave room for small requests.
*/
class memory_budget
{
public:
    /** Reservations up to this size are small: an idle connection, or a request
        with a usual header and a short body. */
    static constexpr std::size_t small_bytes = 128U << 10;

    /** Asks an owner of reservations to give up memory.

        @returns whether it has released some
    */
    using reclaimer = std::function<bool()>;

    explicit memory_budget(std::size_t capacity_bytes);

    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    std::size_t capacity() const;
    std::size_t used() const;

    /** Sets a function that is called when a response does not fit. */
    void set_reclaimer(reclaimer reclaim);

    /** Memory that has one owner. Released by the destructor. */
    class reservation
    {
    public:
        /** @param budget  null if the memory is not limited */
        reservation(std::shared_ptr<memory_budget> budget, memory_use use);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        /** Changes the size. A smaller size is always possible.

            @returns false if the budget is short; the reservation is unchanged
                     in this case
        */
        bool resize(std::size_t bytes);

        /** Changes the size of memory that cannot be refused, because it is
            held already. */
        void force(std::size_t bytes);

        std::size_t bytes() const;

    private:
        std::shared_ptr<memory_budget> budget_;
        memory_use use_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t limit(std::size_t bytes, memory_use use) const;

    const std::size_t capacity_;
    std::size_t used_ = 0;
    reclaimer reclaim_;
};

} // namespace hibiscusferry

#endif
