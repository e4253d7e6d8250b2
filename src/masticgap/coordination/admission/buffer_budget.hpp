#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace masticgap::coordination {

//! Memory that all callers of a host together may make it hold.
class BufferBudget {
public:
  //! Closes callers that hold memory.
  //! \param Missing number of bytes that are needed.
  //! \returns the number of bytes that will be released soon.
  using MakeRoom = std::function<std::size_t(std::size_t Missing)>;

  explicit BufferBudget(std::size_t Limit)
      : Limit(Limit), HardLimit(Limit + Limit / 2) {}

  //! Sets what is called when the limit is reached. Without it, reservations
  //! above the limit fail.
  void onShortage(MakeRoom Function) { OnShortage = std::move(Function); }

  //! \returns false, and reserves nothing, if the limit would be exceeded.
  bool tryReserve(std::size_t Bytes) {
    const std::size_t Total = Reserved + Bytes;
    if (Total > Limit + Releasing && OnShortage)
      Releasing += OnShortage(Total - Limit - Releasing);
    // The memory of a closed caller is in use until its last operation has
    // ended, so the hard limit holds for it as well.
    if (Total > std::min(Limit + Releasing, HardLimit))
      return false;
    Reserved = Total;
    Most = std::max(Most, Reserved);
    return true;
  }
  void release(std::size_t Bytes) { Reserved -= Bytes; }
  //! Reports the end of a caller that OnShortage closed.
  //! \param Bytes number that OnShortage returned for it.
  void endClosed(std::size_t Bytes) { Releasing -= Bytes; }
  std::size_t reserved() const { return Reserved; }
  std::size_t limit() const { return Limit; }

  //! Returns the decrease since the highest number of reserved bytes after the
  //! last call of forgetPeak().
  std::size_t releasedSincePeak() const { return Most - Reserved; }
  void forgetPeak() { Most = Reserved; }

private:
  std::size_t Limit;
  std::size_t HardLimit;
  std::size_t Reserved = 0;
  std::size_t Releasing = 0; //!< Part of Reserved that closed callers hold.
  std::size_t Most = 0;      //!< Peak of Reserved.
  MakeRoom OnShortage;
};

//! Part of a budget that one user has; it is returned with this object.
class BufferReservation {
public:
  explicit BufferReservation(std::shared_ptr<BufferBudget> Budget)
      : Budget(std::move(Budget)) {}
  ~BufferReservation() { release(); }
  BufferReservation(BufferReservation &&Other) noexcept
      : Budget(Other.Budget), Bytes(std::exchange(Other.Bytes, 0)) {}
  BufferReservation &operator=(BufferReservation &&) = delete;

  //! Extends the reservation to a total size.
  //! \returns false if the budget does not allow it.
  bool growTo(std::size_t Size) {
    if (Size <= Bytes)
      return true;
    if (!Budget->tryReserve(Size - Bytes))
      return false;
    Bytes = Size;
    return true;
  }
  //! Reduces the reservation to a total size.
  void shrinkTo(std::size_t Size) {
    if (Size < Bytes)
      Budget->release(std::exchange(Bytes, Size) - Size);
  }
  void release() { Budget->release(std::exchange(Bytes, 0)); }
  std::size_t size() const { return Bytes; }

private:
  std::shared_ptr<BufferBudget> Budget;
  std::size_t Bytes = 0;
};

//! Extends a body by the space for its next part. The first part is not
//! counted.
//! \returns false, and changes nothing, if the budget does not allow it.
inline bool extendBuffer(std::string &Body, std::size_t PartBytes,
                         BufferReservation &Memory) {
  const std::size_t Size = Body.size() + PartBytes;
  if (!Body.empty() && Size > Body.capacity()) {
    const std::size_t Capacity = std::max(Size, 2 * Body.capacity());
    if (!Memory.growTo(Capacity))
      return false;
    Body.reserve(Capacity);
  }
  Body.resize(Size);
  return true;
}

} // namespace masticgap::coordination
