#ifndef HIBISCUSFERRY_CONTROLLER_OPERATORS_OPERATOR_PAGE_HPP
#define HIBISCUSFERRY_CONTROLLER_OPERATORS_OPERATOR_PAGE_HPP

#include "claims/claims.hpp"
#include "controller/editing/editor_service.hpp"
#include "runtime/runtime.hpp"

namespace hibiscusferry
{

/** The operators' API of a controller, under /v1/operator/ of its admin port.

    - GET documents: the names and versions in force here
    - GET documents/NAME: the current document, from the store
    - POST documents/NAME: a change; see docs/INTERFACES.md
    - GET history/NAME?after=KEY: the document's changes, a page of rows
    - GET unresolved?after=KEY: calls whose outcome is unknown, a page
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

    /** A call of the API: a method, a path, and what serves it. */
    struct route
    {
        const char* method;
        /** Below /v1/operator/; a trailing '/' takes a name. */
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
