#include "entry/forward_attempt.hpp"

#include "entry/header_fields.hpp"
#include "entry/link_meter.hpp"
#include "masticgap/transport/worker_exchange.hpp"

#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
using coordination::AttemptEnd;
using transport::AttemptControl;
using transport::OutgoingRequest;
using transport::RequestPart;
using transport::WorkerExchange;

namespace {

//! Reads the next part of a large body and waits for its link tokens.
asio::awaitable<RequestPart> nextPart(CallerConnection *Caller,
                                      LinkMeter *Meter) {
  RequestPart Part = co_await Caller->readBodyPart();
  if (Part.Failed)
    co_return Part;
  const bool Allowed = co_await Meter->spendRequest(Part.Bytes.size());
  Part.Failed = !Allowed;
  co_return Part;
}

OutgoingRequest outgoing(const TrafficState &State, CallerConnection &Caller,
                         const CallerRequest &Request,
                         const AttemptTarget &Target, LinkMeter &Meter) {
  OutgoingRequest Message;
  Message.Head = outgoingHead(Request, Target.Destination.Address, Target.Peer,
                              State.now());
  Message.Body = Request.Body;
  if (Request.Streamed)
    Message.More = [From = &Caller, Tokens = &Meter] {
      return nextPart(From, Tokens);
    };
  return Message;
}

void readLoad(const WorkerExchange &Exchange, AttemptReport &Report) {
  const auto Text = Exchange.head()["Worker-Load"];
  Report.Load = parseWorkerLoad({Text.data(), Text.size()});
}

} // namespace

asio::awaitable<AttemptReport>
forwardOnce(TrafficState &State, CallerConnection &Caller,
            const CallerRequest &Request, AttemptTarget Target, bool KeepAnswer,
            AttemptControl &Control) {
  AttemptReport Report;
  const auto &Settings = State.Context.Settings;
  LinkMeter Meter(State.Context.Io, State.Links, Settings.Region, Target.Region,
                  {State.Context.Clock, Request.Deadline.at()});
  const OutgoingRequest Message =
      outgoing(State, Caller, Request, Target, Meter);
  const std::uint64_t Bytes = headBytes(Message.Head) + Message.Body.size();
  const bool HasTokens = co_await Meter.begin(Bytes);
  Report.LinkFull = !HasTokens;
  if (Report.LinkFull)
    co_return Report;
  WorkerExchange Exchange(State.Connections, State.Context.Clock,
                          {.Repeatable = Request.Repeatable,
                           .Deadline = Request.Deadline.at(),
                           .ConnectTimeout = Settings.Limits.ConnectTimeout,
                           .ReadUnit = Meter.readUnit()});
  const auto EarlyEnd =
      co_await Exchange.start(Target.Destination, Message, Control);
  Report.NoConnection = Exchange.limitReached();
  Meter.received(Exchange.bytesReceived());
  if (EarlyEnd) {
    Report.End = *EarlyEnd;
    co_return Report;
  }
  readLoad(Exchange, Report);
  AnswerRelay Relay(
      Caller, Request,
      {Target.Destination.Id.value(), State.configVersion(), Target.Peer},
      KeepAnswer);
  Report.End = co_await Relay.run(Exchange, Meter, Control);
  Report.AnswerStarted = Relay.started();
  if (Report.End == AttemptEnd::Answered)
    Report.Kept = Relay.takeKept();
  co_return Report;
}

} // namespace masticgap::entry
