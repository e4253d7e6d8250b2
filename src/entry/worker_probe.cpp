#include "entry/worker_probe.hpp"

#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <memory>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

template <class T> T number(const json::object &Object, const char *Key) {
  const json::value *Value = Object.if_contains(Key);
  json::error_code Failure;
  const T Number = Value ? Value->to_number<T>(Failure) : T{};
  return Failure ? T{} : Number;
}

//! Maximum size of the load that a worker reports.
constexpr std::uint64_t MaxLoadBytes = 16 * 1024;

} // namespace

std::optional<WorkerLoad> parseWorkerLoadBody(std::string_view Json) {
  json::error_code Failure;
  const json::value Value = json::parse({Json.data(), Json.size()}, Failure);
  if (Failure || !Value.is_object())
    return std::nullopt;
  const json::object &Object = Value.as_object();
  WorkerLoad Load;
  Load.Load.InUse = number<unsigned>(Object, "in_use");
  Load.Load.Slots = number<unsigned>(Object, "slots");
  Load.Run = Incarnation{number<std::uint64_t>(Object, "incarnation")};
  const json::value *Leaving = Object.if_contains("leaving");
  Load.Leaving = Leaving && Leaving->is_bool() && Leaving->as_bool();
  if (Load.Load.Slots == 0)
    return std::nullopt;
  return Load;
}

void probeWorker(asio::io_context &Io, const WorkerDescriptor &Worker,
                 std::chrono::milliseconds Timeout,
                 std::function<void(std::optional<WorkerLoad>)> OnDone) {
  transport::fetch(
      Io, Worker.Address,
      transport::makeRequest(http::verb::get, Worker.Address, "/_load"),
      Timeout,
      [Done = std::move(OnDone)](boost::system::error_code Failure,
                                 const transport::HttpResponse &Answer) {
        if (Failure || Answer.result() != http::status::ok)
          return Done(std::nullopt);
        Done(parseWorkerLoadBody(Answer.body()));
      },
      MaxLoadBytes);
}

asio::awaitable<bool> isRunGone(asio::io_context &Io, WorkerDescriptor Worker,
                                std::chrono::milliseconds Timeout) {
  struct Probe {
    explicit Probe(asio::io_context &Io) : Ready(Io) {}
    asio::steady_timer Ready;
    std::optional<WorkerLoad> Load;
    bool Done = false;
  };
  const auto Shared = std::make_shared<Probe>(Io);
  Shared->Ready.expires_at(asio::steady_timer::time_point::max());
  probeWorker(Io, Worker, Timeout, [Shared](std::optional<WorkerLoad> Load) {
    Shared->Load = Load;
    Shared->Done = true;
    Shared->Ready.cancel();
  });
  if (!Shared->Done)
    co_await Shared->Ready.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return !Shared->Load || Shared->Load->Run != Worker.Run;
}

} // namespace masticgap::entry
