/**
 * Configuration of the fleet, intents of operators, plans and the audit trail.
 */
import type {Map as ImmutableMap, List} from 'immutable';
import type {CustomerId, EngineId, GroupId, ReplicaId, VmId, ZoneId} from 'stallpaddle';

/** Number of an accepted configuration; only rises. */
export type Revision = number;
/** Milliseconds since 1970. */
export type WallMs = number;

/** What an engine may be used for. */
export type EngineRole = 'all' | 'batch' | 'off' | 'online';

/** A backend server that runs models. */
export interface EngineConfig {
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  readonly host: string;
  readonly port: number;
  readonly role: EngineRole;
  /** Streams that it runs at once. */
  readonly slots: number;
  readonly zone: ZoneId;
}

/** A version of a model and the engines that shall hold it. */
export interface ModelVersion {
  readonly engines: readonly EngineId[];
  readonly version: string;
}

/** A backend server of a plain service. */
export interface PlainServer {
  readonly host: string;
  readonly port: number;
}

/** Something that callers can use. */
export type ServiceConfig =
  | {
      readonly adapters: readonly string[];
      /** Version that answers; one of `versions`. */
      readonly current: string;
      readonly kind: 'model';
      /** Name of the weights; callers use the service's name. */
      readonly model: string;
      readonly versions: readonly ModelVersion[];
    }
  | {
      readonly kind: 'plain';
      /** Whether its calls may be repeated unless a header says otherwise. */
      readonly repeatable: boolean;
      readonly servers: readonly PlainServer[];
    };

/** What a customer may use. */
export interface CustomerConfig {
  /** SHA-256 of its key, in hexadecimal. */
  readonly keyHash: string;
  /** Most requests a second over all VMs, or null for no limit of its own. */
  readonly requestsPerSecond: number | null;
  /** Share relative to others when there is not enough for all. */
  readonly weight: number;
}

/** What operators decided about a VM. */
export interface VmConfig {
  readonly draining: boolean;
}

/** Decided replacement of a replica whose disk was lost. */
export interface ReplacementConfig {
  readonly group: GroupId;
  readonly joining: ReplicaId;
  readonly leaving: ReplicaId;
}

/** The configuration, as named records so that a change names what it touches. */
export interface FleetConfig {
  readonly customers: ImmutableMap<CustomerId, CustomerConfig>;
  readonly engines: ImmutableMap<EngineId, EngineConfig>;
  /** By group and leaving replica. */
  readonly replacements: ImmutableMap<string, ReplacementConfig>;
  readonly services: ImmutableMap<string, ServiceConfig>;
  readonly vms: ImmutableMap<VmId, VmConfig>;
}

/** One record put or removed (null). */
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

/** What leads from one revision to the next. */
export interface RevisionChange {
  readonly changes: readonly ConfigChange[];
  readonly revision: Revision;
}

/** What an operator wants. */
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

/** One thing that will be done, in order. */
export interface PlanStep {
  readonly description: string;
  readonly targets: readonly string[];
}

/** Slots that serve a model before and after. */
export interface CapacityChange {
  readonly after: number;
  readonly before: number;
  readonly model: string;
}

/** What an intent would do. */
export interface PlanContent {
  readonly capacity: readonly CapacityChange[];
  readonly changes: readonly ConfigChange[];
  readonly steps: readonly PlanStep[];
  readonly warnings: readonly string[];
}

/** What became of a plan. */
export type PlanState =
  | {
      readonly at: WallMs;
      readonly by: string;
      readonly kind: 'confirmed';
      readonly revision: Revision;
    }
  | {readonly at: WallMs; readonly by: string; readonly kind: 'refused'; readonly reason: string}
  | {readonly kind: 'proposed'};

/** A plan as kept. */
export interface PlanRecord {
  readonly at: WallMs;
  /** Revision that the plan was made on. */
  readonly basis: Revision;
  readonly content: PlanContent;
  readonly id: string;
  readonly intent: Intent;
  readonly operator: string;
  readonly state: PlanState;
}

/** One line of the audit trail. */
export interface AuditEntry {
  readonly action: 'cancelJob' | 'confirm' | 'order' | 'plan' | 'refuse' | 'replaced' | 'start';
  readonly actor: string;
  readonly at: WallMs;
  readonly detail: string;
  readonly number: number;
  readonly planId: string | null;
  readonly revision: Revision;
}

/** Everything that the control group decides. */
export interface ControlState {
  readonly audit: List<AuditEntry>;
  readonly auditCount: number;
  readonly config: FleetConfig;
  /** The latest changes, for VMs that lag a little. */
  readonly history: List<RevisionChange>;
  readonly plans: ImmutableMap<string, PlanRecord>;
  readonly revision: Revision;
}

/** Changes to the control state. */
export type ControlCommand =
  | {
      readonly changes: readonly ConfigChange[];
      readonly now: WallMs;
      /** First configuration, from the settings; taken once, on revision 0. */
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
      /** Key of a replacement whose members have all been changed. */
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

/** Answers to commands. */
export type ControlCommandResult =
  | {readonly kind: 'ok'}
  | {readonly kind: 'plan'; readonly plan: PlanRecord}
  | {
      readonly code: 'badRequest' | 'conflict' | 'notFound';
      readonly kind: 'refused';
      readonly message: string;
    };
