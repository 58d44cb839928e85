#include "foundation/kernel/kernel.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

class kernel_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "kernel";
    }

    std::string message(int code) const override
    {
        switch (static_cast<kernel_error>(code))
        {
        case kernel_error::name_taken:
            return "a service with this name already exists";
        case kernel_error::not_found:
            return "no service with this name and type";
        case kernel_error::start_failed:
            return "a service failed to start";
        }
        return "unknown kernel error";
    }
};

} // namespace

const std::error_category& kernel_error_category()
{
    static const kernel_category category;
    return category;
}

std::error_code make_error_code(kernel_error error)
{
    return {static_cast<int>(error), kernel_error_category()};
}

void kernel_service::drain(std::function<void()> finished)
{
    finished();
}

result<void> kernel::add(const std::string& name,
                         std::unique_ptr<kernel_service> service)
{
    if (find_service(name) != nullptr)
        return make_error_code(kernel_error::name_taken);
    entries_.push_back({name, std::move(service)});
    return outcome::success();
}

result<void> kernel::start()
{
    if (start_remaining())
        return outcome::success();
    stop();
    return make_error_code(kernel_error::start_failed);
}

result<void> kernel::start_remaining()
{
    failed_service_.clear();
    for (; started_count_ < entries_.size(); ++started_count_)
    {
        const entry& next = entries_[started_count_];
        const result<void> started = next.service->start();
        if (!started)
        {
            failed_service_ = next.name;
            return started.error();
        }
    }
    return outcome::success();
}

void kernel::drain(std::function<void()> finished)
{
    const std::shared_ptr<std::size_t> remaining_services =
        std::make_shared<std::size_t>(started_count_ + 1);
    const std::function<void()> on_service_drained =
        [remaining_services, finished]
    {
        if (--*remaining_services == 0)
            finished();
    };
    for (std::size_t index = started_count_; index > 0; --index)
        entries_[index - 1].service->drain(on_service_drained);
    on_service_drained();
}

void kernel::stop()
{
    while (started_count_ > 0)
        entries_[--started_count_].service->stop();
}

const std::string& kernel::failed_service() const
{
    return failed_service_;
}

kernel_service* kernel::find_service(const std::string& name) const
{
    const auto match = std::find_if(entries_.begin(), entries_.end(),
                                    [&name](const entry& candidate)
                                    { return candidate.name == name; });
    return match == entries_.end() ? nullptr : match->service.get();
}

} // namespace hibiscusferry
