#include "entry/link_meter.hpp"

#include "masticgap/state/captured.hpp"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::entry;
namespace asio = boost::asio;

namespace {

const RegionName Home("luzon");
const RegionName Remote("visayas");

//! Budget of one host with a floor of 100,000 bytes/s in each direction. Each
//! call of the clock advances it by 1 ms.
struct MeterFixture {
  asio::io_context Io{1};
  coordination::LinkBudget Budget;
  Instant Time{std::chrono::seconds(100)};
  const Instant Start = Time;

  MeterFixture() {
    ConfigDocument Config;
    Config.Version = 1;
    Config.Defaults.MaxEntryHosts = 1;
    Config.Defaults.LinkCaps = {{Home, Remote, 8}, {Remote, Home, 8}};
    Budget.apply(Config, Time);
    Time += std::chrono::seconds(1);
  }

  LinkMeter::Timing timing() {
    return {[this] { return Time += std::chrono::milliseconds(1); },
            Time + std::chrono::milliseconds(300)};
  }

  template <class T> T run(asio::awaitable<T> Work) {
    T Result{};
    asio::co_spawn(Io, std::move(Work),
                   [&](const std::exception_ptr &Thrown, T Value) {
                     CHECK_FALSE(Thrown);
                     Result = Value;
                   });
    Io.restart();
    Io.run();
    return Result;
  }
};

asio::awaitable<std::uint64_t> readAll(LinkMeter &Meter) {
  std::uint64_t Received = 0;
  while (co_await Meter.mayRead(Received))
    Received += LinkMeter::LimitedReadUnit;
  Meter.received(Received);
  co_return Received;
}

} // namespace

// Guards against exceeding the link cap: an answer must not be read faster than
// tokens accrue.
TEST_CASE("an answer over a limited link is read only as tokens allow") {
  MeterFixture F;
  LinkMeter Meter(F.Io, F.Budget, Home, Remote, F.timing());
  REQUIRE(F.run(Meter.begin(1000)));
  CHECK(Meter.readUnit() == LinkMeter::LimitedReadUnit);
  const std::uint64_t Received = F.run(readAll(Meter));
  const double Seconds =
      std::chrono::duration<double>(F.Time - F.Start).count();
  CHECK(Received > 0);
  CHECK(static_cast<double>(Received) <= 100000 * Seconds);
}

TEST_CASE("traffic within a region is not limited") {
  MeterFixture F;
  LinkMeter Meter(F.Io, F.Budget, Home, Home, F.timing());
  CHECK(F.run(Meter.begin(std::uint64_t{1} << 40)));
  CHECK(Meter.readUnit() == LinkMeter::ReadUnit);
  CHECK(F.run(Meter.mayRead(std::uint64_t{1} << 40)));
}

TEST_CASE("a request larger than the link can carry in time is refused") {
  MeterFixture F;
  LinkMeter Meter(F.Io, F.Budget, Home, Remote, F.timing());
  CHECK_FALSE(F.run(Meter.begin(std::uint64_t{1} << 30)));
}

// Guards against reservations that are not returned: they would use up the link
// without traffic.
TEST_CASE("an unused reservation is returned to the link") {
  MeterFixture F;
  const auto FullBudget = F.Budget.largestSpend(Remote, Home, F.Time);
  for (int I = 0; I < 50; ++I) {
    LinkMeter Meter(F.Io, F.Budget, Home, Remote,
                    {[&] { return F.Time; }, F.Time});
    // The deadline has passed, so nothing is spent beyond the reservation.
    F.run(Meter.begin(1));
  }
  CHECK(F.Budget.trySpend(Remote, Home, FullBudget, F.Time));
}
