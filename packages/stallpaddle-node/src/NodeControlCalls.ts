/**
 * Control calls of engines and the operator.
 */
import type {FleetAnswer, FleetRequest, RetireAnswer, StoredConfig} from 'stallpaddle-fleet';

import {errorMessage, RefusalError, unreachable} from 'stallpaddle';
import {findConfigFault} from 'stallpaddle-fleet';
import {NotLeaderError} from 'stallpaddle-replication';

import type {NodeGroupClient} from './NodeGroupClient';
import type {NodeLog} from './NodeLog';
import type {SuspectLists} from './NodeSuspectsHandler';
import type {ControlCall, ControlReply} from './NodeWire';

import {CONTROL_CALL_TIMEOUT_MS} from './NodeConstants';

/** Whether a call failed because no leader was found in time. */
function isLostCall(err: unknown): boolean {
  return err instanceof RefusalError || err instanceof NotLeaderError;
}

/** Validates control calls of engines and the operator, and forwards them to the control group's leader. */
export class NodeControlCalls {
  /**
   * @param caller calls the control group's leader
   * @param port port on which every VM of the fleet serves control calls
   * @param log the control log
   */
  constructor(
    private readonly caller: NodeGroupClient,
    private readonly port: number,
    private readonly log: NodeLog,
  ) {}

  /**
   * Executes a call. When no leader is found in time, the reply is `unavailable`.
   *
   * @param call the call
   */
  async reply(call: ControlCall): Promise<ControlReply> {
    try {
      return await this.carryOut(call);
    } catch (err) {
      if (isLostCall(err)) {
        this.log.decide('unavailable', call.kind, {error: errorMessage(err)});
        return {kind: 'unavailable', message: errorMessage(err)};
      }
      throw err;
    }
  }

  private async carryOut(call: ControlCall): Promise<ControlReply> {
    switch (call.kind) {
      case 'bad':
        return {kind: 'refused', message: call.message};
      case 'listSuspects': {
        const lists = await this.query<SuspectLists>(call);
        return {kind: 'suspects', ...lists};
      }
      case 'putConfig':
        return this.putConfig(call.config);
      case 'readConfig': {
        const config = await this.query<StoredConfig | null>({kind: 'readConfig'});
        return config === null ? {kind: 'notFound'} : {config, kind: 'config'};
      }
      case 'releaseSuspect': {
        const {digest} = call;
        // The operator names a request by its digest or a part by its id.
        await this.change<FleetAnswer>({by: 'operator', digest, kind: 'releaseRequest'});
        await this.change<FleetAnswer>({by: 'operator', kind: 'releaseParts', parts: [digest]});
        this.log.decide('suspectReleased', digest, {});
        return {kind: 'done'};
      }
      case 'removeEngine':
        await this.change<FleetAnswer>(call);
        this.log.decide('engineGone', call.id, {});
        return {kind: 'done'};
      case 'reportEngine': {
        await this.change<FleetAnswer>(call);
        const {leaderHost} = this.caller;
        const beatsTo = leaderHost === null ? null : `${leaderHost}:${this.port}`;
        return {beatsTo, kind: 'reported'};
      }
      case 'retireState':
      case 'retireStore': {
        const state = await this.change<RetireAnswer>(call);
        this.log.decide(call.kind, call.name, {state});
        return {kind: 'retire', state};
      }
      case 'unknown':
        return {kind: 'notFound'};
      default:
        return unreachable(call);
    }
  }

  private async putConfig(config: StoredConfig): Promise<ControlReply> {
    const fault = findConfigFault(config);
    if (fault !== null) {
      this.log.decide('configRefused', String(config.version), {...fault});
      return {kind: 'refused', message: fault.message};
    }
    const {kind} = await this.change<FleetAnswer>({config, kind: 'putConfig'});
    this.log.decide('configTaken', String(config.version), {outcome: kind});
    return {kind: 'done'};
  }

  private query<Answer>(value: FleetRequest): Promise<Answer> {
    return this.caller.call<Answer>({changes: false, totalMs: CONTROL_CALL_TIMEOUT_MS, value});
  }

  private change<Answer>(value: FleetRequest): Promise<Answer> {
    return this.caller.call<Answer>({changes: true, totalMs: CONTROL_CALL_TIMEOUT_MS, value});
  }
}
