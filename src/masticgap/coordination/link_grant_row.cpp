#include "masticgap/coordination/link_grant_row.hpp"

#include <boost/json.hpp>

namespace masticgap::coordination {

namespace json = boost::json;

std::string linkGrantKey(const RegionPair &Pair) {
  return Pair.From.value() + ">" + Pair.To.value();
}

std::string toJson(const LinkGrantRow &Row) {
  json::array Entries;
  for (const LinkGrantEntry &E : Row.Entries)
    Entries.push_back({{"holder", E.Holder.value()},
                       {"incarnation", E.Run.Value},
                       {"sequence", E.Sequence},
                       {"rate", E.Rate},
                       {"wanted", E.Wanted}});
  return json::serialize(json::object{{"config_version", Row.ConfigVersion},
                                      {"cap", Row.Cap},
                                      {"grants", std::move(Entries)}});
}

namespace {

std::optional<std::uint64_t> number(const json::object &O,
                                    std::string_view Key) {
  const json::value *V = O.if_contains(Key);
  if (V == nullptr)
    return std::nullopt;
  json::error_code Ec;
  const auto N = V->to_number<std::uint64_t>(Ec);
  if (Ec)
    return std::nullopt;
  return N;
}

std::optional<LinkGrantEntry> entry(const json::value &V) {
  const json::object *O = V.if_object();
  if (O == nullptr)
    return std::nullopt;
  const json::value *Holder = O->if_contains("holder");
  const auto Run = number(*O, "incarnation");
  const auto Sequence = number(*O, "sequence");
  const auto Rate = number(*O, "rate");
  const auto Wanted = number(*O, "wanted");
  if (Holder == nullptr || !Holder->is_string() || !Run || !Sequence || !Rate ||
      !Wanted)
    return std::nullopt;
  return LinkGrantEntry{HostId(std::string(Holder->get_string())),
                        Incarnation{*Run}, *Sequence, *Rate, *Wanted};
}

} // namespace

std::optional<LinkGrantRow> parseLinkGrantRow(std::string_view Json) {
  json::error_code Ec;
  const json::value Root = json::parse(Json, Ec);
  const json::object *O = Ec ? nullptr : Root.if_object();
  if (O == nullptr)
    return std::nullopt;
  const auto Version = number(*O, "config_version");
  const auto Cap = number(*O, "cap");
  const json::value *Grants = O->if_contains("grants");
  if (!Version || !Cap || Grants == nullptr || !Grants->is_array())
    return std::nullopt;
  LinkGrantRow Row{*Version, *Cap, {}};
  for (const json::value &V : Grants->get_array()) {
    auto E = entry(V);
    if (!E)
      return std::nullopt;
    Row.Entries.push_back(std::move(*E));
  }
  return Row;
}

} // namespace masticgap::coordination
