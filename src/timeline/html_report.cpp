#include "timeline/report.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <string_view>
#include <vector>

namespace masticgap::timeline {

using coordination::Event;
using coordination::EventKind;

namespace {

// Chart dimensions in pixels.
constexpr std::size_t LeftMargin = 160;
constexpr std::size_t RightMargin = 40;
constexpr std::size_t TopMargin = 30;
constexpr std::size_t LaneHeight = 48;
constexpr std::size_t EventSpacing = 28;
constexpr std::size_t DotRadius = 6;

constexpr std::string_view PageStart = R"(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>masticgap time line</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
svg { background: #fafafa; border: 1px solid #ccc; }
.scroll { overflow-x: auto; }
.lane { stroke: #bbb; }
.arrow { stroke: #36c; fill: none; marker-end: url(#head); }
.good { fill: #2a2; }
.bad { fill: #c22; }
.other { fill: #666; }
table { border-collapse: collapse; margin-top: 1em; }
td, th { border: 1px solid #ccc; padding: 2px 6px; text-align: left; }
</style>
</head>
<body>
<h1>masticgap time line</h1>
)";

constexpr std::string_view ArrowHead =
    R"(<defs><marker id="head" viewBox="0 0 10 10" refX="10" refY="5" )"
    R"(markerWidth="7" markerHeight="7" orient="auto">)"
    R"(<path d="M0 0 L10 5 L0 10 z" fill="#36c"/></marker></defs>)"
    "\n";

//! Escapes text for HTML.
std::string escape(std::string_view Text) {
  std::string Result;
  for (const char C : Text) {
    switch (C) {
    case '&':
      Result += "&amp;";
      break;
    case '<':
      Result += "&lt;";
      break;
    case '>':
      Result += "&gt;";
      break;
    case '"':
      Result += "&quot;";
      break;
    default:
      Result += C;
    }
  }
  return Result;
}

//! Returns the CSS class of an event's dot.
std::string_view cssClass(EventKind Kind) {
  switch (Kind) {
  case EventKind::RequestAnswered:
  case EventKind::ConfigInForce:
    return "good";
  case EventKind::RequestNotRun:
  case EventKind::RequestUnknown:
  case EventKind::WorkerEjected:
    return "bad";
  default:
    return "other";
  }
}

//! SVG chart of events with one lane for each process. Columns follow causal
//! order rather than time, so that events within microseconds stay apart.
class SvgChart {
public:
  explicit SvgChart(std::span<const Event> Shown) : Events(Shown) {
    for (const Event &E : Events)
      Lanes.try_emplace(E.Host.value(), 0);
    std::size_t Lane = 0;
    for (auto &[Host, Number] : Lanes)
      Number = Lane++;
  }

  std::string draw() const {
    std::ostringstream Out;
    Out << "<div class=\"scroll\">\n<svg xmlns=\"http://www.w3.org/2000/svg\" "
        << "width=\"" << width() << "\" height=\""
        << 2 * TopMargin + Lanes.size() * LaneHeight << "\">\n"
        << ArrowHead;
    drawLanes(Out);
    drawArrows(Out);
    drawEvents(Out);
    Out << "</svg>\n</div>\n";
    return Out.str();
  }

private:
  std::size_t width() const { return x(Events.size()) + RightMargin; }
  static std::size_t x(std::size_t Column) {
    return LeftMargin + EventSpacing + Column * EventSpacing;
  }
  std::size_t y(const std::string &Host) const {
    return TopMargin + LaneHeight / 2 + Lanes.at(Host) * LaneHeight;
  }

  void drawLanes(std::ostream &Out) const {
    for (const auto &[Host, Lane] : Lanes)
      Out << "<text x=\"10\" y=\"" << y(Host) + 4 << "\">" << escape(Host)
          << "</text><line class=\"lane\" x1=\"" << LeftMargin << "\" y1=\""
          << y(Host) << "\" x2=\"" << width() - RightMargin / 2 << "\" y2=\""
          << y(Host) << "\"/>\n";
  }

  void drawArrows(std::ostream &Out) const {
    std::map<std::string, std::size_t> LastOfRequest;
    for (std::size_t I = 0; I < Events.size(); ++I) {
      const std::string &Request = Events[I].Fields.Request.value();
      if (Request.empty())
        continue;
      const auto [Last, First] = LastOfRequest.try_emplace(Request, I);
      if (!First)
        drawArrow(Out, Last->second, I);
      Last->second = I;
    }
  }

  void drawArrow(std::ostream &Out, std::size_t From, std::size_t To) const {
    const std::size_t FromY = y(Events[From].Host.value());
    const std::size_t ToY = y(Events[To].Host.value());
    // An arrow within one lane is curved upwards to avoid the events in
    // between.
    const std::size_t Bend = FromY == ToY ? LaneHeight / 2 : 0;
    Out << "<path class=\"arrow\" d=\"M" << x(From) << ' ' << FromY << " Q"
        << (x(From) + x(To)) / 2 << ' ' << (FromY + ToY) / 2 - Bend << ' '
        << x(To) - DotRadius << ' ' << ToY << "\"/>\n";
  }

  void drawEvents(std::ostream &Out) const {
    for (std::size_t I = 0; I < Events.size(); ++I) {
      const Event &E = Events[I];
      Out << "<circle class=\"" << cssClass(E.Kind) << "\" cx=\"" << x(I)
          << "\" cy=\"" << y(E.Host.value()) << "\" r=\"" << DotRadius
          << "\"><title>" << relativeTime(Events[0], E) << " ms "
          << toString(E.Kind) << ' ' << escape(fieldText(E.Fields))
          << "</title></circle>\n";
    }
  }

  std::span<const Event> Events;
  std::map<std::string, std::size_t> Lanes;
};

std::string table(std::span<const Event> Events) {
  std::ostringstream Out;
  Out << "<table>\n<tr><th>ms</th><th>host</th><th>event</th>"
         "<th>fields</th></tr>\n";
  for (const Event &E : Events)
    Out << "<tr><td>" << relativeTime(Events[0], E) << "</td><td>"
        << escape(E.Host.value()) << "</td><td>" << toString(E.Kind)
        << "</td><td>" << escape(fieldText(E.Fields)) << "</td></tr>\n";
  Out << "</table>\n";
  return Out.str();
}

} // namespace

std::string htmlReport(std::span<const Event> Events) {
  return std::string(PageStart) + SvgChart(Events).draw() + table(Events) +
         "</body>\n</html>\n";
}

} // namespace masticgap::timeline
