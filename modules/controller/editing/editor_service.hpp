#ifndef HIBISCUSFERRY_CONTROLLER_EDITING_EDITOR_SERVICE_HPP
#define HIBISCUSFERRY_CONTROLLER_EDITING_EDITOR_SERVICE_HPP

#include "configuration/configuration.hpp"
#include "runtime/runtime.hpp"
#include <boost/asio/steady_timer.hpp>
#include <functional>
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

    /** Asks a host which revision of the documents it holds; the answer
        comes back through host_holds(). */
    using host_asker = std::function<void(const std::string&)>;

    explicit editor_service(process_core& core);

    /** Sets how hosts are asked; without it no change is confirmed. */
    void ask_hosts_by(host_asker asker);

    /** A host holds all documents up to a revision. */
    void host_holds(const std::string& host, document_version revision);

    /** Makes a change and waits for what became of it. */
    answer_change change(const document_change& wanted,
                         boost::asio::yield_context yield);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    struct waiting_change
    {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<answer_change> answer;
    };

    void carry_out(const document_editor::actions& wanted);
    void carry_out(const answer_change& wanted);
    void carry_out(const editor_step& wanted);
    void carry_out(const ask_host_version& wanted);
    void carry_out(const document_notice& wanted);

    process_core& core_;
    table_store* table_ = nullptr;
    document_editor editor_;
    host_asker asker_;
    std::map<std::string, waiting_change> changes_;
};

} // namespace hibiscusferry

#endif
