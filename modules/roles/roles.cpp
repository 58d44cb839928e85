#include "roles/roles.hpp"
