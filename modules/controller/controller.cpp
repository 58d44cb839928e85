#include "controller/controller.hpp"

#include "controller/editing/editor_service.cpp"
#include "controller/operators/operator_page.cpp"
