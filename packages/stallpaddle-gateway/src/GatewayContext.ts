/**
 * Interface between the gateway and the VM that it runs in.
 */
import type {Clock, EngineId, Logger, Random, RefusalError, VmId, ZoneId} from 'stallpaddle';
import type {ControlPort, FleetConfig, PlainServer} from 'stallpaddle-control';
import type {EngineAdapter, EngineLanes} from 'stallpaddle-engine';
import type {LedgerPorts} from 'stallpaddle-ledger';
import type {MembershipState} from 'stallpaddle-membership';
import type {RoutingEvent, RoutingState} from 'stallpaddle-routing';
import type {LimitSettings} from 'stallpaddle-settings';

import type {GatewayMetrics} from './GatewayMetrics';

/** State, settings and services that request handlers share. */
export interface GatewayContext {
  readonly adapterOf: (engine: EngineId) => EngineAdapter | undefined;
  readonly clock: Clock;
  readonly config: () => FleetConfig;
  readonly control: ControlPort;
  readonly lanes: EngineLanes;
  readonly ledger: LedgerPorts;
  readonly limits: LimitSettings;
  readonly logger: Logger;
  readonly membership: () => MembershipState;
  readonly metrics: GatewayMetrics;
  readonly onRouting: (event: RoutingEvent) => void;
  /** SHA-256 of operators' keys in hexadecimal, by name. */
  readonly operatorKeys: ReadonlyMap<string, string>;
  readonly plainAdapterOf: (server: PlainServer) => EngineAdapter;
  readonly random: Random;
  /** Reason for refusing new work, or undefined while the VM accepts it. */
  readonly refusal: () => RefusalError | undefined;
  readonly routing: () => RoutingState;
  /** Status of the fleet as this VM sees it, sent to operators as JSON. */
  readonly status: () => Promise<unknown>;
  readonly vm: VmId;
  readonly zone: ZoneId;
}
