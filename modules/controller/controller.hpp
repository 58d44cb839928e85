/** @file
    The controller module: the fleet's decisions carried out on one host.

    Documents edited by operators, membership, authority, orders and roles.
    Depends on runtime, membership, authority, roles and routing.
*/
#ifndef HIBISCUSFERRY_CONTROLLER_CONTROLLER_HPP
#define HIBISCUSFERRY_CONTROLLER_CONTROLLER_HPP

#include "runtime/runtime.hpp"

#include "controller/editing/editor_service.hpp"
#include "controller/operators/operator_page.hpp"

#endif
