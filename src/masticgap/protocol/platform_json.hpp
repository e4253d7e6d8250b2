#pragma once

#include "masticgap/coordination/store_types.hpp"
#include "masticgap/state/entry_host_descriptor.hpp"
#include "masticgap/state/error.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace masticgap::protocol {

//! Workers and entry hosts in the platform's host list, which may lag behind
//! the actual state.
struct HostList {
  std::vector<WorkerDescriptor> Workers;
  std::vector<EntryHostDescriptor> EntryHosts;
  //! Problems of the workers that readHostList() skipped.
  std::vector<Error> Skipped = {};

  friend bool operator==(const HostList &, const HostList &) = default;
};

//! One row of a table scan.
struct TableRow {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

boost::json::object toJson(const WorkerDescriptor &Worker);
boost::json::object toJson(const EntryHostDescriptor &Host);

// On failure, each parser returns an Error of kind Protocol that names the key,
// its value and the accepted values. Unknown keys are ignored, so that a newer
// platform can add keys.
boost::leaf::result<WorkerDescriptor>
parseWorkerDescriptor(const boost::json::value &Json);
boost::leaf::result<EntryHostDescriptor>
parseEntryHostDescriptor(const boost::json::value &Json);
boost::leaf::result<HostList> parseHostList(std::string_view Json);
//! Like parseHostList(), but skips workers that cannot be read, so that one
//! entry of another writer does not keep a host from following the list.
boost::leaf::result<HostList> readHostList(std::string_view Json);
std::string toJson(const HostList &Hosts);

//! Returns the body of POST /table/transact.
std::string toJson(const std::vector<coordination::StoreOp> &Ops);
boost::leaf::result<std::vector<coordination::StoreOp>>
parseTransact(std::string_view Json);

// Response bodies of the table service.
boost::leaf::result<std::uint64_t> parseCommitted(std::string_view Json);
boost::leaf::result<std::vector<std::size_t>>
parseConflict(std::string_view Json);
boost::leaf::result<TableRow> parseRow(std::string_view Json);
boost::leaf::result<std::vector<TableRow>> parseScan(std::string_view Json);
std::string toJson(const std::vector<TableRow> &Rows);

} // namespace masticgap::protocol
