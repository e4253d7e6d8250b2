#include "timeline/report.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace masticgap::timeline {

using coordination::Event;
using coordination::EventFields;

std::string relativeTime(const Event &First, const Event &E) {
  constexpr std::uint64_t MicrosPerMilli = 1000;
  const std::uint64_t Micros = E.Stamp.UnixMicros - First.Stamp.UnixMicros;
  std::ostringstream Out;
  Out << Micros / MicrosPerMilli << '.' << std::setw(3) << std::setfill('0')
      << Micros % MicrosPerMilli;
  return Out.str();
}

std::string fieldText(const EventFields &Fields) {
  struct Part {
    const char *Name;
    const std::string &Value;
  };
  const Part Parts[] = {{"request", Fields.Request.value()},
                        {"worker", Fields.Worker.value()},
                        {"subject", Fields.Subject.value()},
                        {"change", Fields.Change},
                        {"detail", Fields.Detail}};
  std::string Text;
  for (const Part &P : Parts) {
    if (P.Value.empty())
      continue;
    if (!Text.empty())
      Text += ' ';
    Text += std::string(P.Name) + '=' + P.Value;
  }
  return Text;
}

std::string textReport(std::span<const Event> Events) {
  constexpr int TimeWidth = 12;
  constexpr int KindWidth = 18;
  std::size_t HostWidth = 0;
  for (const Event &E : Events)
    HostWidth = std::max(HostWidth, E.Host.value().size());
  std::ostringstream Out;
  for (const Event &E : Events) {
    Out << std::right << std::setw(TimeWidth) << relativeTime(Events[0], E)
        << " ms  " << std::left << std::setw(static_cast<int>(HostWidth))
        << E.Host.value() << "  ";
    const std::string Fields = fieldText(E.Fields);
    if (Fields.empty())
      Out << toString(E.Kind);
    else
      Out << std::setw(KindWidth) << toString(E.Kind) << "  " << Fields;
    Out << '\n';
  }
  return Out.str();
}

} // namespace masticgap::timeline
