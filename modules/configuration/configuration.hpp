/** @file
    The configuration module: replication of service documents to all hosts.

    document_editor commits operators' changes to the table service, exactly
    one for each version. document_replica keeps the active documents of a
    host up to date from the store and from peers. The module makes decisions
    and performs no I/O. It depends on foundation, document, platform, and
    store_write of claims.
*/
#ifndef HIBISCUSFERRY_CONFIGURATION_CONFIGURATION_HPP
#define HIBISCUSFERRY_CONFIGURATION_CONFIGURATION_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"

#include "configuration/errors/configuration_error.hpp"

#include "configuration/record/document_record.hpp"

#include "configuration/editor/document_editor.hpp"

#include "configuration/replica/document_replica.hpp"
#include "configuration/replica/replica_message.hpp"

#endif
