#include "ctl/command_line.hpp"
#include "ctl/report.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/transport/boot_clock.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <random>

DEFINE_string(platform, "", "platform, ip:port");
DEFINE_string(entry, "",
              "admin ports of entry hosts, ip:port[,ip:port...]; by default "
              "those of the platform's host list");
DEFINE_string(gateway, "", "metrics port of a gateway, ip:port");
DEFINE_string(host_name, "", "host name of the request to explain");
DEFINE_string(path, "", "path of the request to explain");
DEFINE_string(method, "", "method of the request to explain; by default GET");
DEFINE_string(account, "", "account of the request to explain");
DEFINE_string(object, "", "object of the request to explain");
DEFINE_string(operator, "", "who makes the change");
DEFINE_string(reason, "", "why the change is made");
DEFINE_string(expires, "",
              "end of an exception: 90m, 2h, 3d or Unix milliseconds");
DEFINE_string(id, "", "id of a new exception; by default KIND-SUBJECT");
DEFINE_string(service, "", "service of a new exception; by default all");
DEFINE_double(value, -1, "share of a new shift_cap exception, 0 to 1");
DEFINE_int64(base_version, -1, "version that the change was made from");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(no_wait, false, "do not wait until the change is in force");
DEFINE_bool(store_only, false,
            "make the change on the store's version without asking entry "
            "hosts for a newer one");
DEFINE_uint32(wait_ms, 20'000, "longest wait until a version is in force");
DEFINE_uint32(timeout_ms, 2'000, "timeout of each call");

namespace {

using namespace masticgap;

boost::leaf::result<ctl::CtlOptions> readOptions() {
  ctl::CtlOptions Options;
  Options.Json = FLAGS_json;
  if (!FLAGS_platform.empty()) {
    BOOST_LEAF_ASSIGN(Options.Platform,
                      ctl::parseEndpoint("--platform", FLAGS_platform));
  }
  BOOST_LEAF_ASSIGN(Options.AdminEndpoints,
                    ctl::parseEndpoints("--entry", FLAGS_entry));
  if (!FLAGS_gateway.empty()) {
    BOOST_LEAF_ASSIGN(Options.Gateway,
                      ctl::parseEndpoint("--gateway", FLAGS_gateway));
  }
  Options.HostName = FLAGS_host_name;
  Options.Path = FLAGS_path;
  Options.Method = FLAGS_method;
  Options.Account = FLAGS_account;
  Options.Object = FLAGS_object;
  Options.Operator = FLAGS_operator;
  Options.Reason = FLAGS_reason;
  Options.Expires = FLAGS_expires;
  Options.Id = FLAGS_id;
  Options.Service = FLAGS_service;
  if (FLAGS_value >= 0)
    Options.Value = FLAGS_value;
  if (FLAGS_base_version >= 0)
    Options.BaseVersion = static_cast<std::uint64_t>(FLAGS_base_version);
  Options.NoWait = FLAGS_no_wait;
  Options.StoreOnly = FLAGS_store_only;
  Options.WaitLimit = std::chrono::milliseconds(FLAGS_wait_ms);
  Options.CallTimeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  return Options;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage(ctl::usage());
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  const std::vector<std::string> CommandLine(Arguments + 1, Arguments + Count);
  ctl::CtlEnvironment Environment{
      transport::unixMilliseconds,
      [] { return static_cast<std::uint32_t>(std::random_device()()); },
      std::cout, std::cerr};
  const auto Options = capture<ctl::CtlOptions>(readOptions);
  if (const Error *E = std::get_if<Error>(&Options)) {
    ctl::printError({ctl::CtlOptions{}, Environment}, *E);
    return static_cast<int>(ctl::ExitCode::Usage);
  }
  return static_cast<int>(ctl::runCommand(std::get<ctl::CtlOptions>(Options),
                                          Environment, CommandLine));
}
