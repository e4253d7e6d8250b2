// Boost.URL is used header-only; this file compiles its implementation.
#include <boost/url/src.hpp>
