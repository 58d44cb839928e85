#include "roles/model/role_split.hpp"

#include <cstdlib>

namespace hibiscusferry
{

int role_split::engines() const
{
    return prefill + decode + mixed;
}

int& role_split::of(engine_role role)
{
    switch (role)
    {
    case engine_role::prefill:
        return prefill;
    case engine_role::decode:
        return decode;
    case engine_role::mixed:
        break;
    }
    return mixed;
}

int role_split::of(engine_role role) const
{
    return const_cast<role_split*>(this)->of(role);
}

bool operator==(const role_split& left, const role_split& right)
{
    return left.prefill == right.prefill && left.decode == right.decode &&
           left.mixed == right.mixed;
}

bool operator!=(const role_split& left, const role_split& right)
{
    return !(left == right);
}

int changes_between(const role_split& from, const role_split& to)
{
    return (std::abs(from.prefill - to.prefill) +
            std::abs(from.decode - to.decode) +
            std::abs(from.mixed - to.mixed)) /
           2;
}

role_step first_step(const role_split& from, const role_split& to)
{
    role_step step;
    for (const engine_role role :
         {engine_role::prefill, engine_role::decode, engine_role::mixed})
    {
        const int spare = from.of(role) - to.of(role);
        if (spare > from.of(step.from) - to.of(step.from))
            step.from = role;
        if (-spare > to.of(step.to) - from.of(step.to))
            step.to = role;
    }
    return step;
}

} // namespace hibiscusferry
