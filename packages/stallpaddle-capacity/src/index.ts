export {type BurstEstimate, CapacityBursts} from './CapacityBursts';
export {drawByShare, drawSize} from './CapacityDraw';
export {CapacityReserve} from './CapacityReserve';
/** What engines and VMs can bear: speeds of engines, sizes of VMs, room for bursts. Pure functions. */
export {
  type ExpectedFirstEvent,
  expectedFirstEventMs,
  isSetApart,
  mayUseEngine,
  SET_APART_SPEED,
  slotTimeFactor,
} from './CapacitySlotTimes';
export {
  CapacitySpeeds,
  type SpeedChange,
  type SpeedClass,
  speedClassOf,
  type SpeedEngine,
} from './CapacitySpeeds';
export {haveUnequalSizes, type SpeedSample, type VmCapacity, type VmSize} from './CapacityTypes';
export {type ReportedUse, reportUse, usedFraction, type VmMeasurements} from './CapacityUsed';
export {dampShares, targetShares, type VmShares, vmWeights, type WeightedVm} from './CapacityVms';
