#include "membership/membership.hpp"

#include "membership/messages/membership_message.cpp"
#include "membership/view/membership_view.cpp"
