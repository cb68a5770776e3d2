// Compiles the sources of Boost.URL from its headers (Debian's Boost 1.81 has
// them in full), so that no library has to be linked.
#include <boost/url/src.hpp>
