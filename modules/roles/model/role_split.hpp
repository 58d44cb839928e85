#ifndef HIBISCUSFERRY_ROLES_MODEL_ROLE_SPLIT_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ROLE_SPLIT_HPP

#include "roles/model/engine_role.hpp"

namespace hibiscusferry
{

/** The number of engines of a pool in each role. */
struct role_split
{
    int prefill = 0;
    int decode = 0;
    int mixed = 0;

    int engines() const;

    /** The number of engines in the given role. */
    int& of(engine_role role);
    int of(engine_role role) const;
};

bool operator==(const role_split& left, const role_split& right);
bool operator!=(const role_split& left, const role_split& right);

/** The minimum number of role changes that turn one split into another with
    the same number of engines. */
int changes_between(const role_split& from, const role_split& to);

/** A role change of a single engine. */
struct role_step
{
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
};

/** The first role change on the way between two different splits of the same
    number of engines: from the role with the largest surplus to the role with
    the largest deficit. */
role_step first_step(const role_split& from, const role_split& to);

} // namespace hibiscusferry

#endif
