#pragma once

#include "ctl/ctl_session.hpp"
#include "masticgap/state/config_diff.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/error.hpp"

#include <boost/json/array.hpp>

#include <ostream>
#include <span>
#include <string_view>
#include <vector>

namespace masticgap::ctl {

//! Prints a configuration document.
void printDocument(const CtlSession &Session, const ConfigDocument &Document);
//! Prints the keys that differ between two documents.
void printDifferences(const CtlSession &Session,
                      const std::vector<ConfigDifference> &Differences);
//! Prints one row for each accepted version.
void printHistory(const CtlSession &Session,
                  std::span<const ConfigDocument> Versions);

//! Prints the lists in the body of GET /state as tables.
void printState(std::ostream &Out, const boost::json::object &State);

//! Prints an accepted change.
//! \param Rollout null with --no_wait.
void printAccepted(const CtlSession &Session, const ConfigDocument &Base,
                   const ConfigDocument &Next, const RolloutReport *Rollout);

//! Prints which hosts have a version in force.
void printRollout(const CtlSession &Session, std::uint64_t Version,
                  const RolloutReport &Rollout);

//! Prints the concurrent change that took effect first: operator, time, reason
//! and differences.
//! \param Winner null if the store did not return it in time.
void printRace(const CtlSession &Session, const ConfigDocument &Base,
               const ConfigDocument *Winner);

//! Prints an error as text or JSON.
void printError(const CtlSession &Session, const Error &E);

} // namespace masticgap::ctl
