/** Runs a real fleet under seeded faults and checks the recorded history against the product's promises. */
export {readSoakArguments, shapeOf, type SoakArguments, SoakArgumentsError} from './SoakArguments';
export {checkHistory} from './SoakChecker';
export {
  type ProbedRoute,
  type ProbeOutcome,
  SERVICES,
  type SoakConfiguration,
  type SoakService,
} from './SoakConfigurations';
export type {SoakPorts, SoakProgram, SoakVm} from './SoakFleet';
export {eventText, itemText, onceText, OUTPUT_EVENTS, sharedParts, streamText} from './SoakOutput';
export {planFaults, type SoakPlanInput, type SoakShape} from './SoakPlan';
export {describeFault, reportSoak} from './SoakReport';
export {runSoak, type SoakOptions, type SoakOutcome} from './SoakRun';
export type {
  PlannedFault,
  SoakBounds,
  SoakBreak,
  SoakEvent,
  SoakFault,
  SoakPromise,
  SoakResult,
  SoakRoute,
} from './SoakTypes';
export type {EngineReport, EngineRequest, SoakCall, SoakWire} from './SoakWire';
