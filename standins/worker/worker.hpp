#pragma once

#include "masticgap/state/incarnation.hpp"
#include "masticgap/transport/http_server.hpp"
#include "standins/common/network_map.hpp"
#include "standins/worker/execution_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace masticgap::standins {

//! Settings of one worker stand-in.
struct WorkerSettings {
  Endpoint Bind;
  std::string Id;
  std::string Service;
  Incarnation Run;
  unsigned Slots = 3;
  double ServiceMs = 5;          //!< Mean of the exponential service time.
  std::size_t AnswerBytes = 200; //!< Size of the padding in an answer.
  //! Time after the start of leaving from which an arriving request is a
  //! violation.
  std::chrono::milliseconds LeavingGrace{3000};
  std::uint64_t Seed = 1;
};

//! Worker of an upstream with a limited number of slots. Refuses requests when
//! full or leaving; tests can make it report a false load, stall or crash.
class Worker {
public:
  Worker(boost::asio::io_context &Io, WorkerSettings Settings,
         std::optional<NetworkMap> Network);

  Endpoint local() const { return Server.local(); }

private:
  using Reply = transport::HttpServer::Reply;

  //! Faults that a test sets with POST /_control.
  struct Faults {
    bool Silent = false; //!< Accepts requests and never answers.
    //! If false, the worker runs requests that arrive while it is leaving, so
    //! that only the host list shows that it leaves.
    bool RefusesWhenLeaving = true;
    std::optional<unsigned> ReportedInUse; //!< False load report.
    std::string CrashOn; //!< Exits on a request body with this text.
    double ExtraMs = 0;  //!< Added to each service time.
  };

  void handle(transport::HttpRequest Request, const Reply &Respond);
  void serve(transport::HttpRequest Request, const Reply &Respond);
  void control(const transport::HttpRequest &Request, const Reply &Respond);
  void answer(const transport::HttpRequest &Request, const Reply &Respond);
  void refuse(const transport::HttpRequest &Request, const char *Reason,
              const Reply &Respond);
  void respondAfter(Duration Delay, transport::HttpResponse Answer,
                    const Reply &Respond);
  Duration roundTrip(const transport::HttpRequest &Request) const;
  std::string regionOf(const transport::HttpRequest &Request) const;
  std::string loadText() const;

  boost::asio::io_context &Io;
  WorkerSettings Settings;
  std::optional<NetworkMap> Network;
  Faults Fault;
  std::vector<Reply> Unanswered; //!< Replies to requests that get no answer.
  ExecutionLog Log;
  unsigned InUse = 0;
  std::optional<std::uint64_t> LeavingSinceMs;
  std::mt19937_64 Random;
  transport::HttpServer Server;
};

} // namespace masticgap::standins
