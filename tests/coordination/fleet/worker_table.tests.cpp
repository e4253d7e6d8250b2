#include "masticgap/coordination/fleet/worker_table.hpp"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

using namespace masticgap;
using namespace masticgap::coordination;

// Guards against an index that misses a worker, lists it under a former
// service, or refers to a worker that was removed.
TEST_CASE("the index by service agrees with the workers after each change") {
  WorkerTable Table;
  std::mt19937_64 Random(11);
  const ServiceName Services[] = {ServiceName("a"), ServiceName("b")};
  for (int Step = 0; Step < 2000; ++Step) {
    const WorkerId Id("w" + std::to_string(Random() % 20));
    const std::uint64_t Revisions[] = {Table.ofService(Services[0]).Revision,
                                       Table.ofService(Services[1]).Revision};
    const std::size_t SizeBefore = Table.size();
    switch (Random() % 4) {
    case 0:
      Table.erase(Id);
      break;
    case 1:
      Table.eraseIf(
          [&](const auto &Entry) { return Entry.first < Id && Step % 9 == 0; });
      break;
    default:
      KnownWorker State;
      State.Worker.Service = Services[Random() % 2];
      Table.assign(Id, State);
    }
    std::size_t Listed = 0;
    for (const ServiceName &Service : Services) {
      std::set<WorkerId> Ids;
      for (const KnownWorker *Known : Table.ofService(Service).Workers) {
        CHECK(Known->Worker.Service == Service);
        CHECK(Known == &Table.find(Known->Worker.Id)->second);
        Ids.insert(Known->Worker.Id);
      }
      Listed += Ids.size();
    }
    CHECK(Listed == Table.size());
    if (Table.size() != SizeBefore)
      CHECK((Revisions[0] != Table.ofService(Services[0]).Revision ||
             Revisions[1] != Table.ofService(Services[1]).Revision));
  }
}
