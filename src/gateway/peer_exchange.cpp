#include "gateway/peer_exchange.hpp"

#include "masticgap/transport/http_fetch.hpp"

#include <boost/beast/http/verb.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <utility>

namespace masticgap::coordination {

template <class Archive> void serialize(Archive &Ar, TableRow &Row) {
  Ar(Row.Key, Row.Value, Row.Version);
}

template <class Archive> void serialize(Archive &Ar, TableImage &Image) {
  Ar(Image.Rows, Image.Version);
}

} // namespace masticgap::coordination

namespace masticgap::gateway {

namespace http = boost::beast::http;
using coordination::TableImage;

namespace {

constexpr std::string_view OperatorPath = "/peer/tables/operator";
constexpr std::string_view WorkersPath = "/peer/tables/workers";
//! A peer that does not answer in this time is cut off; another one is asked.
constexpr std::chrono::milliseconds FetchTimeout{1000};
//! Peers ask seldom and each on a connection of its own.
constexpr std::size_t MaxPeerConnections = 64;

transport::HttpServerLimits limits() {
  transport::HttpServerLimits Given;
  Given.MaxConnections = MaxPeerConnections;
  return Given;
}

} // namespace

std::string encodeImage(const TableImage &Image) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(Image);
  }
  return Out.str();
}

std::optional<TableImage> decodeImage(std::string_view Bytes) {
  std::istringstream In{std::string(Bytes)};
  TableImage Image;
  try {
    cereal::PortableBinaryInputArchive Archive(In);
    Archive(Image);
  } catch (const std::exception &) {
    // cereal reports short or damaged input only by exceptions.
    return std::nullopt;
  }
  return Image;
}

PeerExchange::PeerExchange(boost::asio::io_context &Io, const Endpoint &Bind,
                           Source Images)
    : Io(Io), OwnImage(std::move(Images)),
      Server(Io, Bind, limits(),
             [this](transport::HttpRequest Request,
                    const transport::HttpServer::Reply &Reply) {
               transport::HttpResponse Answer(http::status::not_found, 11);
               const std::string_view Path(Request.target().data(),
                                           Request.target().size());
               if (Path == OperatorPath || Path == WorkersPath) {
                 Answer.result(http::status::ok);
                 Answer.body() = encodeImage(
                     OwnImage(Path == OperatorPath ? StoreTable::Operator
                                                   : StoreTable::Workers));
               }
               Answer.keep_alive(false);
               Answer.prepare_payload();
               Reply(std::move(Answer));
             }) {}

void PeerExchange::fetch(const Endpoint &Peer, StoreTable Table, Handler Done) {
  const auto Path = Table == StoreTable::Operator ? OperatorPath : WorkersPath;
  transport::fetch(
      Io, Peer, transport::makeRequest(http::verb::get, Peer, Path),
      FetchTimeout,
      [Done = std::move(Done)](boost::system::error_code Failure,
                               const transport::HttpResponse &Answer) {
        if (Failure || Answer.result() != http::status::ok)
          return Done(std::nullopt);
        Done(decodeImage(Answer.body()));
      });
}

} // namespace masticgap::gateway
