#include "controller/controller.hpp"

#include "controller/authority/authority_directory.cpp"
#include "controller/authority/service_authority.cpp"
#include "controller/authority/target_orders.cpp"
#include "controller/editing/editor_service.cpp"
#include "controller/membership/membership_service.cpp"
#include "controller/operators/operator_page.cpp"
