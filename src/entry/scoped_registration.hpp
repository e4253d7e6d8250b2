#pragma once

#include <set>

namespace masticgap::entry {

//! Lists an object in a set during the lifetime of the registration.
template <class T> class ScopedRegistration {
public:
  //! \param Set outlives the registration.
  ScopedRegistration(std::set<T *> &Set, T &Object)
      : Set(Set), Object(&Object) {
    Set.insert(&Object);
  }
  ~ScopedRegistration() { Set.erase(Object); }
  ScopedRegistration(const ScopedRegistration &) = delete;
  ScopedRegistration &operator=(const ScopedRegistration &) = delete;

private:
  std::set<T *> &Set;
  T *Object;
};

} // namespace masticgap::entry
