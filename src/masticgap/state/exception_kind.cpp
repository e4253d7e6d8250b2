#include "masticgap/state/exception_kind.hpp"

namespace masticgap {

std::string_view toString(ExceptionKind Kind) {
  switch (Kind) {
  case ExceptionKind::AvoidRegion:
    return "avoid_region";
  case ExceptionKind::AvoidDomain:
    return "avoid_domain";
  case ExceptionKind::DrainWorker:
    return "drain_worker";
  case ExceptionKind::ShiftCap:
    return "shift_cap";
  }
  return "avoid_region";
}

std::optional<ExceptionKind> parseExceptionKind(std::string_view Text) {
  for (const auto Kind :
       {ExceptionKind::AvoidRegion, ExceptionKind::AvoidDomain,
        ExceptionKind::DrainWorker, ExceptionKind::ShiftCap})
    if (toString(Kind) == Text)
      return Kind;
  return std::nullopt;
}

} // namespace masticgap
