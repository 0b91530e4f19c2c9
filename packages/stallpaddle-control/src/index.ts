/** Control group: fleet configuration, plans, orders to engines and the audit trail. */
export {
  applyChanges,
  configToChanges,
  currentEngines,
  EMPTY_CONFIG,
  engineTarget,
  modelNames,
  type ResolvedModel,
  resolveModel,
  serviceSlots,
  weightsName,
} from './ControlConfig';
export {intentSchema} from './ControlIntentSchema';
export {changesAfter, controlMachine, INITIAL_CONTROL_STATE, updateControl} from './ControlMachine';
export {
  type EngineOrder,
  type EngineReport,
  fencingToken,
  MAX_CONCURRENT_LOADS,
  nextOrders,
} from './ControlOrders';
export {planIntent, type PlanRefusal, type PlanResult} from './ControlPlanner';
export {
  type ControlPort,
  type ControlQuery,
  type ControlQueryResult,
  queryControl,
} from './ControlQueries';
export type {
  AuditEntry,
  CapacityChange,
  ConfigChange,
  ControlCommand,
  ControlCommandResult,
  ControlState,
  CustomerConfig,
  EngineConfig,
  EngineRole,
  FleetConfig,
  Intent,
  ModelVersion,
  PlainServer,
  PlanContent,
  PlanRecord,
  PlanState,
  PlanStep,
  ReplacementConfig,
  Revision,
  RevisionChange,
  ServiceConfig,
  VmConfig,
} from './ControlTypes';
