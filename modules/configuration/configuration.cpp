#include "configuration/configuration.hpp"
