#ifndef HIBISCUSFERRY_CONTROLLER_EDITING_EDITOR_SERVICE_HPP
#define HIBISCUSFERRY_CONTROLLER_EDITING_EDITOR_SERVICE_HPP

#include "configuration/configuration.hpp"
#include "runtime/runtime.hpp"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** Executes the actions of the document_editor. */
class editor_service final : public kernel_service
{
public:
    static constexpr const char* name = "editor";

    explicit editor_service(process_core& core);

    /** Submits a change and waits for its outcome. */
    change_response change(const document_change& requested,
                           boost::asio::yield_context yield);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    struct waiting_change
    {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<change_response> answer;
    };

    void carry_out(const document_editor::actions& actions);
    void carry_out(const change_response& action);
    void carry_out(const editor_step& action);
    void carry_out(const query_host_revision& action);
    void carry_out(const document_event& action);

    process_core& core_;
    table_store* table_ = nullptr;
    document_editor editor_;
    document_exchange* exchange_ = nullptr;
    std::map<std::string, waiting_change> changes_;
};

} // namespace hibiscusferry

#endif
