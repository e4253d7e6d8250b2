#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace masticgap {

//! Strongly typed string, so that for example a region name cannot be passed as
//! a service name.
template <class Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text(std::move(Text)) {}

  const std::string &value() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend auto operator<=>(const Name &, const Name &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const Name &N) {
    return Out << N.Text;
  }
  template <class Archive> void serialize(Archive &Ar) { Ar(Text); }

private:
  std::string Text;
};

using AccountName = Name<struct AccountNameTag>;
using HostId = Name<struct HostIdTag>;
using WorkerId = Name<struct WorkerIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using RegionName = Name<struct RegionNameTag>;
using FailureDomainName = Name<struct FailureDomainNameTag>;
using RequestId = Name<struct RequestIdTag>;

} // namespace masticgap

template <class Tag> struct std::hash<masticgap::Name<Tag>> {
  std::size_t operator()(const masticgap::Name<Tag> &N) const {
    return std::hash<std::string>()(N.value());
  }
};
