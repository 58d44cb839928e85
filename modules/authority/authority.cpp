#include "authority/authority.hpp"
