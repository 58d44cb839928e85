#ifndef HIBISCUSFERRY_ROLES_MODEL_ROLE_SPLIT_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ROLE_SPLIT_HPP

#include "roles/model/engine_role.hpp"

namespace hibiscusferry
{

/** How many engines of a pool play each role. */
struct role_split
{
    int prefill = 0;
    int decode = 0;
    int mixed = 0;

    int engines() const;

    /** The count of one role. */
    int& of(engine_role role);
    int of(engine_role role) const;
};

bool operator==(const role_split& left, const role_split& right);
bool operator!=(const role_split& left, const role_split& right);

/** The least number of engines that change role between two splits of the
    same number of engines. */
int changes_between(const role_split& from, const role_split& to);

/** One change of one engine. */
struct role_step
{
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
};

/** The first of the changes between two unlike splits of the same number of
    engines: from the role with most to spare to the one that lacks most. */
role_step first_step(const role_split& from, const role_split& to);

} // namespace hibiscusferry

#endif
