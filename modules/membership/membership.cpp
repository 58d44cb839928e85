#include "membership/membership.hpp"
