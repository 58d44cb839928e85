#include "claims/claims.hpp"
