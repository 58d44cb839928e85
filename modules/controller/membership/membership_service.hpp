#ifndef HIBISCUSFERRY_CONTROLLER_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP
#define HIBISCUSFERRY_CONTROLLER_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP

#include "membership/membership.hpp"
#include "runtime/runtime.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Tracks which entry hosts are alive by executing the actions of the
    membership_view. */
class membership_service final : public kernel_service
{
public:
    static constexpr const char* name = "membership";

    explicit membership_service(process_core& core);

    const membership_view& view() const;

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    void send_reach_reply(const std::string& process);
    void carry_out(const membership_actions& actions);
    std::string status() const;

    process_core& core_;
    peer_service* peers_ = nullptr;
    document_service* documents_ = nullptr;
    membership_view view_;
};

} // namespace hibiscusferry

#endif
