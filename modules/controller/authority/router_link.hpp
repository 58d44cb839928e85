#ifndef HIBISCUSFERRY_CONTROLLER_AUTHORITY_ROUTER_LINK_HPP
#define HIBISCUSFERRY_CONTROLLER_AUTHORITY_ROUTER_LINK_HPP

#include "authority/authority.hpp"
#include <string>

namespace hibiscusferry
{

/** How a holder's announcements reach the routers. */
class router_link
{
public:
    virtual ~router_link() = default;

    /** Sends a stop or its end to one router; it may be lost. */
    virtual void announce(const std::string& service,
                          const drain_announcement& announcement) = 0;
};

} // namespace hibiscusferry

#endif
