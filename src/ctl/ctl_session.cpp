#include "ctl/ctl_session.hpp"

#include "masticgap/state/error.hpp"

namespace masticgap::ctl {

boost::leaf::result<StoreAccess> CtlSession::store() const {
  if (Options.Platform)
    return StoreAccess(*Options.Platform, Options.CallTimeout);
  return boost::leaf::new_error(Error{ErrorKind::InvalidSettings,
                                      "--platform is missing",
                                      "accepted: ip:port of the platform"});
}

boost::leaf::result<FleetAccess> CtlSession::fleet() const {
  std::vector<FleetHost> Candidates;
  for (const Endpoint &Admin : Options.AdminEndpoints)
    Candidates.push_back({toString(Admin), Admin});
  if (!Candidates.empty())
    return FleetAccess(std::move(Candidates), Options.CallTimeout);
  if (!Options.Platform)
    return boost::leaf::new_error(
        Error{ErrorKind::InvalidSettings, "--entry and --platform are missing",
              "accepted: --entry ip:port of admin ports, or --platform ip:port "
              "to take the entry hosts of its host list"});
  BOOST_LEAF_AUTO(Store, store());
  BOOST_LEAF_AUTO(Hosts, Store.hosts());
  for (const EntryHostDescriptor &Host : Hosts.EntryHosts)
    Candidates.push_back({Host.Id.value(), {Host.Address, Host.AdminPort}});
  return FleetAccess(std::move(Candidates), Options.CallTimeout);
}

} // namespace masticgap::ctl
