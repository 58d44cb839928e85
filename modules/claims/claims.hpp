/** @file
    The claims module: at-most-once execution of calls.

    store_write drives one conditional transaction to a definite outcome.
    claim_registry determines the outcome of each call. claim_batcher commits
    the updates of many calls in one transaction, and claim_forwarder collects
    the updates of many hosts for it. claim_expiry deletes claims whose
    retention period has ended. The module makes decisions and performs no
    I/O. It depends on foundation and platform.
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
