#include "masticgap/coordination/admission/caller_ledger.hpp"

#include <algorithm>
#include <chrono>

namespace masticgap::coordination {

namespace {

//! Of the 2,870 descriptors of the smallest host, 200 are reserved for files.
constexpr std::size_t FileShare = 14;
//! Listening ports, gossip, peers and the store.
constexpr std::size_t OwnDescriptors = 24;
//! Memory of a connection that holds nothing else: its objects and the frames
//! of its coroutines. 300 connections took 1.8 MB.
constexpr std::size_t ConnectionBytes = 6 * 1024;
//! Ranks connections that made progress at the same moment by their size.
constexpr std::chrono::milliseconds MinTime{1};

} // namespace

std::size_t maxCallerConnections(std::size_t Descriptors) {
  const std::size_t Reserved = Descriptors / FileShare + OwnDescriptors;
  // Each caller may need a connection to a worker as well.
  return std::max<std::size_t>(
      1, Descriptors > Reserved ? (Descriptors - Reserved) / 2 : 0);
}

CallerLedger::CallerId CallerLedger::open(Instant Now) {
  Callers[++LastId].LastProgress = Now;
  return LastId;
}

void CallerLedger::hold(CallerId Caller, std::size_t Bytes) {
  if (const auto Found = Callers.find(Caller); Found != Callers.end())
    Found->second.Bytes = Bytes;
}

void CallerLedger::progress(CallerId Caller, Instant Now) {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return;
  Found->second.LastProgress = Now;
  Found->second.NewBytes = 0;
}

void CallerLedger::received(CallerId Caller, std::size_t Bytes, Instant Now) {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return;
  Found->second.NewBytes += Bytes;
  if (Found->second.NewBytes >= MinProgressBytes)
    progress(Caller, Now);
}

void CallerLedger::setServed(CallerId Caller, bool Served, Instant Now) {
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return;
  Entry &State = Found->second;
  if (Served && !State.Served)
    State.ServedSince = Now;
  if (!Served && State.Served)
    State.LastProgress += Now - State.ServedSince;
  State.Served = Served;
}

std::optional<CallerLedger::Victim>
CallerLedger::takeVictim(std::size_t MinBytes, Instant Now) {
  std::optional<Victim> Result;
  double Highest = -1;
  for (const auto &[Caller, State] : Callers) {
    if (State.Served || State.Bytes < MinBytes)
      continue;
    const Duration Time = std::max<Duration>(Now - State.LastProgress, MinTime);
    const double Score = static_cast<double>(State.Bytes + ConnectionBytes) *
                         std::chrono::duration<double>(Time).count();
    if (Score <= Highest)
      continue;
    Highest = Score;
    Result = Victim{Caller, State.Bytes, Now - State.LastProgress};
  }
  if (Result)
    Callers.erase(Result->Caller);
  return Result;
}

} // namespace masticgap::coordination
