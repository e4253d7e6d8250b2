#include "masticgap/transport/caller_registry.hpp"

#include <utility>

namespace masticgap::transport {

using coordination::BufferBudget;

namespace {

//! Memory of one header field besides its bytes: links of a tree and a list,
//! lengths, and the overhead of an allocation.
constexpr std::size_t FieldBytes = 96;
//! When memory is short, connections that hold less are not closed: this would
//! free little.
constexpr std::size_t MinClosedBytes = 4 * 1024;

} // namespace

std::size_t memoryOf(const boost::beast::http::fields &Fields) {
  std::size_t Result = 0;
  for (const auto &Field : Fields)
    Result += FieldBytes + Field.name_string().size() + Field.value().size();
  return Result;
}

CallerAccount::CallerAccount(std::shared_ptr<CallerRegistry> Registry,
                             coordination::CallerLedger::CallerId Id)
    : Registry(std::move(Registry)), Id(Id), Memory(this->Registry->Budget) {}

CallerAccount::~CallerAccount() {
  Registry->Ledger.close(Id);
  Registry->Closers.erase(Id);
  const auto Closed = Registry->Releasing.find(Id);
  if (Closed == Registry->Releasing.end())
    return;
  Registry->Budget->endClosed(Closed->second);
  Registry->Releasing.erase(Closed);
}

bool CallerAccount::hold(std::size_t Bytes) {
  Memory.shrinkTo(Bytes);
  const bool Held = Memory.growTo(Bytes);
  updateLedger();
  return Held;
}

void CallerAccount::noteReserved(std::size_t Bytes) {
  Noted = Bytes;
  updateLedger();
}

void CallerAccount::updateLedger() {
  Registry->Ledger.hold(Id, Memory.size() + Noted);
}

void CallerAccount::progress() {
  Registry->Ledger.progress(Id, Registry->Now());
}

void CallerAccount::received(std::size_t Bytes) {
  Registry->Ledger.received(Id, Bytes, Registry->Now());
}

void CallerAccount::setServed(bool Served) {
  Registry->Ledger.setServed(Id, Served, Registry->Now());
}

std::shared_ptr<CallerRegistry>
CallerRegistry::create(const std::shared_ptr<BufferBudget> &Budget,
                       std::size_t MaxConnections, Clock Now) {
  std::shared_ptr<CallerRegistry> Result(
      new CallerRegistry(Budget, MaxConnections, std::move(Now)));
  Budget->onShortage([Registry = std::weak_ptr<CallerRegistry>(Result)](
                         std::size_t Missing) -> std::size_t {
    const auto Self = Registry.lock();
    return Self ? Self->makeRoom(Missing) : 0;
  });
  return Result;
}

std::unique_ptr<CallerAccount>
CallerRegistry::open(std::function<void()> Close) {
  if (Ledger.isFull() && !closeVictim(Shortage::Connections))
    return nullptr;
  const auto Id = Ledger.open(Now());
  Closers.emplace(Id, std::move(Close));
  return std::make_unique<CallerAccount>(shared_from_this(), Id);
}

bool CallerRegistry::closeOne() {
  return closeVictim(Shortage::Connections).has_value();
}

std::size_t CallerRegistry::makeRoom(std::size_t Missing) {
  std::size_t Freed = 0;
  while (Freed < Missing) {
    const auto Bytes = closeVictim(Shortage::Memory);
    if (!Bytes)
      break;
    Freed += *Bytes;
  }
  return Freed;
}

std::optional<std::size_t> CallerRegistry::closeVictim(Shortage Reason) {
  const auto Chosen =
      Ledger.takeVictim(Reason == Shortage::Memory ? MinClosedBytes : 0, Now());
  if (!Chosen)
    return std::nullopt;
  if (Reason == Shortage::Memory)
    Releasing.emplace(Chosen->Caller, Chosen->Bytes);
  const auto Found = Closers.find(Chosen->Caller);
  const auto Close = std::move(Found->second);
  Closers.erase(Found);
  Close();
  if (OnClosed)
    OnClosed(Reason, *Chosen);
  return Chosen->Bytes;
}

} // namespace masticgap::transport
