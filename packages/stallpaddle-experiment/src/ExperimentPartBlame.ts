/**
 * Simulates parts of prompts that crash every engine, and counts crashes until they are quarantined and harmless requests
 * that are refused meanwhile. It applies the production rules. Findings reach other VMs late; engines also crash for
 * external reasons.
 */
import {type Random, seededRandom} from 'stallpaddle';
import {
  afterEngineEnd,
  afterPartsEnd,
  afterPartsRelease,
  afterPartsTrial,
  type FleetSuspectParts,
  type FleetSuspects,
  type KnownPart,
  type NoteEngineEnd,
  suspectPartViews,
} from 'stallpaddle-fleet';
import {RelaySuspectParts} from 'stallpaddle-relay';

/** Parameters of one simulated fleet. */
export interface PartBlameInput {
  /** Number of parts that crash engines, all within the same time. */
  readonly causes: number;
  readonly engines: number;
  /** Requests with such a part in a second. */
  readonly fatalPerSecond: number;
  /** Mean time between crashes of one engine for external reasons, in milliseconds. */
  readonly meanLifeMs: number;
  readonly outbreaks: number;
  readonly seed: number;
  /** Harmless requests in a second. */
  readonly soundPerSecond: number;
}

/** Totals of a simulation. */
export interface PartBlameResult {
  /** Mean number of crashes by a cause. */
  readonly crashes: number;
  /** Largest number of requests with the part that started later than the bound after the fifth crash. */
  readonly mostLate: number;
  /** Harmless requests that were refused, and their largest share in one outbreak after its last crash. */
  readonly refused: number;
  readonly worstRefusedShare: number;
  readonly sound: number;
}

const VMS = 9;
const STEP_MS = 5;
/** Time from a crash until all VMs know it: the probe, the record and the fleet status. */
const KNOWN_AFTER_MS = 300;
const CRASH_DELAY_MS = 65;
/** Time from the start of a run until it clears its parts. */
const PASSED_AFTER_MS = 120;
const RESTART_MS = 4_000;
const OUTBREAK_MS = 30_000;
/** Time between two outbreaks, in which suspects expire. */
const PAUSE_MS = 70_000;
/** Time in which all VMs know what one has reported. */
const CONTACT_MS = 3_000;
const FIRST_PARTS = 8;
const SECOND_PARTS = 246;
const CRASHES_ALLOWED = 5;

interface Run {
  readonly at: number;
  readonly cause: null | string;
  readonly engine: number;
  readonly known: readonly KnownPart[];
  readonly name: string;
  readonly vm: number;
}

/** Figures of one cause in one outbreak. */
interface Outbreak {
  crashes: number;
  fifthAt: number;
  lastCrashAt: number;
  late: number;
  refusedLate: number;
  soundLate: number;
}

function newOutbreak(): Outbreak {
  const counts = {crashes: 0, late: 0, refusedLate: 0, soundLate: 0};
  return {...counts, fifthAt: Infinity, lastCrashAt: Infinity};
}

class PartBlameModel {
  private readonly availableAt: number[];
  private now = 0;
  /** Figures of the current outbreak by cause. */
  private outbreak: ReadonlyMap<string, Outbreak> = new Map();
  readonly outbreaks: Outbreak[] = [];
  private parts: FleetSuspectParts = new Map();
  private readonly pending: {readonly apply: () => void; readonly at: number}[] = [];
  private readonly random: Random;
  refused = 0;
  private requests: FleetSuspects = new Map();
  private runs: Run[] = [];
  private sequence = 0;
  sound = 0;
  private views = suspectPartViews(this.parts, this.requests);
  private readonly vms: readonly RelaySuspectParts[];

  constructor(private readonly input: PartBlameInput) {
    this.random = seededRandom(input.seed);
    this.availableAt = Array.from({length: input.engines}, () => 0);
    this.vms = Array.from({length: VMS}, () => this.makeVm());
  }

  async run(): Promise<void> {
    for (let number = 0; number < this.input.outbreaks; number++) {
      await this.simulate(PAUSE_MS, []);
      const causes = Array.from({length: this.input.causes}, (_, at) => `x${number}.${at}`);
      this.outbreak = new Map(causes.map((cause) => [cause, newOutbreak()]));
      this.outbreaks.push(...this.outbreak.values());
      await this.simulate(OUTBREAK_MS, causes);
      this.outbreak = new Map();
    }
  }

  private makeVm(): RelaySuspectParts {
    return new RelaySuspectParts({
      clock: {monotonicMs: () => this.now, wallMs: () => this.now},
      release: (release) => {
        this.later(() => (this.parts = afterPartsRelease(this.parts, release, this.now)));
        return Promise.resolve();
      },
      reported: () => this.views,
      requestTrial: () => Promise.reject(new Error('the model grants trials itself')),
    });
  }

  private later(apply: () => void): void {
    this.pending.push({apply, at: this.now + KNOWN_AFTER_MS});
  }

  private async simulate(spanMs: number, causes: readonly string[]): Promise<void> {
    const {fatalPerSecond, soundPerSecond} = this.input;
    const endAt = this.now + spanMs;
    for (; this.now < endAt; this.now += STEP_MS) {
      this.applyPending();
      if (this.random() < (soundPerSecond * STEP_MS) / 1_000) {
        this.send(null);
      }
      for (const cause of causes) {
        if (this.random() < (fatalPerSecond * STEP_MS) / 1_000) {
          this.send(cause);
        }
      }
      this.crashEngines();
      this.passRuns();
      // Lets the VMs learn that their findings are recorded.
      await undefined;
    }
  }

  private applyPending(): void {
    const due = this.pending.filter(({at}) => at <= this.now);
    if (due.length > 0) {
      due.forEach(({apply}) => apply());
      const rest = this.pending.filter(({at}) => at > this.now);
      this.pending.splice(0, this.pending.length, ...rest);
      this.views = suspectPartViews(this.parts, this.requests);
    }
  }

  private send(cause: null | string): void {
    const first = `a${Math.floor(this.random() * FIRST_PARTS)}`;
    const second = cause ?? `b${Math.floor(this.random() ** 2 * SECOND_PARTS)}`;
    const parts = [first, second];
    const vm = Math.floor(this.random() * VMS);
    const isAllowed = this.isAllowed(vm, parts);
    this.count(cause, isAllowed);
    const engine = Math.floor(this.random() * this.input.engines);
    if (isAllowed && this.availableAt[engine]! <= this.now) {
      const known = this.vms[vm]!.describe(parts);
      this.runs.push({at: this.now, cause, engine, known, name: `r${this.sequence++}`, vm});
    }
  }

  private isAllowed(vm: number, parts: readonly string[]): boolean {
    const verdict = this.vms[vm]!.verdictOn(parts);
    switch (verdict.kind) {
      case 'allowed':
        return true;
      case 'held':
        return false;
      case 'trialDue': {
        const {parts: tried, trials} = verdict.group;
        const granted = afterPartsTrial(
          this.parts,
          {kind: 'tryParts', parts: tried, trials},
          this.now,
        );
        this.parts = granted ?? this.parts;
        return granted !== undefined;
      }
    }
  }

  private count(cause: null | string, isAllowed: boolean): void {
    if (cause !== null) {
      const outbreak = this.outbreak.get(cause)!;
      outbreak.late += Number(isAllowed && this.now - outbreak.fifthAt > CONTACT_MS);
      return;
    }
    this.sound++;
    this.refused += Number(!isAllowed);
    for (const outbreak of this.outbreak.values()) {
      if (this.now - outbreak.lastCrashAt > 2 * CONTACT_MS) {
        outbreak.soundLate++;
        outbreak.refusedLate += Number(!isAllowed);
      }
    }
  }

  private crashEngines(): void {
    const {engines, meanLifeMs} = this.input;
    const crashed = new Set<number>();
    if (this.random() < (engines * STEP_MS) / meanLifeMs) {
      crashed.add(Math.floor(this.random() * engines));
    }
    for (const {at, cause, engine} of this.runs) {
      if (cause !== null && this.now - at >= CRASH_DELAY_MS) {
        crashed.add(engine);
        this.noteCrash(cause);
      }
    }
    this.runs.filter(({engine}) => crashed.has(engine)).forEach((run) => this.report(run));
    this.runs = this.runs.filter(({engine}) => !crashed.has(engine));
    crashed.forEach((engine) => (this.availableAt[engine] = this.now + RESTART_MS));
  }

  private noteCrash(cause: string): void {
    const outbreak = this.outbreak.get(cause);
    if (outbreak !== undefined) {
      outbreak.crashes++;
      outbreak.lastCrashAt = this.now;
      outbreak.fifthAt = outbreak.crashes === CRASHES_ALLOWED ? this.now : outbreak.fifthAt;
    }
  }

  /** Reports the exit of a run's engine, as its VM does after it has checked the engine. */
  private report({engine, known, name}: Run): void {
    const end: NoteEngineEnd = {
      digest: name,
      engine: `e${engine}`,
      kind: 'noteEngineEnd',
      known: 0,
      parts: known,
      startedAtMs: this.now,
    };
    this.later(() => {
      this.parts = afterPartsEnd(this.parts, end, this.now);
      this.requests = afterEngineEnd(this.requests, end, this.now);
    });
  }

  private passRuns(): void {
    const hasPassed = ({at}: Run): boolean => this.now - at >= PASSED_AFTER_MS;
    this.runs.filter(hasPassed).forEach(({known, vm}) => {
      this.vms[vm]!.noteServed(known.map(({part}) => part));
    });
    this.runs = this.runs.filter((run) => !hasPassed(run));
  }
}

/**
 * Simulates one fleet.
 *
 * @param input parameters of the fleet
 */
export async function modelPartBlame(input: PartBlameInput): Promise<PartBlameResult> {
  const model = new PartBlameModel(input);
  await model.run();
  const {outbreaks, refused, sound} = model;
  const crashes = outbreaks.reduce((sum, outbreak) => sum + outbreak.crashes, 0);
  const shares = outbreaks.map(({refusedLate, soundLate}) => refusedLate / Math.max(1, soundLate));
  return {
    crashes: crashes / outbreaks.length,
    mostLate: Math.max(...outbreaks.map(({late}) => late)),
    refused,
    sound,
    worstRefusedShare: Math.max(...shares),
  };
}
