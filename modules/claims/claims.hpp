/** @file
    The claims module: calls that may run at most once.

    store_write drives one conditional transaction to a certain end;
    claim_registry decides what becomes of each call; claim_batcher commits
    the updates of many calls in one transaction, and claim_forwarder brings
    the updates of many hosts together for it; claim_expiry deletes what is
    past its retention. Decisions only, no I/O. Depends on foundation and
    platform.
*/
#ifndef HIBISCUSFERRY_CLAIMS_CLAIMS_HPP
#define HIBISCUSFERRY_CLAIMS_CLAIMS_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"

#include "claims/errors/claims_error.hpp"

#include "claims/settled_write/row_stamp.hpp"
#include "claims/settled_write/store_write.hpp"

#include "claims/record/claim_record.hpp"

#include "claims/batch/claim_batcher.hpp"
#include "claims/batch/claim_forwarder.hpp"
#include "claims/batch/row_update.hpp"

#include "claims/registry/claim_call.hpp"
#include "claims/registry/claim_expiry.hpp"
#include "claims/registry/claim_registry.hpp"

#endif
