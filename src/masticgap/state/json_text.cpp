#include "masticgap/state/json_text.hpp"

#include <boost/json/serialize.hpp>

#include <charconv>

namespace masticgap {

std::string shortText(const boost::json::value &Value) {
  if (!Value.is_double())
    return boost::json::serialize(Value);
  char Buffer[32];
  const auto End =
      std::to_chars(std::begin(Buffer), std::end(Buffer), Value.get_double())
          .ptr;
  return {Buffer, End};
}

} // namespace masticgap
