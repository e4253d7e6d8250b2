#pragma once

#include <boost/asio/execution_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace masticgap::transport {

//! Reports that the peer of a socket closed or reset its connection, also while
//! received bytes are unread; a wait for readability ends at once in that case.
//! An io_context has one such service, which its thread uses. The first watch
//! opens a descriptor.
class HangUpService : public boost::asio::execution_context::service {
public:
  //! Asio requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static boost::asio::execution_context::id id;
  using WatchId = std::uint64_t;

  //! \param Owner an io_context.
  explicit HangUpService(boost::asio::execution_context &Owner);

  //! Watches a socket; each one has at most one watch.
  //! \param OnHangUp is called at most once.
  //! \returns the id for remove(); 0 if the process has no free descriptor, in
  //! which case nothing is reported.
  WatchId add(int Socket, std::function<void()> OnHangUp);
  //! Ends a watch.
  //! \param Socket the same socket; -1 if it was closed meanwhile.
  void remove(WatchId Watch, int Socket);

private:
  void shutdown() override;
  bool open();
  void arm();
  void report();

  boost::asio::posix::stream_descriptor Poller;
  std::unordered_map<WatchId, std::function<void()>> Watches;
  WatchId LastId = 0;
  bool Armed = false;
};

//! Watches a socket during its lifetime.
class HangUpWatch {
public:
  //! \param Socket outlives the watch.
  //! \param OnHangUp is called at most once.
  HangUpWatch(boost::asio::ip::tcp::socket &Socket,
              std::function<void()> OnHangUp);
  ~HangUpWatch();
  HangUpWatch(const HangUpWatch &) = delete;
  HangUpWatch &operator=(const HangUpWatch &) = delete;

private:
  boost::asio::ip::tcp::socket &Socket;
  HangUpService &Service;
  HangUpService::WatchId Id;
};

} // namespace masticgap::transport
