// Boost.JSON, compiled as part of this program.
#include <boost/json/src.hpp>
