#include "document/document.hpp"
