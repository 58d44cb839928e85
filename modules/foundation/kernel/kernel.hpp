#ifndef HIBISCUSFERRY_FOUNDATION_KERNEL_KERNEL_HPP
#define HIBISCUSFERRY_FOUNDATION_KERNEL_KERNEL_HPP

#include "foundation/result/result.hpp"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Errors of the kernel. */
enum class kernel_error
{
    name_taken = 1, ///< a service with this name already exists
    not_found,      ///< no service has this name and type
    start_failed    ///< a service failed to start; the others were stopped
};

const std::error_category& kernel_error_category();
std::error_code make_error_code(kernel_error error);

/** A component of a daemon that the kernel starts, looks up by name, drains
    and stops. */
class kernel_service
{
public:
    virtual ~kernel_service() = default;

    /** Starts the service. Services added before it are already running. */
    virtual result<void> start() = 0;

    /** Begins a planned shutdown.

        The service accepts no new work and calls `finished` exactly once, when
        all its work has completed. The default implementation calls it
        immediately.
    */
    virtual void drain(std::function<void()> finished);

    /** Stops the service immediately. Services are stopped in the reverse
        order of their start. */
    virtual void stop() = 0;
};

/** The micro-kernel of a process.

    Owns the services, starts them in order, drains and stops them, and lets
    them find each other by name. Services live as long as the kernel. Not
    thread-safe.
*/
class kernel
{
public:
    kernel() = default;
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    /** Adds a service.

        @returns kernel_error::name_taken if a service with this name exists
    */
    result<void> add(const std::string& name,
                     std::unique_ptr<kernel_service> service);

    /** Finds a service by name and type.

        @returns kernel_error::not_found if no service has the name, or if it
                 is of another type
    */
    template <class Service>
    result<Service*> find(const std::string& name) const
    {
        Service* const match = dynamic_cast<Service*>(find_service(name));
        if (match == nullptr)
            return make_error_code(kernel_error::not_found);
        return match;
    }

    /** Starts all services in the order in which they were added.

        If a service fails to start, those already started are stopped, and
        failed_service() returns the name of the one that failed.
    */
    result<void> start();

    /** Starts the services that have not been started yet, up to the first
        that fails. Unlike start(), it leaves the others running and can be
        called again.

        @returns the error of that service; failed_service() returns its name
    */
    result<void> start_remaining();

    /** Drains all started services and calls `finished` when the last of them
        has finished. */
    void drain(std::function<void()> finished);

    /** Stops all started services in reverse order. */
    void stop();

    /** Returns the name of the service that failed to start, or an empty
        string. */
    const std::string& failed_service() const;

private:
    struct entry
    {
        std::string name;
        std::unique_ptr<kernel_service> service;
    };

    kernel_service* find_service(const std::string& name) const;

    std::vector<entry> entries_;
    std::size_t started_count_ = 0;
    std::string failed_service_;
};

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::kernel_error> : std::true_type
{
};

#endif
