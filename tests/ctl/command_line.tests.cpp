#include "ctl/command_line.hpp"

#include "ctl_world.hpp"
#include "masticgap/coordination/config_change.hpp"
#include "masticgap/state/captured.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace masticgap;
using masticgap::tests::CtlWorld;

namespace {

//! Compares with a file below tests/golden, or writes it when
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

//! File in a directory that is removed at the end.
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

std::string wholeSession(bool Json) {
  CtlWorld World;
  ctl::CtlOptions O = World.Options;
  O.Json = Json;
  const TemporaryFile Good(FirstConfig);
  const TemporaryFile Bad(R"({"defaults":{"max_shift":2},"services":{},)"
                          R"("exceptions":[]})");
  std::string Text;
  const auto Run = [&](const std::vector<std::string> &Line) {
    std::string Each = World.run(Line, O);
    for (const auto *File : {&Good, &Bad})
      for (auto At = Each.find(File->Path); At != std::string::npos;
           At = Each.find(File->Path))
        Each.replace(At, File->Path.size(), "FILE");
    Text += Each;
  };
  Run({"show"});
  Run({"validate", Good.Path});
  Run({"validate", Bad.Path});
  Run({"apply", Good.Path});
  O.BaseVersion = 0;
  Run({"apply", Good.Path});
  O.Reason = "first values";
  Run({"apply", Good.Path});
  O.Reason = "late file";
  Run({"apply", Good.Path});
  O.BaseVersion.reset();
  O.Reason = "fewer cold caches";
  Run({"set-default", "max_shift", "0.25"});
  Run({"set-default", "max_shift", "0.25"});
  Run({"set-default", "max_shift", "much"});
  Run({"set-default", "maxshift", "0.25"});
  Run({"set-default", "spill_order.luzon", R"(["visayas","mindanao"])"});
  Run({"set-default", "link_caps.luzon>visayas", "4000"});
  O.Reason = "power work";
  O.Expires = "2h";
  O.Service = "sahod";
  Run({"add-exception", "avoid_region", "luzon"});
  O.Service = "none";
  Run({"add-exception", "avoid_domain", "luz-a"});
  O.Service.clear();
  Run({"add-exception", "avoid_host", "e1"});
  O.Expires = "yesterday";
  Run({"add-exception", "avoid_domain", "luz-a"});
  O.Expires.clear();
  World.Hosts.ThirdIsBehind = true;
  O.WaitLimit = std::chrono::milliseconds(0);
  Run({"remove-exception", "avoid_region-luzon"});
  Run({"wait", "6"});
  World.Hosts.ThirdIsBehind = false;
  O.WaitLimit = World.Options.WaitLimit;
  Run({"wait", "6"});
  Run({"remove-exception", "none"});
  Run({"drain", "agenda-1"});
  Run({"drain", "e1"});
  Run({"undrain", "e1"});
  Run({"drain", "nobody"});
  Run({"undrain", "agenda-1"});
  O.Reason = "values of the first day";
  O.NoWait = true;
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

TEST_CASE("a whole session prints what the golden file holds") {
  checkGolden("ctl_session.txt", wholeSession(false));
}

TEST_CASE("a whole session in JSON prints what the golden file holds") {
  checkGolden("ctl_session_json.txt", wholeSession(true));
}

TEST_CASE("the loser of a race sees the other's change and exits with 3") {
  CtlWorld World;
  World.Options.Reason = "mine";
  REQUIRE(World.run({"set-default", "max_shift", "0.4"}, World.Options)
              .ends_with("exit 0\n\n"));
  // Entry hosts are asked between the read of the base and the submission.
  World.Hosts.OnStatus = [&, Done = false]() mutable {
    if (std::exchange(Done, true))
      return;
    const ctl::StoreAccess Store(*World.Options.Platform,
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
  checkGolden("ctl_race.txt",
              World.run({"set-default", "max_shift", "0.3"}, World.Options));
}

TEST_CASE("a change after a restore is made on what the entry hosts hold") {
  CtlWorld World;
  World.Options.Reason = "r";
  World.run({"set-default", "max_shift", "0.4"}, World.Options);
  ConfigDocument Held;
  Held.Version = 8;
  Held.BaseVersion = 7;
  Held.ChangeId = "lost-in-the-store";
  Held.Operator = "ben";
  Held.Reason = "kept by the hosts";
  Held.Defaults.RetryShare = 0.2;
  World.Hosts.Version = 8;
  World.Hosts.Config = toJson(Held);
  const std::string Text =
      World.run({"set-default", "max_shift", "0.3"}, World.Options);
  CAPTURE(Text);
  CHECK(World.Last == ctl::ExitCode::Done);
  const ctl::StoreAccess Store(*World.Options.Platform,
                               std::chrono::seconds(20));
  const auto Row = capture<ctl::CurrentRow>([&] { return Store.current(); });
  const ConfigDocument &Now = std::get<ctl::CurrentRow>(Row).Document;
  CHECK(Now.Version == 9);
  CHECK(Now.Defaults.RetryShare == 0.2);
  CHECK(Now.Defaults.MaxShift == 0.3);
}

TEST_CASE("without an answer of any entry host a change needs --store_only") {
  CtlWorld World;
  World.Options.Reason = "r";
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Unused(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  World.Options.AdminEndpoints = {
      {"127.0.0.1", Unused.local_endpoint().port()}};
  Unused.close();
  const std::vector<std::string> Line = {"set-default", "max_shift", "0.4"};
  World.Options.NoWait = true;
  CHECK(World.run(Line, World.Options).find("no entry host answered") !=
        std::string::npos);
  CHECK(World.Last == ctl::ExitCode::Failed);
  World.Options.StoreOnly = true;
  World.run(Line, World.Options);
  CHECK(World.Last == ctl::ExitCode::Done);
}

TEST_CASE("the reason of an entry host's refusal is shown") {
  CtlWorld World;
  World.Hosts.RefusesUndrain = true;
  CHECK(World.run({"undrain", "e1"}, World.Options)
            .find("entry host e1 answered 409 to /undrain; restart its "
                  "process") != std::string::npos);
  CHECK(World.Last == ctl::ExitCode::Failed);
}

TEST_CASE("a version is not in force when no entry host is known") {
  CtlWorld World;
  World.setHosts({});
  CHECK(
      World.run({"wait", "1"}, World.Options).find("no entry host is known") !=
      std::string::npos);
  CHECK(World.Last == ctl::ExitCode::Failed);
}

TEST_CASE("options that cannot be read name the option and what is accepted") {
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
    const auto Read = capture<Endpoint>(
        [&] { return ctl::parseEndpoint("--platform", C.Text); });
    CHECK(std::holds_alternative<Endpoint>(Read) == C.Good);
    if (const Error *E = std::get_if<Error>(&Read))
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
    const auto Read =
        capture<std::uint64_t>([&] { return ctl::parseExpires(C.Text, 1000); });
    CHECK(std::holds_alternative<std::uint64_t>(Read) == C.Good);
  }
}
