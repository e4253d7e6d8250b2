#include "ctl/report.hpp"

#include "ctl/change_id.hpp"
#include "ctl/text_table.hpp"
#include "masticgap/state/json_text.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace masticgap::ctl {

namespace json = boost::json;

namespace {

json::array toJson(const std::vector<ConfigDifference> &Differences) {
  json::array Out;
  for (const ConfigDifference &Difference : Differences) {
    json::object Entry{{"key", Difference.Key}};
    if (Difference.Before)
      Entry["before"] = *Difference.Before;
    if (Difference.After)
      Entry["after"] = *Difference.After;
    Out.push_back(std::move(Entry));
  }
  return Out;
}

json::object toJson(const RolloutReport &Rollout) {
  json::array Lacking;
  for (const HostStatus &Status : Rollout.Lacking)
    Lacking.push_back(json::object{{"host", Status.Host.Id},
                                   {"config_version", Status.ConfigVersion},
                                   {"problem", Status.Problem}});
  return {{"in_force", Rollout.InForce}, {"lacking", std::move(Lacking)}};
}

json::object changeMetadata(const ConfigDocument &D) {
  return {{"version", D.Version},    {"base_version", D.BaseVersion},
          {"change_id", D.ChangeId}, {"time", changeTime(D.ChangeId)},
          {"operator", D.Operator},  {"reason", D.Reason}};
}

void print(std::ostream &Out, const json::value &Value) {
  Out << json::serialize(Value) << '\n';
}

TextTable differenceTable(const std::vector<ConfigDifference> &Differences) {
  TextTable Table({"key", "before", "after"});
  for (const ConfigDifference &Difference : Differences)
    Table.add({Difference.Key, Difference.Before.value_or(""),
               Difference.After.value_or("")});
  return Table;
}

std::string headline(const ConfigDocument &D) {
  return "version " + std::to_string(D.Version) + " by " + D.Operator + " at " +
         changeTime(D.ChangeId) + ": " + D.Reason;
}

void printRolloutText(std::ostream &Out, const RolloutReport &Rollout) {
  const std::size_t All = Rollout.InForce + Rollout.Lacking.size();
  if (All == 0) {
    Out << "no entry host is known; give --entry, or --no_wait\n";
    return;
  }
  Out << "in force on " << Rollout.InForce << " of " << All << " entry hosts\n";
  if (Rollout.Lacking.empty())
    return;
  TextTable Table({"lacking", "version", "problem"});
  for (const HostStatus &Status : Rollout.Lacking)
    Table.add(
        {Status.Host.Id,
         Status.Problem.empty() ? std::to_string(Status.ConfigVersion) : "",
         Status.Problem});
  Out << Table;
}

std::string cellText(const json::value &Value) {
  if (const json::string *Text = Value.if_string())
    return {Text->data(), Text->size()};
  return shortText(Value);
}

//! Prints a list of objects as a table with a column for each key that occurs.
void printList(std::ostream &Out, const json::array &List) {
  std::vector<std::string> Columns;
  for (const json::value &Row : List)
    if (const json::object *Members = Row.if_object())
      for (const auto &Member : *Members) {
        const std::string Key(Member.key().data(), Member.key().size());
        if (std::find(Columns.begin(), Columns.end(), Key) == Columns.end())
          Columns.push_back(Key);
      }
  TextTable Table(Columns);
  for (const json::value &Row : List) {
    std::vector<std::string> Cells;
    const json::object *Members = Row.if_object();
    for (const std::string &Column : Columns) {
      const json::value *Cell =
          Members ? Members->if_contains(Column) : nullptr;
      Cells.push_back(Cell ? cellText(*Cell) : "");
    }
    Table.add(std::move(Cells));
  }
  Out << Table;
}

} // namespace

void printDocument(const CtlSession &Session, const ConfigDocument &Document) {
  std::ostream &Out = Session.Environment.Out;
  if (Session.Options.Json) {
    Out << masticgap::toJson(Document) << '\n';
    return;
  }
  Out << headline(Document) << '\n';
  TextTable Table({"key", "value"});
  for (auto &[Key, Value] : flatten(Document))
    Table.add({Key, Value});
  Out << Table;
}

void printDifferences(const CtlSession &Session,
                      const std::vector<ConfigDifference> &Differences) {
  std::ostream &Out = Session.Environment.Out;
  if (Session.Options.Json)
    print(Out, toJson(Differences));
  else if (Differences.empty())
    Out << "no difference\n";
  else
    Out << differenceTable(Differences);
}

void printHistory(const CtlSession &Session,
                  std::span<const ConfigDocument> Versions) {
  std::ostream &Out = Session.Environment.Out;
  if (Session.Options.Json) {
    json::array List;
    for (const ConfigDocument &Document : Versions)
      List.push_back(changeMetadata(Document));
    return print(Out, List);
  }
  TextTable Table({"version", "time", "operator", "reason", "change"});
  for (const ConfigDocument &Document : Versions)
    Table.add({std::to_string(Document.Version), changeTime(Document.ChangeId),
               Document.Operator, Document.Reason, Document.ChangeId});
  Out << Table;
}

void printState(std::ostream &Out, const json::object &State) {
  for (const auto &Member : State) {
    Out << Member.key();
    if (const json::array *List = Member.value().if_array()) {
      Out << (List->empty() ? ": none\n" : "\n");
      if (!List->empty())
        printList(Out, *List);
    } else {
      Out << ": " << cellText(Member.value()) << '\n';
    }
  }
}

void printAccepted(const CtlSession &Session, const ConfigDocument &Base,
                   const ConfigDocument &Next, const RolloutReport *Rollout) {
  std::ostream &Out = Session.Environment.Out;
  const auto Differences = diff(Base, Next);
  if (Session.Options.Json) {
    json::object Body = changeMetadata(Next);
    Body["changes"] = toJson(Differences);
    if (Rollout)
      Body["hosts"] = toJson(*Rollout);
    return print(Out, Body);
  }
  Out << "accepted " << headline(Next) << '\n' << differenceTable(Differences);
  if (Rollout)
    printRolloutText(Out, *Rollout);
}

void printRollout(const CtlSession &Session, std::uint64_t Version,
                  const RolloutReport &Rollout) {
  std::ostream &Out = Session.Environment.Out;
  if (Session.Options.Json)
    return print(
        Out, json::object{{"version", Version}, {"hosts", toJson(Rollout)}});
  Out << "version " << Version << ": ";
  printRolloutText(Out, Rollout);
}

void printRace(const CtlSession &Session, const ConfigDocument &Base,
               const ConfigDocument *Winner) {
  std::ostream &Err = Session.Environment.Err;
  if (Session.Options.Json) {
    json::object Body{
        {"error", toString(ErrorKind::Conflict)},
        {"message", "another change took effect first; this one did not"}};
    if (Winner) {
      Body["winner"] = changeMetadata(*Winner);
      Body["changes"] = toJson(diff(Base, *Winner));
    }
    return print(Err, Body);
  }
  Err << "masticgap-ctl: another change took effect first; this one did not\n";
  if (Winner)
    Err << headline(*Winner) << '\n' << differenceTable(diff(Base, *Winner));
  else
    Err << "the store did not return it in time; see masticgap-ctl history\n";
  Err << "make the change again on top of it\n";
}

void printError(const CtlSession &Session, const Error &E) {
  std::ostream &Err = Session.Environment.Err;
  if (Session.Options.Json)
    return print(Err, json::object{{"error", toString(E.Kind)},
                                   {"message", describe(E)}});
  Err << "masticgap-ctl: " << describe(E) << '\n';
}

} // namespace masticgap::ctl
