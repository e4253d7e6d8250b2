#include "ctl/store_access.hpp"

#include "ctl/ctl_options.hpp"
#include "masticgap/coordination/config_change.hpp"
#include "masticgap/coordination/config_rows.hpp"
#include "masticgap/transport/boot_clock.hpp"
#include "masticgap/transport/platform_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace masticgap::ctl {

namespace asio = boost::asio;
using namespace coordination;
using transport::PlatformClient;

namespace {

constexpr std::size_t MaxHistoryRows = 100'000;

//! Runs one asynchronous client call and blocks until it completes.
template <class T, class Function>
T await(const Endpoint &Platform, std::chrono::milliseconds Timeout,
        Function StartCall) {
  asio::io_context Io(1);
  transport::PlatformClientLimits Limits;
  Limits.Timeout = Timeout;
  PlatformClient Client(Io, Platform, Limits);
  std::optional<T> Answer;
  StartCall(Client, [&Answer](T Value) { Answer = std::move(Value); });
  Io.run();
  return std::move(*Answer);
}

//! Converts a captured value back into a result.
template <class T> boost::leaf::result<T> toResult(Captured<T> Value) {
  if (const Error *E = std::get_if<Error>(&Value))
    return boost::leaf::new_error(*E);
  return std::get<T>(std::move(Value));
}

//! Drives a ConfigChange with store responses and a timer.
class ConfigChangeRunner {
public:
  ConfigChangeRunner(asio::io_context &Io, PlatformClient &Client,
                     ConfigChange Change)
      : Timer(Io), Client(Client), Change(std::move(Change)) {}

  void send(const ConfigChangeEvent &Event) {
    for (ConfigChangeAction &A : Change.handle(Event, transport::now()))
      std::visit([this](auto &Action) { perform(Action); }, A);
  }

  std::optional<ConfigChangeResult> Result;

private:
  void perform(StoreTransact &Call) { call(std::move(Call)); }
  void perform(StoreRead &Call) { call(std::move(Call)); }
  void perform(ConfigChangeDone &Action) { Result = std::move(Action.Result); }

  void call(StoreCall Call) {
    Client.run(std::move(Call), [this](StoreAnswer Answer) {
      send(ConfigChangeAnswered{std::move(Answer)});
      if (!Result)
        scheduleTick();
    });
  }

  //! Schedules the next tick, which has no effect while a call is pending.
  void scheduleTick() {
    const Duration Left = Change.nextTick() - transport::now();
    Timer.expires_after(std::max(Left, Duration(0)));
    Timer.async_wait([this](boost::system::error_code Failure) {
      if (!Failure && !Result)
        send(ConfigChangeTick{});
    });
  }

  asio::steady_timer Timer;
  PlatformClient &Client;
  ConfigChange Change;
};

} // namespace

StoreAccess::StoreAccess(Endpoint Platform, std::chrono::milliseconds Timeout)
    : Platform(std::move(Platform)), Timeout(Timeout) {}

boost::leaf::result<StoreRow> StoreAccess::read(std::string Key) const {
  const StoreRead Call{1, std::string(ConfigTable), std::move(Key)};
  const auto Answer = await<StoreAnswer>(
      Platform, Timeout,
      [&](PlatformClient &Client, PlatformClient::StoreHandler OnDone) {
        Client.run(Call, std::move(OnDone));
      });
  if (const auto *Row = std::get_if<StoreRow>(&Answer))
    return *Row;
  return boost::leaf::new_error(
      Error{ErrorKind::Unavailable,
            "the platform at " + toString(Platform) + " gave no answer",
            "check --platform, or try again when the store is up"});
}

boost::leaf::result<CurrentRow> StoreAccess::current() const {
  BOOST_LEAF_AUTO(Row, read(std::string(ConfigCurrentKey)));
  CurrentRow Out;
  if (!Row.Found)
    return Out;
  BOOST_LEAF_AUTO(Document, parseConfigDocument(Row.Value));
  Out.RowVersion = Row.Version;
  Out.Document = std::move(Document);
  return Out;
}

boost::leaf::result<ConfigDocument>
StoreAccess::version(std::uint64_t Version) const {
  BOOST_LEAF_AUTO(Row, read(configHistoryKey(Version)));
  if (!Row.Found)
    return boost::leaf::new_error(Error{
        ErrorKind::NotFound, "there is no version " + std::to_string(Version),
        "list the versions with masticgap-ctl history"});
  return parseConfigDocument(Row.Value);
}

boost::leaf::result<std::vector<ConfigDocument>> StoreAccess::history() const {
  using Rows = std::vector<protocol::TableRow>;
  BOOST_LEAF_AUTO(
      HistoryRows,
      toResult(await<Captured<Rows>>(
          Platform, Timeout,
          [](PlatformClient &Client, PlatformClient::Handler<Rows> OnDone) {
            Client.scan(ConfigTable, ConfigHistoryPrefix, MaxHistoryRows,
                        std::move(OnDone));
          })));
  std::vector<ConfigDocument> Out;
  for (const protocol::TableRow &Row : HistoryRows) {
    BOOST_LEAF_AUTO(Document, parseConfigDocument(Row.Value));
    Out.push_back(std::move(Document));
  }
  return Out;
}

boost::leaf::result<protocol::HostList> StoreAccess::hosts() const {
  return toResult(await<Captured<protocol::HostList>>(
      Platform, Timeout,
      [](PlatformClient &Client,
         PlatformClient::Handler<protocol::HostList> OnDone) {
        Client.hosts(std::move(OnDone));
      }));
}

ConfigChangeResult StoreAccess::change(const ConfigDocument &Next,
                                       std::uint64_t BaseRowVersion,
                                       std::chrono::milliseconds Limit) const {
  asio::io_context Io(1);
  transport::PlatformClientLimits Limits;
  Limits.Timeout = Timeout;
  PlatformClient Client(Io, Platform, Limits);
  ConfigChangeRunner Runner(
      Io, Client, ConfigChange(Next, BaseRowVersion, transport::now() + Limit));
  Runner.send(ConfigChangeTick{});
  Io.run();
  return std::move(*Runner.Result);
}

} // namespace masticgap::ctl
