/** @file
    The controller module: executes the decisions for the fleet on one host.

    Covers documents edited by operators, membership, authority, orders and
    roles.
    Depends on runtime, membership, authority, roles and routing.
*/
#ifndef HIBISCUSFERRY_CONTROLLER_CONTROLLER_HPP
#define HIBISCUSFERRY_CONTROLLER_CONTROLLER_HPP

#include "runtime/runtime.hpp"

#include "controller/authority/authority_directory.hpp"
#include "controller/authority/router_link.hpp"
#include "controller/authority/service_authority.hpp"
#include "controller/authority/target_orders.hpp"
#include "controller/editing/editor_service.hpp"
#include "controller/membership/membership_service.hpp"
#include "controller/operators/operator_page.hpp"
#include "controller/shares/share_service.hpp"

#endif
