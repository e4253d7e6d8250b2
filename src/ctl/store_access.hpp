#pragma once

#include "masticgap/coordination/config_change_event.hpp"
#include "masticgap/protocol/platform_json.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/endpoint.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace masticgap::ctl {

//! Document in the row config/current, and the version of the row.
struct CurrentRow {
  std::uint64_t RowVersion = 0; //!< 0: the row does not exist.
  ConfigDocument Document;
};

//! Synchronous client of the platform.
class StoreAccess {
public:
  StoreAccess(Endpoint Platform, std::chrono::milliseconds Timeout);

  //! Reads the current configuration; RowVersion is 0 if there is none.
  boost::leaf::result<CurrentRow> current() const;

  //! Reads the accepted document of a version.
  //! \returns an Error of kind NotFound if there is no such version.
  boost::leaf::result<ConfigDocument> version(std::uint64_t Version) const;

  //! Reads all accepted documents, oldest first.
  boost::leaf::result<std::vector<ConfigDocument>> history() const;

  //! Reads the host list.
  boost::leaf::result<protocol::HostList> hosts() const;

  //! Submits a change and waits until its outcome is known or \p Limit has
  //! passed.
  coordination::ConfigChangeResult
  change(const ConfigDocument &Next, std::uint64_t BaseRowVersion,
         std::chrono::milliseconds Limit) const;

private:
  boost::leaf::result<coordination::StoreRow> read(std::string Key) const;

  Endpoint Platform;
  std::chrono::milliseconds Timeout;
};

} // namespace masticgap::ctl
