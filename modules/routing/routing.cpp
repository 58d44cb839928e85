#include "routing/routing.hpp"
