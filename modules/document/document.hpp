/** @file The document module: the configuration document of a service, written
    by the team that owns the service.

    Contains the document type, its parser and validation from TOML, request
    classification, and the line difference between two documents. Depends on
    foundation and settings.
*/
#ifndef HIBISCUSFERRY_DOCUMENT_DOCUMENT_HPP
#define HIBISCUSFERRY_DOCUMENT_DOCUMENT_HPP

#include "foundation/foundation.hpp"
#include "settings/settings.hpp"

#include "document/difference/line_difference.hpp"
#include "document/model/request_classification.hpp"
#include "document/model/service_document.hpp"
#include "document/reading/document_reader.hpp"

#endif
