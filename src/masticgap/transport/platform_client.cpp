#include "masticgap/transport/platform_client.hpp"

#include "masticgap/transport/boot_clock.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/post.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <deque>
#include <utility>

namespace masticgap::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace coord = coordination;

namespace {

std::string encoded(std::string_view Text) {
  return boost::urls::encode({Text.data(), Text.size()},
                             boost::urls::unreserved_chars);
}

Error unavailable(const Endpoint &Platform, const std::string &Reason) {
  return {ErrorKind::Unavailable,
          "the platform at " + Platform.Address + ":" +
              std::to_string(Platform.Port) + " did not answer (" + Reason +
              ")",
          "check that the platform is running and --platform is correct"};
}

Error unexpectedStatus(const HttpResponse &Answer) {
  return {Answer.result() == http::status::not_found ? ErrorKind::NotFound
                                                     : ErrorKind::Unavailable,
          "the platform answered " + std::to_string(Answer.result_int()) +
              ": " + Answer.body().substr(0, 200),
          "try again later"};
}

//! Converts the answer to a transaction. After an unreadable answer it is
//! unknown whether the transaction was committed, so the result is StoreLost.
coord::StoreAnswer transactAnswer(std::uint64_t CallId,
                                  const HttpResponse &Answer) {
  if (Answer.result() == http::status::ok) {
    const auto Parsed = capture<std::uint64_t>(
        [&] { return protocol::parseCommitted(Answer.body()); });
    if (const auto *Version = std::get_if<std::uint64_t>(&Parsed))
      return coord::StoreCommitted{CallId, *Version};
  }
  if (Answer.result() == http::status::conflict) {
    using Indexes = std::vector<std::size_t>;
    auto Parsed = capture<Indexes>(
        [&] { return protocol::parseConflict(Answer.body()); });
    if (auto *Failed = std::get_if<Indexes>(&Parsed))
      return coord::StoreConflict{CallId, std::move(*Failed)};
  }
  return coord::StoreLost{CallId};
}

coord::StoreAnswer readAnswer(std::uint64_t CallId,
                              const HttpResponse &Answer) {
  if (Answer.result() == http::status::not_found)
    return coord::StoreRow{CallId, false, 0, {}};
  if (Answer.result() != http::status::ok)
    return coord::StoreLost{CallId};
  auto Parsed = capture<protocol::TableRow>(
      [&] { return protocol::parseRow(Answer.body()); });
  if (auto *Row = std::get_if<protocol::TableRow>(&Parsed))
    return coord::StoreRow{CallId, true, Row->Version, std::move(Row->Value)};
  return coord::StoreLost{CallId};
}

} // namespace

//! Sends calls with bounded concurrency; further calls wait in a FIFO queue.
class PlatformClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  using Done = std::function<void(Captured<HttpResponse>)>;

  Impl(asio::io_context &Io, Endpoint Platform, PlatformClientLimits Limits)
      : Platform(std::move(Platform)), Io(Io), Limits(Limits) {}

  void send(http::verb Method, const std::string &Target, std::string Body,
            Done OnDone) {
    if (Waiting.size() >= Limits.MaxWaiting)
      return failLater(std::move(OnDone), "too many calls are waiting");
    Waiting.push_back({makeRequest(Method, Platform, Target, std::move(Body)),
                       now() + std::chrono::milliseconds(Limits.Timeout),
                       std::move(OnDone)});
    startNext();
  }

  //! Fails all waiting calls and starts no new ones.
  void close() {
    Closed = true;
    for (Call &WaitingCall : std::exchange(Waiting, {}))
      failLater(std::move(WaitingCall.OnDone), "the client is closed");
  }

  const Endpoint Platform;

private:
  struct Call {
    HttpRequest Request;
    Instant Deadline;
    Done OnDone;
  };

  void failLater(Done OnDone, const std::string &Reason) {
    asio::post(Io,
               [OnDone = std::move(OnDone),
                Failure = unavailable(Platform, Reason)] { OnDone(Failure); });
  }

  void startNext() {
    while (!Closed && OpenCalls < Limits.MaxConcurrent && !Waiting.empty()) {
      Call Next = std::move(Waiting.front());
      Waiting.pop_front();
      start(std::move(Next));
    }
  }

  void start(Call Next) {
    const auto Remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(Next.Deadline -
                                                              now());
    if (Remaining.count() <= 0)
      return failLater(std::move(Next.OnDone),
                       "timed out before the call was sent");
    ++OpenCalls;
    fetch(Io, Platform, std::move(Next.Request), Remaining,
          [Self = shared_from_this(), OnDone = std::move(Next.OnDone)](
              boost::system::error_code Failure, HttpResponse Answer) {
            --Self->OpenCalls;
            Self->startNext();
            if (Failure)
              return OnDone(unavailable(Self->Platform, Failure.message()));
            OnDone(std::move(Answer));
          });
  }

  asio::io_context &Io;
  PlatformClientLimits Limits;
  bool Closed = false;
  std::size_t OpenCalls = 0;
  std::deque<Call> Waiting;
};

PlatformClient::PlatformClient(asio::io_context &Io, Endpoint Platform,
                               PlatformClientLimits Limits)
    : Pimpl(std::make_shared<Impl>(Io, std::move(Platform), Limits)) {}

PlatformClient::~PlatformClient() { Pimpl->close(); }

void PlatformClient::run(coord::StoreCall Call, StoreHandler OnDone) {
  if (const auto *Read = std::get_if<coord::StoreRead>(&Call)) {
    const std::string Target = "/table/row?table=" + encoded(Read->Table) +
                               "&key=" + encoded(Read->Key);
    return Pimpl->send(
        http::verb::get, Target, {},
        [Id = Read->CallId,
         OnDone = std::move(OnDone)](const Captured<HttpResponse> &Answer) {
          const auto *Response = std::get_if<HttpResponse>(&Answer);
          OnDone(Response ? readAnswer(Id, *Response) : coord::StoreLost{Id});
        });
  }
  const auto &Transact = std::get<coord::StoreTransact>(Call);
  Pimpl->send(
      http::verb::post, "/table/transact", protocol::toJson(Transact.Ops),
      [Id = Transact.CallId,
       OnDone = std::move(OnDone)](const Captured<HttpResponse> &Answer) {
        const auto *Response = std::get_if<HttpResponse>(&Answer);
        OnDone(Response ? transactAnswer(Id, *Response) : coord::StoreLost{Id});
      });
}

namespace {

//! Returns a handler that parses the body of an answer with status 200.
template <class T, class Function>
auto parseWith(PlatformClient::Handler<T> OnDone, Function Parse) {
  return [OnDone = std::move(OnDone),
          Parse](const Captured<HttpResponse> &Answer) {
    if (const auto *Failure = std::get_if<Error>(&Answer))
      return OnDone(*Failure);
    const auto &Response = std::get<HttpResponse>(Answer);
    if (Response.result() != http::status::ok)
      return OnDone(unexpectedStatus(Response));
    OnDone(capture<T>([&] { return Parse(Response.body()); }));
  };
}

} // namespace

void PlatformClient::scan(std::string_view Table, std::string_view Prefix,
                          std::size_t Limit,
                          Handler<std::vector<protocol::TableRow>> OnDone) {
  Pimpl->send(http::verb::get,
              "/table/scan?table=" + encoded(Table) + "&prefix=" +
                  encoded(Prefix) + "&limit=" + std::to_string(Limit),
              {}, parseWith(std::move(OnDone), protocol::parseScan));
}

void PlatformClient::hosts(Handler<protocol::HostList> OnDone) {
  Pimpl->send(http::verb::get, "/hosts", {},
              parseWith(std::move(OnDone), protocol::readHostList));
}

void PlatformClient::putObject(std::string_view Name, std::string Bytes,
                               Handler<std::monostate> OnDone) {
  Pimpl->send(http::verb::put, "/objects/" + std::string(Name),
              std::move(Bytes),
              parseWith(std::move(OnDone), [](const std::string &) {
                return boost::leaf::result<std::monostate>(std::monostate{});
              }));
}

void PlatformClient::getObject(std::string_view Name,
                               Handler<std::string> OnDone) {
  Pimpl->send(http::verb::get, "/objects/" + std::string(Name), {},
              parseWith(std::move(OnDone), [](const std::string &Body) {
                return boost::leaf::result<std::string>(Body);
              }));
}

} // namespace masticgap::transport
