#define BOOST_TEST_MODULE crowd
#include <boost/test/unit_test.hpp>
