#define BOOST_TEST_MODULE lavenderkeel
#include <boost/test/included/unit_test.hpp>
