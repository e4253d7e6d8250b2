#pragma once

#include "masticgap/coordination/affinity/worker_record.hpp"
#include "masticgap/coordination/fleet/worker_directory.hpp"
#include "masticgap/coordination/replica/replicated_table.hpp"
#include "masticgap/coordination/replica/table_follower.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/state/traffic_config.hpp"
#include "masticgap/transport/worker_dialect.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticgap::gateway {

//! Tables of the platform's store that a gateway follows.
enum class StoreTable {
  Operator, //!< Configuration and evacuations, written by the operator.
  Workers,  //!< Registrations, written by the workers.
  Hosts     //!< Gateways, written by each of them at its start.
};

//! Changes up to and including a version.
struct TableChanges {
  std::vector<coordination::RowChange> Changes;
  std::uint64_t Version = 0;
};

//! Calls to the platform's store. Each handler is called once, on the thread of
//! the gateway.
struct StoreApi {
  using ReadHandler = std::function<void(
      std::variant<coordination::TableSnapshot, coordination::StoreFailure>)>;
  using ChangesHandler = std::function<void(
      std::variant<TableChanges, coordination::StoreFailure>)>;

  std::function<void(StoreTable, ReadHandler)> Read;
  std::function<void(StoreTable, coordination::AwaitChanges, ChangesHandler)>
      Await;
  //! Writes this gateway's address to the table of hosts. The handler gets
  //! whether the write succeeded.
  std::function<void(std::string Host, std::string Address,
                     std::function<void(bool)>)>
      AnnounceHost;
};

//! Order of the operator to evacuate a failure domain.
struct Evacuation {
  FailureDomainName Domain;
};
//! Row of the operator's table that a gateway ignores.
struct IrrelevantRow {};
using OperatorRow = std::variant<std::shared_ptr<const TrafficConfig>,
                                 Evacuation, IrrelevantRow>;

//! Decodes rows of the store; an Error describes what is wrong with a row.
struct RowReader {
  std::function<Captured<OperatorRow>(const coordination::TableRow &)> Operator;
  std::function<Captured<coordination::WorkerRegistration>(
      const coordination::TableRow &)>
      Worker;
};

//! Parameters of a caller's look-up.
struct LookupQuery {
  std::string HostName;
  RegionName Region;
  FailureDomainName Domain;
};

//! Header names and formats between callers, gateways and workers.
struct WireFormat {
  std::string RequestIdField;
  std::string DeadlineField;       //!< Remaining milliseconds.
  std::string ExpectedWorkerField; //!< Id of the only worker that may run it.
  std::string SignatureField;      //!< Proves that a worker answered.
  std::string LoadField;           //!< Load of the answering worker.
  std::string AccountField;        //!< Tells a worker the account.
  std::string ObjectCookie;        //!< Names the object of a request.
  std::function<std::optional<coordination::QueueReport>(std::string_view)>
      ParseLoad;
  transport::WorkerDialect Workers;

  std::string ReadinessPath;
  std::string LookupPath;
  std::function<LookupQuery(std::string_view Target)> ParseLookup;
  std::function<std::string(std::span<const std::string> Addresses,
                            std::chrono::milliseconds Ttl)>
      LookupAnswer;
};

//! Interface between a gateway and the platform that it runs on.
struct PlatformApi {
  StoreApi Store;
  RowReader Rows;
  WireFormat Wire;
};

} // namespace masticgap::gateway
