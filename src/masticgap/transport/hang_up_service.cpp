#include "masticgap/transport/hang_up_service.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cerrno>
#include <utility>

#include <sys/epoll.h>

namespace masticgap::transport {

namespace asio = boost::asio;
using boost::system::error_code;

asio::execution_context::id HangUpService::id;

HangUpService::HangUpService(asio::execution_context &Owner)
    : asio::execution_context::service(Owner),
      Poller(static_cast<asio::io_context &>(Owner)) {}

void HangUpService::shutdown() { Watches.clear(); }

bool HangUpService::open() {
  if (Poller.is_open())
    return true;
  const int Descriptor = ::epoll_create1(EPOLL_CLOEXEC);
  if (Descriptor < 0)
    return false;
  Poller.assign(Descriptor);
  return true;
}

HangUpService::WatchId HangUpService::add(int Socket,
                                          std::function<void()> OnHangUp) {
  if (!open())
    return 0;
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLONESHOT;
  Event.data.u64 = ++LastId;
  if (::epoll_ctl(Poller.native_handle(), EPOLL_CTL_ADD, Socket, &Event) != 0)
    return 0;
  Watches.emplace(LastId, std::move(OnHangUp));
  arm();
  return LastId;
}

void HangUpService::remove(WatchId Watch, int Socket) {
  // Closing a socket removes it. Another one may have its number by now.
  if (Socket >= 0)
    ::epoll_ctl(Poller.native_handle(), EPOLL_CTL_DEL, Socket, nullptr);
  Watches.erase(Watch);
  // A pending wait would keep the io_context running.
  if (Watches.empty())
    Poller.cancel();
}

void HangUpService::arm() {
  if (Armed || Watches.empty())
    return;
  Armed = true;
  Poller.async_wait(asio::posix::stream_descriptor::wait_read,
                    [this](error_code Failure) {
                      Armed = false;
                      if (!Failure)
                        report();
                      arm();
                    });
}

void HangUpService::report() {
  std::array<epoll_event, 16> Events{};
  int Count = 0;
  do {
    Count = ::epoll_wait(Poller.native_handle(), Events.data(),
                         static_cast<int>(Events.size()), 0);
    for (int I = 0; I < Count; ++I) {
      const auto Found = Watches.find(Events.at(I).data.u64);
      if (Found == Watches.end())
        continue;
      const auto OnHangUp = std::move(Found->second);
      Watches.erase(Found);
      OnHangUp();
    }
  } while (Count == static_cast<int>(Events.size()));
}

HangUpWatch::HangUpWatch(asio::ip::tcp::socket &Socket,
                         std::function<void()> OnHangUp)
    : Socket(Socket), Service(asio::use_service<HangUpService>(
                          Socket.get_executor().context())),
      Id(Service.add(Socket.native_handle(), std::move(OnHangUp))) {}

HangUpWatch::~HangUpWatch() {
  Service.remove(Id, Socket.is_open() ? Socket.native_handle() : -1);
}

} // namespace masticgap::transport
