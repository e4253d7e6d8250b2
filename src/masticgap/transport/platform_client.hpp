#pragma once

#include "masticgap/coordination/store_types.hpp"
#include "masticgap/protocol/platform_json.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/state/endpoint.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::transport {

//! Limits of a PlatformClient.
struct PlatformClientLimits {
  //! Time limit of one call, including the wait for a free slot.
  std::chrono::milliseconds Timeout{2000};
  std::size_t MaxConcurrent = 16;
  //! Calls fail immediately when this many are already waiting.
  std::size_t MaxWaiting = 1024;
};

//! Client of the platform's table service, object store and host list. Each
//! handler runs once, on the thread of the io_context, never inside the call.
class PlatformClient {
public:
  using StoreHandler = std::function<void(coordination::StoreAnswer)>;
  template <class T> using Handler = std::function<void(Captured<T>)>;

  PlatformClient(boost::asio::io_context &Io, Endpoint Platform,
                 PlatformClientLimits Limits = {});
  ~PlatformClient();
  PlatformClient(const PlatformClient &) = delete;
  PlatformClient &operator=(const PlatformClient &) = delete;

  //! Runs a store call. The answer has the id of the call. A timeout, a broken
  //! or refused connection and an unreadable answer are reported as StoreLost.
  void run(coordination::StoreCall Call, StoreHandler OnDone);

  //! Reads up to \p Limit rows whose keys start with \p Prefix, ordered by key.
  void scan(std::string_view Table, std::string_view Prefix, std::size_t Limit,
            Handler<std::vector<protocol::TableRow>> OnDone);

  //! Reads the platform's host list.
  void hosts(Handler<protocol::HostList> OnDone);

  //! Writes an object.
  //! \param Name may contain letters, digits, '-', '_', '.' and '/'.
  void putObject(std::string_view Name, std::string Bytes,
                 Handler<std::monostate> OnDone);
  //! Reads an object. If it does not exist, the result is an Error of kind
  //! NotFound.
  void getObject(std::string_view Name, Handler<std::string> OnDone);

  class Impl;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::transport
