#pragma once

#include "masticgap/coordination/replica/replicated_table.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace masticgap::standins {

//! How the store responds to calls.
enum class StoreMode {
  Serve,    //!< Answers normally.
  Refuse,   //!< Answers 503.
  Throttle, //!< Answers 429.
  Silent    //!< Does not answer.
};

//! Stand-in of the platform's metadata store: tables in memory, reads and feeds
//! over HTTP. Runs in one thread.
class StoreServer {
public:
  //! Binds and starts to accept; port 0 takes a free port.
  StoreServer(boost::asio::io_context &Io, const Endpoint &Bind);
  ~StoreServer();

  Endpoint local() const { return Server.local(); }
  //! Returns the second address of the store, which can reject its callers
  //! while the first one serves.
  Endpoint sideDoor() const { return SecondServer.local(); }
  //! Makes the second address answer 503.
  void shutSideDoor(bool Shut) { RejectsOnSecondAddress = Shut; }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  void setMode(StoreMode New);
  //! Forgets all changes; pending feeds, and feeds that request changes from
  //! before now, get 410.
  void forgetHistory();
  //! Keeps a copy of all tables and of the version.
  void takeCopy();
  //! Returns to the last copy and starts the next era. Pending feeds from
  //! versions that the copy does not have get 410.
  void restore();
  //! Restores the copy after the next write of a host, before its answer, which
  //! states the next era.
  void restoreAtNextWrite() { RestoresAtWrite = true; }
  coordination::StoreEra era() const { return Era; }
  bool contains(const std::string &Table, const std::string &Key) const;
  std::uint64_t calls() const { return Calls; }

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  using Rows = std::map<std::string, Row>;
  struct PendingFeed;

  void handle(const transport::HttpRequest &Request,
              const transport::HttpServer::Reply &Reply);
  void feed(const transport::HttpRequest &Request,
            const transport::HttpServer::Reply &Reply);
  void control(const transport::HttpRequest &Request,
               const transport::HttpServer::Reply &Reply);
  void write(const transport::HttpRequest &Request,
             const transport::HttpServer::Reply &Reply);
  std::string rowsBody(const std::string &Table, std::uint64_t After,
                       bool WithRemoved) const;
  bool hasChanges(const std::string &Table, std::uint64_t After) const;
  //! Answers the pending feeds whose tables have changed.
  void answerChangedFeeds();

  boost::asio::io_context &Io;
  //! Answers with the header that states the era.
  transport::HttpResponse answer(const transport::HttpRequest &Request,
                                 boost::beast::http::status Status,
                                 const std::string &Body) const;
  //! Answers the feeds from versions that are not stored with 410.
  void answerUnknownFeeds();
  bool hasVersion(std::uint64_t After) const {
    return After >= Now.Oldest && After <= Now.Version;
  }

  //! What a restore returns to.
  struct Content {
    std::map<std::string, Rows> Tables;
    std::uint64_t Version = 1;
    std::uint64_t Oldest = 0; //!< Feeds from before this version get 410.
  };
  Content Now;
  Content Copy;
  coordination::StoreEra Era = 1;
  bool RestoresAtWrite = false;
  std::uint64_t Calls = 0;
  StoreMode Mode = StoreMode::Serve;
  //! Feeds without an answer, owned by this list only. Whoever removes one
  //! answers it.
  std::list<std::shared_ptr<PendingFeed>> PendingFeeds;
  //! Calls that get no answer; their connections stay open.
  std::list<transport::HttpServer::Reply> Unanswered;
  transport::HttpServer Server;
  transport::HttpServer SecondServer;
  bool RejectsOnSecondAddress = false;
};

} // namespace masticgap::standins
