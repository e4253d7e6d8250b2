#pragma once

#include "masticgap/coordination/admission/buffer_budget.hpp"
#include "masticgap/coordination/admission/caller_ledger.hpp"
#include "masticgap/state/time.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace masticgap::transport {

//! Returns an upper bound of the memory that header fields take. Each field
//! has an element of its own, which takes far more than a short name and value.
std::size_t memoryOf(const boost::beast::http::fields &Fields);

class CallerRegistry;

//! Account of one connection; it ends with this object. All functions return
//! or do nothing after the registry closed the connection.
class CallerAccount {
public:
  CallerAccount(std::shared_ptr<CallerRegistry> Registry,
                coordination::CallerLedger::CallerId Id);
  ~CallerAccount();
  CallerAccount(const CallerAccount &) = delete;
  CallerAccount &operator=(const CallerAccount &) = delete;

  //! Sets the memory that the connection itself uses.
  //! \returns false, and changes nothing, if there is not so much.
  bool hold(std::size_t Bytes);
  //! Sets the memory of the connection for which another object has a
  //! reservation, such as a body. It only serves to rank connections.
  void noteReserved(std::size_t Bytes);
  //! Records that the caller began a request or read a response.
  void progress();
  //! Records that the caller sent bytes of a request.
  void received(std::size_t Bytes);
  //! Sets whether a worker is serving a request of this caller. Such a caller
  //! is not closed.
  void setServed(bool Served);

private:
  void updateLedger();

  std::shared_ptr<CallerRegistry> Registry;
  coordination::CallerLedger::CallerId Id;
  coordination::BufferReservation Memory;
  std::size_t Noted = 0;
};

//! Accounts of all connections of callers to one process, on all ports. It is
//! used by one thread.
class CallerRegistry : public std::enable_shared_from_this<CallerRegistry> {
public:
  //! Why a connection was closed.
  enum class Shortage { Memory, Connections };
  using Victim = coordination::CallerLedger::Victim;
  using Clock = std::function<Instant()>;

  static std::shared_ptr<CallerRegistry>
  create(const std::shared_ptr<coordination::BufferBudget> &Budget,
         std::size_t MaxConnections, Clock Now);

  //! Sets what is called after a connection was closed.
  void onClosed(std::function<void(Shortage, const Victim &)> Function) {
    OnClosed = std::move(Function);
  }

  //! Opens an account for a connection. Closes another connection if there are
  //! too many.
  //! \param Close closes the connection at once; it is called at most once,
  //! before the account ends.
  //! \returns null if the connection has to be refused.
  std::unique_ptr<CallerAccount> open(std::function<void()> Close);
  //! Closes one connection, because the process has no free descriptor.
  //! \returns false if each one is being served.
  bool closeOne();
  std::size_t connections() const { return Ledger.connections(); }

private:
  friend class CallerAccount;

  CallerRegistry(std::shared_ptr<coordination::BufferBudget> Budget,
                 std::size_t MaxConnections, Clock Now)
      : Budget(std::move(Budget)), Ledger(MaxConnections), Now(std::move(Now)) {
  }
  //! \returns the number of bytes that the closed connection holds, or nothing
  //! if none was closed.
  std::optional<std::size_t> closeVictim(Shortage Reason);
  std::size_t makeRoom(std::size_t Missing);

  std::shared_ptr<coordination::BufferBudget> Budget;
  coordination::CallerLedger Ledger;
  Clock Now;
  std::unordered_map<coordination::CallerLedger::CallerId,
                     std::function<void()>>
      Closers;
  //! Bytes that connections held which were closed for lack of memory, until
  //! their accounts end.
  std::unordered_map<coordination::CallerLedger::CallerId, std::size_t>
      Releasing;
  std::function<void(Shortage, const Victim &)> OnClosed;
};

} // namespace masticgap::transport
