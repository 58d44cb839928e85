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
    name_taken = 1, ///< a service of that name is already there
    not_found,      ///< no service of that name and type
    start_failed    ///< a service did not start; the others were stopped
};

const std::error_category& kernel_error_category();
std::error_code make_error_code(kernel_error error);

/** A part of a daemon that is started, found by name, and stopped. */
class kernel_service
{
public:
    virtual ~kernel_service() = default;

    /** Begins work. Services added before this one are already started. */
    virtual result<void> start() = 0;

    /** Begins a planned stop: takes no new work and calls `finished` once,
        when nothing is left. The default has nothing to finish. */
    virtual void drain(std::function<void()> finished);

    /** Ends at once; called after drain, in reverse order of start. */
    virtual void stop() = 0;
};

/** The micro-kernel: owns the services of a process, starts them in order,
    drains and stops them, and lets them find each other by name.

    Used from one thread; services live as long as the kernel.
*/
class kernel
{
public:
    kernel() = default;
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    /** Adds a service under a name. */
    result<void> add(const std::string& name,
                     std::unique_ptr<kernel_service> service);

    /** The service of that name if it is of the type asked for. */
    template <class Service>
    result<Service*> find(const std::string& name) const
    {
        Service* const found = dynamic_cast<Service*>(find_any(name));
        if (found == nullptr)
            return make_error_code(kernel_error::not_found);
        return found;
    }

    /** Starts all services in the order they were added. When one fails,
        those already started are stopped; failed_service() names it. */
    result<void> start();

    /** Drains all services and calls `finished` when the last is done. */
    void drain(std::function<void()> finished);

    /** Stops all started services in reverse order. */
    void stop();

    /** The name of the service that did not start, or an empty text. */
    const std::string& failed_service() const;

private:
    struct entry
    {
        std::string name;
        std::unique_ptr<kernel_service> service;
    };

    kernel_service* find_any(const std::string& name) const;

    std::vector<entry> entries_;
    std::size_t started_ = 0;
    std::string failed_service_;
};

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::kernel_error> : std::true_type
{
};

#endif
