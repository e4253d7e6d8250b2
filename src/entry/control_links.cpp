#include "entry/control_links.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::entry {

using namespace coordination;

LinkGrantRunner::LinkGrantRunner(boost::asio::io_context &Io,
                                 transport::PlatformClient &Platform,
                                 LinkGrants Grants, Outputs Out)
    : Platform(Platform), Grants(std::move(Grants)), Out(std::move(Out)),
      Timer(Io) {}

void LinkGrantRunner::stop() {
  Stopped = true;
  Timer.cancel();
}

void LinkGrantRunner::handleEvent(const LinkGrantEvent &Event) {
  if (Stopped)
    return;
  for (const LinkGrantAction &Action : Grants.handle(Event, Out.Clock()))
    execute(Action);
  armTimer();
}

void LinkGrantRunner::execute(const LinkGrantAction &Action) {
  if (const auto *Grant = std::get_if<LinkGrant>(&Action))
    Out.Granted(*Grant);
  else if (const auto *Seen = std::get_if<LinkCapSeen>(&Action))
    Out.CapSeen(*Seen);
  else if (const auto *Write = std::get_if<StoreTransact>(&Action))
    run(*Write);
  else
    run(std::get<StoreRead>(Action));
}

void LinkGrantRunner::run(StoreCall Call) {
  Platform.run(std::move(Call), [this, WeakAlive = std::weak_ptr<bool>(Alive)](
                                    const StoreAnswer &Answer) {
    if (!WeakAlive.expired())
      std::visit([this](const auto &Each) { handleEvent(Each); }, Answer);
  });
}

void LinkGrantRunner::armTimer() {
  const auto Due = Grants.nextTick();
  if (!Due)
    return;
  Timer.expires_after(std::max(*Due - Out.Clock(), Duration(0)));
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      handleEvent(LinkTick{});
  });
}

} // namespace masticgap::entry
