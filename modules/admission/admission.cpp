#include "admission/admission.hpp"
