/** @file
    The runtime module: the components common to all daemons.

    The module provides the single-threaded process with its services and its
    graceful shutdown, the pages of the admin port, and kernel services for the
    platform adapters, the active documents, the host list and the messages
    between processes. It depends on foundation, settings, document, platform,
    http, peers and the decision modules.
*/
#ifndef HIBISCUSFERRY_RUNTIME_RUNTIME_HPP
#define HIBISCUSFERRY_RUNTIME_RUNTIME_HPP

#include "configuration/configuration.hpp"
#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "http/http.hpp"
#include "peers/peers.hpp"
#include "process/process.hpp"
#include "settings/settings.hpp"
#include "storage/storage.hpp"

#include "runtime/admin/admin_service.hpp"
#include "runtime/documents/document_exchange.hpp"
#include "runtime/documents/document_service.hpp"
#include "runtime/hosts/host_list_service.hpp"
#include "runtime/messages/peer_messages.hpp"
#include "runtime/peers/peer_service.hpp"
#include "runtime/platform/platform_adapters.hpp"

#endif
