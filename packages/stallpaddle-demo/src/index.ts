export {type BatchCounts, countItems, submitBatch, waitForBatch} from './DemoBatches';
export {DemoCallers} from './DemoCallers';
export {DemoOperator, type PlanView} from './DemoOperator';
export {batchFile, type DemoBatch, type DemoPrompt, onlinePrompt} from './DemoWorkload';
/** Fleets of processes for demos, tests and tools. */
export {BINARY, Fleet} from './Fleet';
export {
  engineAddress,
  engineName,
  type FleetLayout,
  LAVANDERIA_LAYOUT,
  type LayoutCustomer,
  type LayoutProcess,
  REGISTRY_LAYOUT,
  serviceAddress,
  type SettingsInput,
  standInProcesses,
  vmAddress,
  vmProcesses,
} from './FleetLayout';
