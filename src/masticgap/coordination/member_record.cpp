#include "masticgap/coordination/member_record.hpp"

#include <xxhash.h>

namespace masticgap::coordination {

std::uint64_t memberKey(const EntryHostDescriptor &Host) {
  const std::string &Id = Host.Id.value();
  return XXH64(Id.data(), Id.size(), Host.Run.Value);
}

} // namespace masticgap::coordination
