#include "claims/claims.hpp"

#include "claims/batch/claim_batcher.cpp"
#include "claims/batch/claim_forwarder.cpp"
#include "claims/errors/claims_error.cpp"
#include "claims/record/claim_record.cpp"
#include "claims/registry/claim_expiry.cpp"
#include "claims/registry/claim_registry.cpp"
#include "claims/registry/claim_settlement.cpp"
