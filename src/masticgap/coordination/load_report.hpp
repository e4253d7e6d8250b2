#pragma once

namespace masticgap::coordination {

//! Load that a worker reports about itself.
struct LoadReport {
  unsigned InUse = 0; //!< Slots in use.
  unsigned Slots = 0; //!< All slots.
};

//! Load of one service in one region as known to one entry host.
struct RegionLoad {
  unsigned Slots = 0;    //!< Slots of eligible workers.
  double InUse = 0;      //!< Estimated slots in use.
  double FreshShare = 0; //!< Share of slots whose reports are fresh, 0 to 1.
  unsigned Workers = 0;  //!< Eligible workers.
};

} // namespace masticgap::coordination
