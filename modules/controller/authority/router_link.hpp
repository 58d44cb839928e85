#ifndef HIBISCUSFERRY_CONTROLLER_AUTHORITY_ROUTER_LINK_HPP
#define HIBISCUSFERRY_CONTROLLER_AUTHORITY_ROUTER_LINK_HPP

#include "authority/authority.hpp"
#include <string>

namespace hibiscusferry
{

/** Sends the announcements of a lease holder to the routers. */
class router_link
{
public:
    virtual ~router_link() = default;

    /** Announces to one router that a target stops or resumes accepting new
        work. The message may be lost. */
    virtual void announce(const std::string& service,
                          const drain_announcement& announcement) = 0;
};

} // namespace hibiscusferry

#endif
