#include "masticgap/transport/gossip_node.hpp"

#include "masticgap/coordination/rumor_id.hpp"
#include "masticgap/protocol/gossip_codec.hpp"
#include "masticgap/state/error.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace masticgap::transport {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using boost::system::error_code;
using Udp = asio::ip::udp;
using namespace coordination;

namespace {

//! One byte more than the largest message, to detect longer datagrams.
constexpr std::size_t ReceiveBytes = MaxGossipBytes + 1;

template <class Function, class... Arguments>
void callIfSet(const Function &F, const Arguments &...Values) {
  if (F)
    F(Values...);
}

//! Returns whether the sender of a message regards a member as dead.
bool saysDead(const GossipMessage &Message, const MemberRecord &About) {
  return std::ranges::any_of(Message.Updates, [&](const MemberRecord &Record) {
    return Record.Host.Id == About.Host.Id &&
           Record.Host.Run == About.Host.Run &&
           Record.Status == MemberStatus::Dead;
  });
}

auto fail(ErrorKind Kind, std::string Message, std::string Remedy) {
  return leaf::new_error(Error{Kind, std::move(Message), std::move(Remedy)});
}

} // namespace

class GossipNode::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, GossipNodeSettings Parameters,
       GossipCallbacks Functions)
      : Io(Context), Socket(Context), Timer(Context),
        Settings(std::move(Parameters)), Callbacks(std::move(Functions)) {}

  leaf::result<void> open();
  void begin(HybridClock &Clock);
  void perform(const std::vector<MembershipAction> &Actions);
  void spread(const Rumor &What, RumorSettledHandler Done);
  void leave();
  void close();

  Instant now() const { return Settings.Now(); }
  Membership &member() { return *Member; }
  std::uint16_t port() const { return Port; }
  const GossipCounters &counters() const { return Counters; }
  void armTimer();

private:
  void setOptions();
  void receive();
  void onReceived(error_code Failed, std::size_t Size);
  void send(const SendGossip &Message);
  void onSettled(const RumorSettled &Result);
  void callSettledHandlers(std::uint64_t Id, const RumorSettled &Result);

  void execute(const SendGossip &A) { send(A); }
  void execute(const MemberChanged &A) {
    callIfSet(Callbacks.MemberChanged, A.Member);
  }
  void execute(const MemberProgressed &A) {
    callIfSet(Callbacks.MemberProgressed, A.Member);
  }
  void execute(const RumorLearned &A) {
    callIfSet(Callbacks.RumorLearned, A.What);
  }
  void execute(const RumorSettled &A) { onSettled(A); }
  void execute(const SelfSuperseded &A) {
    callIfSet(Callbacks.SelfSuperseded, A.Newer);
  }

  asio::io_context &Io;
  Udp::socket Socket;
  asio::steady_timer Timer;
  GossipNodeSettings Settings;
  GossipCallbacks Callbacks;
  std::unique_ptr<Membership> Member;
  GossipCounters Counters;
  Udp::endpoint Sender;
  std::array<std::byte, ReceiveBytes> Buffer{};
  std::map<std::uint64_t, std::vector<RumorSettledHandler>> SettledHandlers;
  std::uint16_t Port = 0;
  bool Receiving = false;
};

leaf::result<void> GossipNode::Impl::open() {
  if (!Settings.Now)
    return fail(ErrorKind::InvalidSettings, "the gossip node has no clock",
                "set GossipNodeSettings::Now");
  const EntryHostDescriptor &Self = Settings.Membership.Self;
  for (const std::string *Name : {&Self.Id.value(), &Self.Region.value(),
                                  &Self.Domain.value(), &Self.Address})
    if (Name->empty() || Name->size() > MaxGossipNameBytes)
      return fail(ErrorKind::InvalidSettings,
                  "name \"" + *Name + "\" cannot be sent in gossip messages",
                  "set host, region, failure domain and address to names of 1 "
                  "to 64 bytes");
  error_code Failed;
  const auto Address = asio::ip::make_address(Settings.BindAddress, Failed);
  if (Failed)
    return fail(ErrorKind::InvalidSettings,
                "gossip bind address \"" + Settings.BindAddress +
                    "\" is not an IP address",
                "set an IP address of this host");
  const Udp::endpoint Local(Address, Settings.BindPort);
  Socket.open(Local.protocol(), Failed);
  if (!Failed)
    Socket.bind(Local, Failed);
  if (!Failed)
    Socket.non_blocking(true, Failed);
  if (Failed)
    return fail(ErrorKind::Unavailable,
                "gossip port " + std::to_string(Settings.BindPort) +
                    " cannot be bound: " + Failed.message(),
                "free the port or set another one");
  setOptions();
  Port = Socket.local_endpoint().port();
  return {};
}

void GossipNode::Impl::setOptions() {
  const auto Bytes = static_cast<int>(Settings.SocketBufferBytes);
  error_code Failed;
  Socket.set_option(asio::socket_base::receive_buffer_size(Bytes), Failed);
  LOG_IF(WARNING, Failed) << "cannot set the gossip receive buffer to " << Bytes
                          << " bytes: " << Failed.message();
  Socket.set_option(asio::socket_base::send_buffer_size(Bytes), Failed);
  LOG_IF(WARNING, Failed) << "cannot set the gossip send buffer to " << Bytes
                          << " bytes: " << Failed.message();
}

void GossipNode::Impl::begin(HybridClock &Clock) {
  MembershipSettings &Parameters = Settings.Membership;
  if (Parameters.Self.GossipPort == 0)
    Parameters.Self.GossipPort = Port;
  Member = std::make_unique<Membership>(Parameters, Clock, now());
  receive();
  armTimer();
}

void GossipNode::Impl::armTimer() {
  if (!Socket.is_open())
    return;
  Timer.expires_after(Member->nextDeadline() - now());
  Timer.async_wait([Keep = shared_from_this()](error_code Failed) {
    if (Failed || !Keep->Socket.is_open())
      return;
    Keep->perform(Keep->Member->handle(MembershipTimer(), Keep->now()));
    if (!Keep->Receiving)
      Keep->receive();
  });
}

void GossipNode::Impl::receive() {
  if (!Socket.is_open())
    return;
  Receiving = true;
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [Keep = shared_from_this()](error_code Failed, std::size_t Size) {
        Keep->onReceived(Failed, Size);
      });
}

void GossipNode::Impl::onReceived(error_code Failed, std::size_t Size) {
  Receiving = false;
  // After an error, receiving resumes at the next timer event, so that a
  // persistent error does not cause a busy loop.
  if (Failed || !Socket.is_open())
    return;
  ++Counters.MessagesReceived;
  Counters.BytesReceived += Size;
  const Endpoint From{Sender.address().to_string(), Sender.port()};
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(Message,
                        protocol::decodeGossip(std::span(Buffer.data(), Size)));
        ++Counters.ReceivedByKind.at(Message.Body.index());
        callIfSet(Callbacks.Received, saysDead(Message, Member->self()));
        perform(
            Member->handle(GossipReceived{From, std::move(Message)}, now()));
        return {};
      },
      [&](const Error &E) {
        LOG_IF(WARNING, Counters.DecodeErrors++ == 0)
            << "dropped a gossip datagram from " << From.Address << ":"
            << From.Port << ": " << describe(E)
            << "; further dropped datagrams are counted, not logged";
      },
      [&] { ++Counters.DecodeErrors; });
  receive();
}

void GossipNode::Impl::send(const SendGossip &Message) {
  error_code Failed;
  const auto Address = asio::ip::make_address(Message.To.Address, Failed);
  if (Failed) {
    ++Counters.SendErrors;
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(Datagram, protocol::encodeGossip(Message.Message));
        Socket.send_to(asio::buffer(Datagram),
                       Udp::endpoint(Address, Message.To.Port), 0, Failed);
        // A datagram that the socket does not accept is treated as lost.
        if (Failed) {
          ++Counters.SendErrors;
          return {};
        }
        ++Counters.MessagesSent;
        ++Counters.SentByKind.at(Message.Message.Body.index());
        Counters.BytesSent += Datagram.size();
        callIfSet(Callbacks.Sent, Message.To, Datagram.size());
        return {};
      },
      [&](const Error &E) {
        LOG_IF(ERROR, Counters.SendErrors++ == 0)
            << "cannot send a gossip message: " << describe(E);
      },
      [&] { ++Counters.SendErrors; });
}

void GossipNode::Impl::perform(const std::vector<MembershipAction> &Actions) {
  for (const MembershipAction &Action : Actions)
    std::visit([&](const auto &A) { execute(A); }, Action);
  armTimer();
}

void GossipNode::Impl::spread(const Rumor &What, RumorSettledHandler Done) {
  if (Done)
    SettledHandlers[rumorId(What)].push_back(std::move(Done));
  perform(Member->spread(What, now()));
}

void GossipNode::Impl::onSettled(const RumorSettled &Result) {
  callSettledHandlers(rumorId(Result.What), Result);
}

void GossipNode::Impl::callSettledHandlers(std::uint64_t Id,
                                           const RumorSettled &Result) {
  const auto Handlers = SettledHandlers.extract(Id);
  if (Handlers.empty())
    return;
  for (const RumorSettledHandler &Done : Handlers.mapped())
    asio::post(Io, [Done, Result] { Done(Result); });
}

void GossipNode::Impl::leave() {
  if (!Socket.is_open())
    return;
  perform(Member->leave(now()));
  while (!SettledHandlers.empty())
    callSettledHandlers(SettledHandlers.begin()->first, RumorSettled());
  close();
}

void GossipNode::Impl::close() {
  error_code Ignored;
  Socket.close(Ignored);
  Timer.cancel();
  Callbacks = GossipCallbacks();
}

GossipNode::GossipNode(std::shared_ptr<Impl> Implementation)
    : State(std::move(Implementation)) {}

GossipNode::~GossipNode() { State->close(); }

leaf::result<std::unique_ptr<GossipNode>>
GossipNode::start(asio::io_context &Io, GossipNodeSettings Settings,
                  HybridClock &Clock, GossipCallbacks Callbacks) {
  auto Implementation =
      std::make_shared<Impl>(Io, std::move(Settings), std::move(Callbacks));
  BOOST_LEAF_CHECK(Implementation->open());
  Implementation->begin(Clock);
  return std::unique_ptr<GossipNode>(new GossipNode(std::move(Implementation)));
}

void GossipNode::spread(const Rumor &What, RumorSettledHandler Done) {
  State->spread(What, std::move(Done));
}

void GossipNode::share(const Rumor &What) {
  State->member().share(What, State->now());
}

void GossipNode::planLeave() {
  State->perform(State->member().planLeave(State->now()));
}

void GossipNode::leave() { State->leave(); }

void GossipNode::setProgress(std::uint64_t ConfigVersion, std::uint64_t Epoch) {
  State->member().setProgress(ConfigVersion, Epoch);
}

void GossipNode::learn(std::vector<MemberRecord> Records) {
  State->perform(
      State->member().handle(MembersLearned{std::move(Records)}, State->now()));
}

void GossipNode::addSeeds(std::span<const Endpoint> Seeds) {
  State->member().addSeeds(Seeds);
}

std::span<const MemberRecord> GossipNode::members() const {
  return State->member().members();
}

const MemberRecord &GossipNode::self() const { return State->member().self(); }

std::vector<TimedRumor> GossipNode::rumors() const {
  return State->member().rumors(State->now());
}

std::uint16_t GossipNode::port() const { return State->port(); }

const GossipCounters &GossipNode::counters() const { return State->counters(); }

} // namespace masticgap::transport
