/** @file
    The document module: what a team says of its service.

    The service document as a value, its reading and checking from TOML, and
    the difference between two of them. Depends on foundation and settings.
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
