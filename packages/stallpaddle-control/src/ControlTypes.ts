/**
 * Types of the fleet configuration, operators' intents, plans and the audit trail.
 */
import type {Map as ImmutableMap, List} from 'immutable';
import type {CustomerId, EngineId, GroupId, ReplicaId, VmId, ZoneId} from 'stallpaddle';

/** Number of an accepted configuration; increases by one with each change. */
export type Revision = number;
/** Wall time, in milliseconds since 1970. */
export type WallMs = number;

/** Kinds of requests that an engine may run. */
export type EngineRole = 'all' | 'batch' | 'off' | 'online';

/** A backend server that runs models. */
export interface EngineConfig {
  /** Whether the engine refuses an order with a stale fencing token. */
  readonly checksFencing: boolean;
  readonly host: string;
  readonly port: number;
  readonly role: EngineRole;
  /** Number of requests that the engine runs concurrently. */
  readonly slots: number;
  readonly zone: ZoneId;
}

/** A version of a model and the engines that should hold it. */
export interface ModelVersion {
  readonly engines: readonly EngineId[];
  readonly version: string;
}

/** A backend server of a plain service. */
export interface PlainServer {
  readonly host: string;
  readonly port: number;
}

/** A service that callers can send requests to. */
export type ServiceConfig =
  | {
      readonly adapters: readonly string[];
      /** Version that serves requests; one of `versions`. */
      readonly current: string;
      readonly kind: 'model';
      /** Name of the model; callers use the service's name instead. */
      readonly model: string;
      readonly versions: readonly ModelVersion[];
    }
  | {
      readonly kind: 'plain';
      /** Whether requests may be retried unless a header says otherwise. */
      readonly repeatable: boolean;
      readonly servers: readonly PlainServer[];
    };

/** Key and limits of a customer. */
export interface CustomerConfig {
  /** SHA-256 of the API key, in hexadecimal. */
  readonly keyHash: string;
  /** Most requests per second across all VMs; null for no limit. */
  readonly requestsPerSecond: number | null;
  /** Relative share of the capacity under overload. */
  readonly weight: number;
}

/** Settings of a VM that operators control. */
export interface VmConfig {
  readonly draining: boolean;
}

/** Replacement of a replica whose disk was lost, in progress. */
export interface ReplacementConfig {
  readonly group: GroupId;
  readonly joining: ReplicaId;
  readonly leaving: ReplicaId;
}

/** The fleet configuration: tables of records, so that a change touches single records. */
export interface FleetConfig {
  readonly customers: ImmutableMap<CustomerId, CustomerConfig>;
  readonly engines: ImmutableMap<EngineId, EngineConfig>;
  /** Keyed by group and leaving replica. */
  readonly replacements: ImmutableMap<string, ReplacementConfig>;
  readonly services: ImmutableMap<string, ServiceConfig>;
  readonly vms: ImmutableMap<VmId, VmConfig>;
}

/** Sets one record, or removes it (null). */
export type ConfigChange =
  | {readonly key: string; readonly record: CustomerConfig | null; readonly table: 'customers'}
  | {readonly key: string; readonly record: EngineConfig | null; readonly table: 'engines'}
  | {
      readonly key: string;
      readonly record: ReplacementConfig | null;
      readonly table: 'replacements';
    }
  | {readonly key: string; readonly record: ServiceConfig | null; readonly table: 'services'}
  | {readonly key: string; readonly record: VmConfig | null; readonly table: 'vms'};

/** The changes that produced a revision from the previous one. */
export interface RevisionChange {
  readonly changes: readonly ConfigChange[];
  readonly revision: Revision;
}

/** A change that an operator requests. */
export type Intent =
  | {
      readonly adapters?: readonly string[];
      readonly engines: readonly EngineId[];
      readonly kind: 'createService';
      readonly model: string;
      readonly service: string;
      readonly version: string;
    }
  | {
      readonly kind: 'createPlainService';
      readonly repeatable: boolean;
      readonly servers: readonly PlainServer[];
      readonly service: string;
    }
  | {
      readonly engines: readonly EngineId[];
      readonly kind: 'addModelVersion';
      readonly makeCurrent: boolean;
      readonly service: string;
      readonly version: string;
    }
  | {readonly kind: 'removeModelVersion'; readonly service: string; readonly version: string}
  | {readonly adapter: string; readonly kind: 'addAdapter'; readonly service: string}
  | {readonly engine: EngineId; readonly kind: 'addEngine'; readonly record: EngineConfig}
  | {readonly engine: EngineId; readonly kind: 'setEngineRole'; readonly role: EngineRole}
  | {readonly kind: 'drainVm' | 'undrainVm'; readonly vm: VmId}
  | {readonly customer: CustomerId; readonly kind: 'setCustomer'; readonly record: CustomerConfig}
  | {
      readonly group: GroupId;
      readonly joining: ReplicaId;
      readonly kind: 'replaceReplica';
      readonly leaving: ReplicaId;
    };

/** One step of a plan, as shown to operators. */
export interface PlanStep {
  readonly description: string;
  readonly targets: readonly string[];
}

/** Slots of a service before and after a plan. */
export interface CapacityChange {
  readonly after: number;
  readonly before: number;
  readonly model: string;
}

/** Effects of an intent on the configuration. */
export interface PlanContent {
  readonly capacity: readonly CapacityChange[];
  readonly changes: readonly ConfigChange[];
  readonly steps: readonly PlanStep[];
  readonly warnings: readonly string[];
}

/** State of a plan: proposed, confirmed or refused. */
export type PlanState =
  | {
      readonly at: WallMs;
      readonly by: string;
      readonly kind: 'confirmed';
      readonly revision: Revision;
    }
  | {readonly at: WallMs; readonly by: string; readonly kind: 'refused'; readonly reason: string}
  | {readonly kind: 'proposed'};

/** A stored plan. */
export interface PlanRecord {
  readonly at: WallMs;
  /** Revision that the plan is based on. */
  readonly basis: Revision;
  readonly content: PlanContent;
  readonly id: string;
  readonly intent: Intent;
  readonly operator: string;
  readonly state: PlanState;
}

/** One entry of the audit trail. */
export interface AuditEntry {
  readonly action: 'cancelJob' | 'confirm' | 'order' | 'plan' | 'refuse' | 'replaced' | 'start';
  readonly actor: string;
  readonly at: WallMs;
  readonly detail: string;
  readonly number: number;
  readonly planId: string | null;
  readonly revision: Revision;
}

/** Replicated state of the control group. */
export interface ControlState {
  readonly audit: List<AuditEntry>;
  readonly auditCount: number;
  readonly config: FleetConfig;
  /** The latest changes, for incremental updates of VMs that are a few revisions behind. */
  readonly history: List<RevisionChange>;
  readonly plans: ImmutableMap<string, PlanRecord>;
  readonly revision: Revision;
}

/** Commands to the control state machine. */
export type ControlCommand =
  | {
      readonly changes: readonly ConfigChange[];
      readonly now: WallMs;
      /** Sets the initial configuration from the settings; ignored unless the revision is 0. */
      readonly type: 'bootstrap';
    }
  | {
      readonly action: AuditEntry['action'];
      readonly actor: string;
      readonly detail: string;
      readonly now: WallMs;
      readonly type: 'note';
    }
  | {
      /** Key of the finished replacement. */
      readonly key: string;
      readonly now: WallMs;
      readonly type: 'endReplacement';
    }
  | {
      readonly intent: Intent;
      readonly now: WallMs;
      readonly operator: string;
      readonly planId: string;
      readonly type: 'plan';
    }
  | {
      readonly now: WallMs;
      readonly operator: string;
      readonly planId: string;
      readonly type: 'confirm';
    };

/** Result of a command. */
export type ControlCommandResult =
  | {readonly kind: 'ok'}
  | {readonly kind: 'plan'; readonly plan: PlanRecord}
  | {
      readonly code: 'badRequest' | 'conflict' | 'notFound';
      readonly kind: 'refused';
      readonly message: string;
    };
