#include "sharing/sharing.hpp"

#include "sharing/load/load_ledger.cpp"
#include "sharing/load/open_load.cpp"
#include "sharing/message/sharing_message.cpp"
#include "sharing/relay/relay_line.cpp"
#include "sharing/rows/fleet_news.cpp"
#include "sharing/rows/row_mirror.cpp"
