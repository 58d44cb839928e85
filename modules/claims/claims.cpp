#include "claims/claims.hpp"

#include "claims/errors/claims_error.cpp"
