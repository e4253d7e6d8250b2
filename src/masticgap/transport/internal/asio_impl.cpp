// Compiles the implementations of Asio and Beast only once, since they take
// long to compile.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
