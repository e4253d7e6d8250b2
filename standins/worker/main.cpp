#include "standins/worker/worker.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 takes a free one");
DEFINE_string(id, "w1", "worker id");
DEFINE_string(service, "agenda", "service that this worker belongs to");
DEFINE_uint32(slots, 3, "requests that run at the same time");
DEFINE_double(service_ms, 5, "mean service time in milliseconds");
DEFINE_uint64(answer_bytes, 200, "padding of an answer in bytes");
DEFINE_uint64(incarnation, 1, "incarnation that the load endpoint reports");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(network, "", "JSON file with places and latencies");

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("stand-in for one upstream worker");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  masticgap::standins::WorkerSettings Settings;
  Settings.Bind = {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)};
  Settings.Id = FLAGS_id;
  Settings.Service = FLAGS_service;
  Settings.Run = {FLAGS_incarnation};
  Settings.Slots = FLAGS_slots;
  Settings.ServiceMs = FLAGS_service_ms;
  Settings.AnswerBytes = FLAGS_answer_bytes;
  Settings.Seed = FLAGS_seed;
  try {
    std::optional<masticgap::standins::NetworkMap> Network;
    if (!FLAGS_network.empty())
      Network = masticgap::standins::NetworkMap::load(FLAGS_network);
    boost::asio::io_context Io(1);
    masticgap::standins::Worker Worker(Io, Settings, Network);
    boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([&Io](auto, int) { Io.stop(); });
    std::cout << "listening " << Worker.local().Port << std::endl;
    Io.run();
  } catch (const std::exception &Failure) {
    std::cerr << "standin-worker: " << Failure.what() << '\n';
    return 1;
  }
}
