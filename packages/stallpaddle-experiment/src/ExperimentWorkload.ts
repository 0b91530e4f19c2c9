/**
 * Workloads of two users, each a shortened day with bursts of online requests and a quieter evening.
 */
import type {EngineModel} from './ExperimentEngine';

/** Fleet sizes, request sizes and request rates of one user. */
export interface Workload {
  readonly batchPromptTokens: number;
  readonly batchTokens: number;
  /** Online requests per second in a burst. */
  readonly burstRate: number;
  readonly callerLatencyMs: number;
  readonly customers: number;
  readonly dayRate: number;
  readonly engine: EngineModel;
  readonly engines: number;
  readonly eveningRate: number;
  readonly name: string;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly vms: number;
  readonly zoneLatencyMs: number;
}

/** Length of the day and of the evening, in milliseconds. */
export const PHASE_MS = 60_000;

/** Interval between the starts of two bursts, in milliseconds. */
export const BURST_EVERY_MS = 15_000;

/** Duration of a burst, in milliseconds. */
export const BURST_MS = 3_000;

/** Northeast Registry Filings: long prompts, eight engines. */
export const REGISTRY: Workload = {
  batchPromptTokens: 1500,
  batchTokens: 60,
  burstRate: 40,
  callerLatencyMs: 3,
  customers: 40,
  dayRate: 14,
  engine: {fullSlowdown: 0.5, prefillMsPer1k: 100, slots: 16, tokenMs: 16},
  engines: 8,
  eveningRate: 2,
  name: 'registry',
  promptTokens: 1500,
  tokens: 80,
  vms: 9,
  zoneLatencyMs: 1,
};

/** Lavandería Norte: short notes, thirteen engines. */
export const LAVANDERIA: Workload = {
  batchPromptTokens: 800,
  batchTokens: 200,
  burstRate: 220,
  callerLatencyMs: 1,
  customers: 60,
  dayRate: 80,
  engine: {fullSlowdown: 0.5, prefillMsPer1k: 100, slots: 16, tokenMs: 16},
  engines: 13,
  eveningRate: 10,
  name: 'lavanderia',
  promptTokens: 300,
  tokens: 24,
  vms: 12,
  zoneLatencyMs: 0.5,
};

/**
 * Returns the rate of online requests per second at a given time.
 *
 * @param workload rates of the user
 * @param at milliseconds since the start of the run
 */
export function onlineRate(workload: Workload, at: number): number {
  if (at >= PHASE_MS) {
    return workload.eveningRate;
  }
  return at % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS ? workload.burstRate : workload.dayRate;
}

/**
 * Returns the maximum rate of batch items per second beside the online requests. It assumes that all slots are always
 * occupied and that online requests run at the speed of full engines.
 *
 * @param workload fleet and request sizes
 * @param requests number of online requests in the run
 */
export function batchLimit(workload: Workload, requests: number): number {
  const {batchPromptTokens, batchTokens, engine, engines, promptTokens, tokens} = workload;
  const tokenMs = engine.tokenMs * (1 + engine.fullSlowdown);
  const prefillMs = (prompt: number): number => (prompt / 1000) * engine.prefillMsPer1k;
  // Batch prompts share a prefix, which is cached; online prompts are assumed to be cached too.
  const itemMs = prefillMs(batchPromptTokens) * 0.2 + tokenMs * batchTokens;
  const requestMs = prefillMs(promptTokens) * 0.2 + tokenMs * tokens;
  const slotMs = engines * engine.slots * PHASE_MS * 2 - requests * requestMs;
  return (slotMs / itemMs / (PHASE_MS * 2)) * 1000;
}
