#include "gateway/peer_exchange.hpp"

#include "masticgap/transport/compression.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/beast/http/verb.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>
#include <tuple>
#include <utility>

namespace masticgap::coordination {

template <class Archive> void save(Archive &Ar, const RowChange &Change) {
  Ar(Change.Row.Key, Change.Row.Value, Change.Row.Version.packed(),
     Change.Removed);
}

template <class Archive> void save(Archive &Ar, const TableRow &Row) {
  Ar(Row.Key, Row.Value, Row.Version.packed());
}

} // namespace masticgap::coordination

namespace masticgap::gateway {

namespace http = boost::beast::http;

template <class Archive> void save(Archive &Ar, const PeerUpdate &Update) {
  const auto GraceMs = static_cast<std::uint32_t>(Update.LapseGrace.count());
  // Hosts of earlier versions ignore what follows the fields that they know.
  Ar(Update.Changes, Update.Version.packed(), Update.IsSnapshot, GraceMs > 0,
     GraceMs);
  Ar(Update.Held, static_cast<std::uint32_t>(Update.HeldGrace.count()));
  Ar(cereal::make_size_tag(
      static_cast<cereal::size_type>(Update.Ended.size())));
  for (const auto &[Id, Ended] : Update.Ended)
    Ar(Id.value(), Ended.Run.Value, Ended.Era);
}

namespace {

using Input = cereal::PortableBinaryInputArchive;

// cereal allocates the size that the input states before it reads the elements,
// and reads any byte into a bool. The functions below read the same format, but
// allocate no more than about the size of the input.

std::uint64_t loadSize(Input &Ar) {
  cereal::size_type Size = 0;
  Ar(cereal::make_size_tag(Size));
  return Size;
}

std::string loadText(Input &Ar) {
  constexpr std::uint64_t PartBytes = 64 * 1024;
  std::string Text;
  for (std::uint64_t Rest = loadSize(Ar); Rest > 0;) {
    const auto Part = static_cast<std::size_t>(std::min(Rest, PartBytes));
    const std::size_t At = Text.size();
    Text.resize(At + Part);
    Ar(cereal::binary_data(Text.data() + At, Part));
    Rest -= Part;
  }
  return Text;
}

bool loadFlag(Input &Ar) {
  std::uint8_t Byte = 0;
  Ar(Byte);
  if (Byte > 1)
    throw cereal::Exception("a flag is neither 0 nor 1");
  return Byte == 1;
}

coordination::StorePosition loadPosition(Input &Ar) {
  std::uint64_t Packed = 0;
  Ar(Packed);
  return coordination::StorePosition::unpack(Packed);
}

coordination::TableRow loadRow(Input &Ar) {
  coordination::TableRow Row;
  Row.Key = loadText(Ar);
  Row.Value = loadText(Ar);
  Row.Version = loadPosition(Ar);
  return Row;
}

coordination::RowChange loadChange(Input &Ar) {
  coordination::RowChange Change;
  Change.Row = loadRow(Ar);
  Change.Removed = loadFlag(Ar);
  return Change;
}

//! Grace period of a host that states only that there is one, as hosts of
//! earlier versions do.
constexpr std::chrono::seconds UnstatedGrace{2};

PeerUpdate loadUpdate(Input &Ar, std::istream &Stream) {
  PeerUpdate Update;
  for (std::uint64_t Rest = loadSize(Ar); Rest > 0; --Rest)
    Update.Changes.push_back(loadChange(Ar));
  Update.Version = loadPosition(Ar);
  Update.IsSnapshot = loadFlag(Ar);
  if (loadFlag(Ar))
    Update.LapseGrace = UnstatedGrace;
  if (Stream.peek() == std::istream::traits_type::eof())
    return Update;
  std::uint32_t GraceMs = 0;
  Ar(GraceMs);
  Update.LapseGrace = std::chrono::milliseconds(GraceMs);
  if (Stream.peek() == std::istream::traits_type::eof())
    return Update;
  for (std::uint64_t Rest = loadSize(Ar); Rest > 0; --Rest)
    Update.Held.push_back(loadRow(Ar));
  std::uint32_t HeldGraceMs = 0;
  Ar(HeldGraceMs);
  Update.HeldGrace = std::chrono::milliseconds(HeldGraceMs);
  for (std::uint64_t Rest = loadSize(Ar); Rest > 0; --Rest) {
    const std::string Id = loadText(Ar);
    coordination::EndedIncarnation Ended;
    Ar(Ended.Run.Value, Ended.Era);
    Update.Ended.emplace_back(WorkerId(Id), Ended);
  }
  return Update;
}

constexpr std::string_view ChangesPath = "/peer/changes";
//! Time for a peer's answer beyond the requested wait. After it the fetch fails
//! and another peer is queried.
constexpr std::chrono::milliseconds FetchReserve{1000};
//! Longest wait that a peer may request.
constexpr std::uint64_t MaxWaitMs = 30000;
//! Each host of a failure domain keeps a query for each of two tables open at
//! its reader.
constexpr std::size_t MaxPeerConnections = 512;

transport::HttpServerLimits limits() {
  transport::HttpServerLimits Limits;
  Limits.MaxConnections = MaxPeerConnections;
  return Limits;
}

//! Smaller answers are sent as they are.
constexpr std::size_t MinCompressedBytes = 1024;
constexpr std::size_t MaxUpdateBytes = 64 * 1024 * 1024;

boost::beast::string_view headerName() {
  return {transport::CompressionName.data(), transport::CompressionName.size()};
}

bool acceptsCompression(const transport::HttpRequest &Request) {
  return Request[http::field::accept_encoding] == headerName();
}

std::uint64_t numberParameter(std::string_view Target, std::string_view Name) {
  const std::string Text = transport::queryParameter(Target, Name);
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

PeerUpdateQuery parseQuery(std::string_view Target) {
  PeerUpdateQuery Query;
  Query.Table = transport::queryParameter(Target, "table") == "workers"
                    ? StoreTable::Workers
                    : StoreTable::Operator;
  Query.AfterVersion =
      coordination::StorePosition::unpack(numberParameter(Target, "after"));
  Query.Wait = std::chrono::milliseconds(
      std::min(MaxWaitMs, numberParameter(Target, "wait_ms")));
  Query.FromReader = numberParameter(Target, "reader") == 1;
  return Query;
}

std::string queryTarget(const PeerUpdateQuery &Query) {
  return std::string(ChangesPath) + "?table=" +
         (Query.Table == StoreTable::Workers ? "workers" : "operator") +
         "&after=" + std::to_string(Query.AfterVersion.packed()) +
         "&wait_ms=" + std::to_string(Query.Wait.count()) +
         "&reader=" + (Query.FromReader ? "1" : "0");
}

transport::HttpResponse makeAnswer(const std::optional<PeerUpdate> &Update,
                                   bool Compress) {
  transport::HttpResponse Answer(
      Update ? http::status::ok : http::status::service_unavailable, 11);
  if (Update)
    Answer.body() = encodeUpdate(*Update);
  if (Compress && Answer.body().size() >= MinCompressedBytes) {
    Answer.body() = transport::compress(Answer.body());
    Answer.set(http::field::content_encoding, headerName());
  }
  Answer.keep_alive(false);
  Answer.prepare_payload();
  return Answer;
}

} // namespace

std::string encodeUpdate(const PeerUpdate &Update) {
  std::ostringstream Stream;
  {
    cereal::PortableBinaryOutputArchive Archive(Stream);
    Archive(Update);
  }
  return Stream.str();
}

std::optional<PeerUpdate> decodeUpdate(std::string_view Bytes) {
  std::istringstream Stream{std::string(Bytes)};
  try {
    Input Archive(Stream);
    return loadUpdate(Archive, Stream);
  } catch (const std::exception &) {
    // cereal reports truncated or malformed input only by exceptions.
    return std::nullopt;
  }
}

PeerExchange::PeerExchange(boost::asio::io_context &Io, const Endpoint &Bind,
                           Source Updates)
    : Io(Io), LocalUpdate(std::move(Updates)),
      Server(Io, Bind, limits(),
             [this](const transport::HttpRequest &Request,
                    const transport::HttpServer::Reply &Reply) {
               serve(Request, Reply);
             }) {}

PeerExchange::~PeerExchange() = default;

void PeerExchange::serve(const transport::HttpRequest &Request,
                         const transport::HttpServer::Reply &Reply) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  if (transport::targetPath(Target) != ChangesPath)
    return Reply(transport::errorResponse(Request, http::status::not_found,
                                          "not_found", "no such call"));
  const PeerUpdateQuery Query = parseQuery(Target);
  const auto Update = LocalUpdate(Query);
  const bool Compress = acceptsCompression(Request);
  if (!Update || !Update->Changes.empty() || Update->IsSnapshot ||
      Query.Wait.count() == 0)
    return Reply(makeAnswer(Update, Compress));
  auto Pending = std::make_shared<Waiter>(Io, Query, Compress, Reply);
  Waiters.push_back(Pending);
  Pending->Timer.expires_after(Query.Wait);
  Pending->Timer.async_wait([this, WeakPending = std::weak_ptr(Pending)](
                                boost::system::error_code Failure) {
    // notify() or the destructor may have removed the query after this handler
    // was queued, which cancelling the timer does not undo.
    const WaiterPtr Due = WeakPending.lock();
    if (!Failure && Due && std::erase(Waiters, Due) > 0)
      answer(Due);
  });
}

void PeerExchange::answer(const WaiterPtr &Due) {
  Due->Reply(makeAnswer(LocalUpdate(Due->Query), Due->Compress));
}

void PeerExchange::notify() {
  using Key = std::tuple<StoreTable, coordination::StorePosition, bool, bool>;
  std::map<Key, std::optional<transport::HttpResponse>> Answers;
  std::list<std::pair<WaiterPtr, transport::HttpResponse>> Due;
  for (auto Entry = Waiters.begin(); Entry != Waiters.end();) {
    const Waiter &Peer = **Entry;
    const auto [Answer, Added] =
        Answers.try_emplace(Key(Peer.Query.Table, Peer.Query.AfterVersion,
                                Peer.Query.FromReader, Peer.Compress));
    if (Added) {
      const auto Update = LocalUpdate(Peer.Query);
      if (!Update || Update->IsSnapshot || !Update->Changes.empty())
        Answer->second = makeAnswer(Update, Peer.Compress);
    }
    const auto Next = std::next(Entry);
    if (Answer->second) {
      Due.emplace_back(*Entry, *Answer->second);
      Waiters.erase(Entry);
    }
    Entry = Next;
  }
  for (auto &[Peer, Answer] : Due) {
    Peer->Timer.cancel();
    Peer->Reply(std::move(Answer));
  }
}

void PeerExchange::fetch(const Endpoint &Peer, const PeerUpdateQuery &Query,
                         Handler Done) {
  const std::string Target = queryTarget(Query);
  auto Request = transport::makeRequest(http::verb::get, Peer, Target);
  Request.set(http::field::accept_encoding, headerName());
  transport::fetch(
      Io, Peer, std::move(Request), Query.Wait + FetchReserve,
      [Done = std::move(Done), Count = CountBytes, Peer,
       QueryBytes = Target.size()](boost::system::error_code Failure,
                                   const transport::HttpResponse &Answer) {
        if (Count)
          Count(Peer, QueryBytes + Answer.body().size());
        if (Failure || Answer.result() != http::status::ok)
          return Done(std::nullopt);
        if (Answer[http::field::content_encoding] != headerName())
          return Done(decodeUpdate(Answer.body()));
        const auto Plain = transport::decompress(Answer.body(), MaxUpdateBytes);
        Done(Plain ? decodeUpdate(*Plain) : std::nullopt);
      });
}

} // namespace masticgap::gateway
