/** @file
    The configuration module: documents in force on every host.

    document_editor commits operators' changes at the table service, one
    winner for each version; document_replica learns on every host what is
    in force, from the store and from peers. Decisions only, no I/O. Depends
    on foundation, document, platform, and the store_write of claims.
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
