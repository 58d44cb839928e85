#define BOOST_TEST_MODULE hibiscusferry
#include <boost/test/unit_test.hpp>
