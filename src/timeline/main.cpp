#include "timeline/event_filter.hpp"
#include "timeline/event_source.hpp"
#include "timeline/report.hpp"

#include "masticgap/state/error.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(from, "", "admin endpoints to fetch events from, ip:port,...");
DEFINE_uint64(since, 0, "fetch events after this sequence number only");
DEFINE_uint64(timeout_ms, 5000, "time limit of one fetch, in milliseconds");
DEFINE_string(request, "", "show events of this request id only");
DEFINE_uint64(explain_ms, 0,
              "with --request, also show what may explain its end: other "
              "events of its workers and hosts up to so many milliseconds "
              "before and after it");
DEFINE_string(worker, "", "show events of this worker only");
DEFINE_string(host, "", "show events by or about this host only");
DEFINE_string(change, "", "show events of this configuration change only");
DEFINE_string(html, "", "write an HTML page to this file in place of text");

using namespace masticgap;
using namespace masticgap::timeline;
namespace leaf = boost::leaf;

namespace {

using Events = std::vector<coordination::Event>;

void append(Events &All, Events Part) {
  All.insert(All.end(), std::make_move_iterator(Part.begin()),
             std::make_move_iterator(Part.end()));
}

leaf::result<Events> collect(std::span<char *const> Files) {
  BOOST_LEAF_AUTO(Admins, parseEndpoints(FLAGS_from));
  if (Files.empty() && Admins.empty())
    return leaf::new_error(
        Error{ErrorKind::InvalidSettings, "no events to read",
              "give files of event JSON lines or log lines, or "
              "--from=ip:port,..."});
  Events All;
  for (const char *Path : Files) {
    BOOST_LEAF_AUTO(Part, readEventFile(Path));
    append(All, std::move(Part));
  }
  for (const Endpoint &Admin : Admins) {
    BOOST_LEAF_AUTO(Part,
                    fetchEvents(Admin, FLAGS_since,
                                std::chrono::milliseconds(FLAGS_timeout_ms)));
    append(All, std::move(Part));
  }
  return All;
}

//! Returns the events that the options select, in causal order.
Events select(Events All) {
  if (FLAGS_explain_ms > 0 && !FLAGS_request.empty())
    return explainRequest(std::move(All), RequestId(FLAGS_request),
                          std::chrono::milliseconds(FLAGS_explain_ms));
  return mergeEvents(std::move(All),
                     {FLAGS_request, FLAGS_worker, FLAGS_host, FLAGS_change});
}

leaf::result<int> run(std::span<char *const> Files) {
  BOOST_LEAF_AUTO(All, collect(Files));
  const Events Shown = select(std::move(All));
  if (FLAGS_html.empty()) {
    std::cout << textReport(Shown);
    return EXIT_SUCCESS;
  }
  std::ofstream Page(FLAGS_html);
  Page << htmlReport(Shown);
  if (!Page.flush())
    return leaf::new_error(Error{ErrorKind::Unavailable,
                                 FLAGS_html + ": cannot be written",
                                 "give a file in a writable folder"});
  return EXIT_SUCCESS;
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage(
      "shows the events of several entry hosts in causal order\n"
      "masticgap-timeline [--html=FILE] [--request=ID [--explain_ms=N]] "
      "[--worker=ID] "
      "[--host=ID] [--change=ID] [--from=IP:PORT,...] [FILE...]");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  const std::span Files(Args + 1, static_cast<std::size_t>(ArgCount - 1));
  return leaf::try_handle_all(
      [&] { return run(Files); },
      [](const Error &E) {
        std::cerr << "masticgap-timeline: " << describe(E) << '\n';
        return EXIT_FAILURE;
      },
      [] {
        std::cerr << "masticgap-timeline: unexpected error; run it again with "
                     "fewer files to find the cause\n";
        return EXIT_FAILURE;
      });
}
