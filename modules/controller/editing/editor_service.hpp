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

/** Carries out what the document_editor decides. */
class editor_service final : public kernel_service
{
public:
    static constexpr const char* name = "editor";

    explicit editor_service(process_core& core);

    /** Makes a change and waits for what became of it. */
    change_response change(const document_change& wanted,
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

    void carry_out(const document_editor::actions& wanted);
    void carry_out(const change_response& wanted);
    void carry_out(const editor_step& wanted);
    void carry_out(const query_host_revision& wanted);
    void carry_out(const document_event& wanted);

    process_core& core_;
    table_store* table_ = nullptr;
    document_editor editor_;
    document_exchange* exchange_ = nullptr;
    std::map<std::string, waiting_change> changes_;
};

} // namespace hibiscusferry

#endif
