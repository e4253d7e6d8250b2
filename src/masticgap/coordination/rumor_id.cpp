#include "masticgap/coordination/rumor_id.hpp"

#include <string>
#include <xxhash.h>

namespace masticgap::coordination {

namespace {

//! Serializes the content in a byte order that is the same on all hosts.
struct ContentWriter {
  std::string Bytes;

  void number(std::uint64_t Value) {
    for (unsigned Shift = 0; Shift < 64; Shift += 8)
      Bytes.push_back(static_cast<char>((Value >> Shift) & 0xff));
  }
  void name(const std::string &Text) {
    number(Text.size());
    Bytes += Text;
  }

  void operator()(const WorkerLeaving &R) {
    name(R.Worker.value());
    number(R.Run.Value);
  }
  void operator()(const RequestSuspected &R) {
    number(R.Request.Value);
    name(R.Worker.value());
    number(R.Run.Value);
  }
  void operator()(const RequestCleared &R) {
    number(R.Request.Value);
    name(R.Worker.value());
    number(R.Run.Value);
  }
  void operator()(const RequestQuarantined &R) { number(R.Request.Value); }
  void operator()(const ConfigVersionSeen &R) { number(R.Version); }
};

} // namespace

std::uint64_t rumorId(const Rumor &What) {
  ContentWriter Writer;
  Writer.number(What.index());
  std::visit(Writer, What);
  return XXH64(Writer.Bytes.data(), Writer.Bytes.size(), 0);
}

} // namespace masticgap::coordination
