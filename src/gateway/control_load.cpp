#include "gateway/control_load.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace masticgap::gateway {

namespace {

//! A delay of this length is reported.
constexpr std::chrono::milliseconds ReportedDelay{250};
//! A period with so many messages, received and sent, is reported.
constexpr std::uint64_t ReportedMessages = 200;

//! Names of the kinds of GossipBody, in its order.
constexpr std::array<std::string_view,
                     std::variant_size_v<coordination::GossipBody>>
    KindNames{"ping",      "ping_request", "ack",      "rumor_push",
              "rumor_ack", "sync_request", "sync_page"};
constexpr std::size_t PushIndex = 3;
static_assert(std::is_same_v<
              std::variant_alternative_t<PushIndex, coordination::GossipBody>,
              coordination::RumorPush>);

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

ControlLoad::ControlLoad(DecisionLog &Log, Metrics &Stats, Instant Now)
    : Log(Log), Stats(Stats), ProcessorTimeBefore(std::clock()),
      PeriodStart(Now) {}

void ControlLoad::endPeriod(const transport::GossipCounters &Gossip,
                            Instant Due, Instant Now) {
  // The counters of a gossip node that was started again begin at 0.
  if (Gossip.MessagesSent < Before.MessagesSent)
    Before = {};
  for (std::size_t Kind = 0; Kind < KindNames.size(); ++Kind) {
    const std::string Name(KindNames.at(Kind));
    if (const auto New =
            Gossip.ReceivedByKind.at(Kind) - Before.ReceivedByKind.at(Kind))
      Stats.count("gossip_messages", Name + "_received", New);
    if (const auto New =
            Gossip.SentByKind.at(Kind) - Before.SentByKind.at(Kind))
      Stats.count("gossip_messages", Name + "_sent", New);
  }
  const std::uint64_t Received =
      Gossip.MessagesReceived - Before.MessagesReceived;
  const std::uint64_t Sent = Gossip.MessagesSent - Before.MessagesSent;
  const std::clock_t ProcessorTime = std::clock();
  if (Now - Due >= ReportedDelay || Received + Sent >= ReportedMessages)
    Log.write(
        LogClass::Decision, "control_load",
        {{"period_ms", milliseconds(Now - PeriodStart)},
         {"late_ms", milliseconds(Now - Due)},
         {"processor_ms",
          1000.0 * static_cast<double>(ProcessorTime - ProcessorTimeBefore) /
              CLOCKS_PER_SEC},
         {"received", Received},
         {"received_bytes", Gossip.BytesReceived - Before.BytesReceived},
         {"sent", Sent},
         {"sent_bytes", Gossip.BytesSent - Before.BytesSent},
         {"rumors_received", Gossip.ReceivedByKind.at(PushIndex) -
                                 Before.ReceivedByKind.at(PushIndex)},
         {"rumors_sent",
          Gossip.SentByKind.at(PushIndex) - Before.SentByKind.at(PushIndex)}});
  Before = Gossip;
  ProcessorTimeBefore = ProcessorTime;
  PeriodStart = Now;
}

} // namespace masticgap::gateway
