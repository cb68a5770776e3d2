// Compiles Boost.URL, which Debian's Boost 1.81 headers carry in full.
#include <boost/url/src.hpp>
