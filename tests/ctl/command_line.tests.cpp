#include "ctl/command_line.hpp"

#include "ctl_fixture.hpp"
#include "masticgap/coordination/config_change.hpp"
#include "masticgap/state/captured.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace masticgap;
using masticgap::tests::CtlFixture;

namespace {

//! Compares text with a file in tests/golden, or writes the file if
//! MASTICGAP_UPDATE_GOLDEN is set.
void checkGolden(const std::string &Name, const std::string &Text) {
  const std::string Path = std::string(MASTICGAP_GOLDEN_DIR) + "/" + Name;
  if (std::getenv("MASTICGAP_UPDATE_GOLDEN"))
    std::ofstream(Path) << Text;
  std::ifstream File(Path);
  std::stringstream Expected;
  Expected << File.rdbuf();
  CHECK(Text == Expected.str());
}

//! File in a temporary directory, removed by the destructor.
struct TemporaryFile {
  std::filesystem::path Folder;
  std::string Path;

  explicit TemporaryFile(const std::string &Text) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "ctl-XXXXXX").string();
    REQUIRE(::mkdtemp(Pattern.data()) != nullptr);
    Folder = Pattern;
    Path = (Folder / "config.json").string();
    std::ofstream(Path) << Text;
  }
  ~TemporaryFile() { std::filesystem::remove_all(Folder); }
};

const char *const FirstConfig = R"({"defaults":{"max_shift":0.5},
  "services":{"agenda":{},"sahod":{"request_timeout_ms":900}},
  "exceptions":[]})";

//! Runs a sequence of commands and returns their output, with file paths
//! replaced by FILE.
std::string runSession(bool Json) {
  CtlFixture Fixture;
  ctl::CtlOptions RunOptions = Fixture.Options;
  RunOptions.Json = Json;
  const TemporaryFile Good(FirstConfig);
  const TemporaryFile Bad(R"({"defaults":{"max_shift":2},"services":{},)"
                          R"("exceptions":[]})");
  std::string Text;
  const auto Run = [&](const std::vector<std::string> &CommandLine) {
    std::string Output = Fixture.run(CommandLine, RunOptions);
    for (const auto *File : {&Good, &Bad})
      for (auto At = Output.find(File->Path); At != std::string::npos;
           At = Output.find(File->Path))
        Output.replace(At, File->Path.size(), "FILE");
    Text += Output;
  };
  Run({"show"});
  Run({"validate", Good.Path});
  Run({"validate", Bad.Path});
  Run({"apply", Good.Path});
  RunOptions.BaseVersion = 0;
  Run({"apply", Good.Path});
  RunOptions.Reason = "first values";
  Run({"apply", Good.Path});
  RunOptions.Reason = "late file";
  Run({"apply", Good.Path});
  RunOptions.BaseVersion.reset();
  RunOptions.Reason = "fewer cold caches";
  Run({"set-default", "max_shift", "0.25"});
  Run({"set-default", "max_shift", "0.25"});
  Run({"set-default", "max_shift", "much"});
  Run({"set-default", "maxshift", "0.25"});
  Run({"set-default", "spill_order.luzon", R"(["visayas","mindanao"])"});
  Run({"set-default", "link_caps.luzon>visayas", "4000"});
  RunOptions.Reason = "power work";
  RunOptions.Expires = "2h";
  RunOptions.Service = "sahod";
  Run({"add-exception", "avoid_region", "luzon"});
  RunOptions.Service = "none";
  Run({"add-exception", "avoid_domain", "luz-a"});
  RunOptions.Service.clear();
  Run({"add-exception", "avoid_host", "e1"});
  RunOptions.Expires = "yesterday";
  Run({"add-exception", "avoid_domain", "luz-a"});
  RunOptions.Expires.clear();
  Fixture.Hosts.ThirdIsBehind = true;
  RunOptions.WaitLimit = std::chrono::milliseconds(0);
  Run({"remove-exception", "avoid_region-luzon"});
  Run({"wait", "6"});
  Fixture.Hosts.ThirdIsBehind = false;
  RunOptions.WaitLimit = Fixture.Options.WaitLimit;
  Run({"wait", "6"});
  Run({"remove-exception", "none"});
  Run({"drain", "agenda-1"});
  Run({"drain", "e1"});
  Run({"undrain", "e1"});
  Run({"drain", "nobody"});
  Run({"undrain", "agenda-1"});
  RunOptions.Reason = "values of the first day";
  RunOptions.NoWait = true;
  Run({"rollback", "1"});
  Run({"rollback", "77"});
  Run({"show"});
  Run({"show", "4"});
  Run({"diff", "1", "4"});
  Run({"diff", "1"});
  Run({"history"});
  Run({"status"});
  Run({"wait"});
  Run({"color"});
  return Text;
}

} // namespace

TEST_CASE("a session prints the text of the golden file") {
  checkGolden("ctl_session.txt", runSession(false));
}

TEST_CASE("a session with --json prints the text of the golden file") {
  checkGolden("ctl_session_json.txt", runSession(true));
}

TEST_CASE("a change that loses a race prints the winner and exits with 3") {
  CtlFixture Fixture;
  Fixture.Options.Reason = "mine";
  REQUIRE(Fixture.run({"set-default", "max_shift", "0.4"}, Fixture.Options)
              .ends_with("exit 0\n\n"));
  // Entry hosts are queried between the read of the base and the submission,
  // so a change made then wins the race.
  Fixture.Hosts.OnStatus = [&, Done = false]() mutable {
    if (std::exchange(Done, true))
      return;
    const ctl::StoreAccess Store(*Fixture.Options.Platform,
                                 std::chrono::seconds(20));
    const auto Row = capture<ctl::CurrentRow>([&] { return Store.current(); });
    const auto &Base = std::get<ctl::CurrentRow>(Row);
    ConfigDocument Edited = Base.Document;
    Edited.Defaults.MaxShift = 0.1;
    Store.change(coordination::prepareChange(
                     Base.Document, Edited,
                     {"20260101T000030Z-00000077", "ben", "storm"}),
                 Base.RowVersion, std::chrono::seconds(20));
  };
  checkGolden("ctl_race.txt", Fixture.run({"set-default", "max_shift", "0.3"},
                                          Fixture.Options));
}

// A restored store may be older than the entry hosts. A change based on it
// would lose the changes in between.
TEST_CASE("a change after a restore is based on the entry hosts' version") {
  CtlFixture Fixture;
  Fixture.Options.Reason = "r";
  Fixture.run({"set-default", "max_shift", "0.4"}, Fixture.Options);
  ConfigDocument HostDocument;
  HostDocument.Version = 8;
  HostDocument.BaseVersion = 7;
  HostDocument.ChangeId = "lost-in-the-store";
  HostDocument.Operator = "ben";
  HostDocument.Reason = "kept by the hosts";
  HostDocument.Defaults.RetryShare = 0.2;
  Fixture.Hosts.Version = 8;
  Fixture.Hosts.Config = toJson(HostDocument);
  const std::string Text =
      Fixture.run({"set-default", "max_shift", "0.3"}, Fixture.Options);
  CAPTURE(Text);
  CHECK(Fixture.LastExit == ctl::ExitCode::Done);
  const ctl::StoreAccess Store(*Fixture.Options.Platform,
                               std::chrono::seconds(20));
  const auto Row = capture<ctl::CurrentRow>([&] { return Store.current(); });
  const ConfigDocument &Current = std::get<ctl::CurrentRow>(Row).Document;
  CHECK(Current.Version == 9);
  CHECK(Current.Defaults.RetryShare == 0.2);
  CHECK(Current.Defaults.MaxShift == 0.3);
}

TEST_CASE("a change needs --store_only if no entry host answers") {
  CtlFixture Fixture;
  Fixture.Options.Reason = "r";
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Unused(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  Fixture.Options.AdminEndpoints = {
      {"127.0.0.1", Unused.local_endpoint().port()}};
  Unused.close();
  const std::vector<std::string> CommandLine = {"set-default", "max_shift",
                                                "0.4"};
  Fixture.Options.NoWait = true;
  CHECK(Fixture.run(CommandLine, Fixture.Options)
            .find("no entry host answered") != std::string::npos);
  CHECK(Fixture.LastExit == ctl::ExitCode::Failed);
  Fixture.Options.StoreOnly = true;
  Fixture.run(CommandLine, Fixture.Options);
  CHECK(Fixture.LastExit == ctl::ExitCode::Done);
}

TEST_CASE("the error message of an entry host is printed") {
  CtlFixture Fixture;
  Fixture.Hosts.RefusesUndrain = true;
  CHECK(Fixture.run({"undrain", "e1"}, Fixture.Options)
            .find("entry host e1 answered 409 to /undrain; restart its "
                  "process") != std::string::npos);
  CHECK(Fixture.LastExit == ctl::ExitCode::Failed);
}

TEST_CASE("a version is not in force when no entry host is known") {
  CtlFixture Fixture;
  Fixture.setHosts({});
  CHECK(Fixture.run({"wait", "1"}, Fixture.Options)
            .find("no entry host is known") != std::string::npos);
  CHECK(Fixture.LastExit == ctl::ExitCode::Failed);
}

TEST_CASE("errors of invalid options name the option and the accepted values") {
  struct Case {
    const char *Text;
    bool Good;
  };
  const Case Endpoints[] = {{"10.0.0.1:80", true},  {"[::1]:80", true},
                            {"10.0.0.1", false},    {"host:80", false},
                            {"10.0.0.1:0", false},  {"10.0.0.1:65536", false},
                            {"10.0.0.1:8x", false}, {":80", false}};
  for (const auto &C : Endpoints) {
    CAPTURE(C.Text);
    const auto Parsed = capture<Endpoint>(
        [&] { return ctl::parseEndpoint("--platform", C.Text); });
    CHECK(std::holds_alternative<Endpoint>(Parsed) == C.Good);
    if (const Error *E = std::get_if<Error>(&Parsed))
      CHECK(describe(*E).starts_with("--platform is \"" + std::string(C.Text) +
                                     "\"; accepted: ip:port"));
  }
  const Case Times[] = {{"90m", true},
                        {"2h", true},
                        {"3d", true},
                        {"2000", true},
                        {"999", false},
                        {"0m", false},
                        {"m", false},
                        {"", false},
                        {"2w", false},
                        {"-2h", false},
                        {"99999999999999d", false}};
  for (const auto &C : Times) {
    CAPTURE(C.Text);
    const auto Parsed =
        capture<std::uint64_t>([&] { return ctl::parseExpires(C.Text, 1000); });
    CHECK(std::holds_alternative<std::uint64_t>(Parsed) == C.Good);
  }
}
