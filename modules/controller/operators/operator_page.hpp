#ifndef HIBISCUSFERRY_CONTROLLER_OPERATORS_OPERATOR_PAGE_HPP
#define HIBISCUSFERRY_CONTROLLER_OPERATORS_OPERATOR_PAGE_HPP

#include "claims/claims.hpp"
#include "controller/editing/editor_service.hpp"
#include "runtime/runtime.hpp"

namespace hibiscusferry
{

/** The operator API of a controller, under /v1/operator/ on its admin port.

    - GET documents: the names and current versions on this host
    - GET documents/NAME: the current document, read from the store
    - POST documents/NAME: changes the document; see docs/INTERFACES.md
    - GET history/NAME?after=KEY: a page of the document's changes
    - GET unresolved?after=KEY: a page of calls whose outcome is unknown
*/
class operator_page final : public kernel_service
{
public:
    static constexpr const char* name = "operators";

    explicit operator_page(process_core& core);

    result<void> start() override;
    void stop() override;

private:
    using handler = http_response (operator_page::*)(
        const http_request&, const std::string&, boost::asio::yield_context);

    /** A call of the API: its method, its path and its handler. */
    struct route
    {
        const char* method;
        /** Relative to /v1/operator/; a trailing '/' means that a name
            follows. */
        const char* path;
        handler serve;
    };

    static const route routes[];

    http_response serve(const http_request& request,
                        boost::asio::yield_context yield);
    bool is_operator(const http_request& request) const;
    http_response list_documents(const http_request& request,
                                 const std::string& argument,
                                 boost::asio::yield_context yield);
    http_response show_document(const http_request& request,
                                const std::string& argument,
                                boost::asio::yield_context yield);
    http_response change_document(const http_request& request,
                                  const std::string& argument,
                                  boost::asio::yield_context yield);
    http_response show_history(const http_request& request,
                               const std::string& argument,
                               boost::asio::yield_context yield);
    http_response show_unresolved(const http_request& request,
                                  const std::string& argument,
                                  boost::asio::yield_context yield);
    http_response show_rows(const std::string& prefix,
                            const http_request& request,
                            boost::asio::yield_context yield);

    process_core& core_;
    table_store* table_ = nullptr;
    editor_service* editor_ = nullptr;
    document_service* documents_ = nullptr;
};

} // namespace hibiscusferry

#endif
