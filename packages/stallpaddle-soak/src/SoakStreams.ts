/** Check of streams: each is of one software version, also over the attempts of its caller. */
import {eventCount, SOFTWARE_VERSIONS, streamText, withoutVersion} from './SoakOutput';

/** Smallest number of attempts of which a share is checked. */
const MIN_ATTEMPTS = 12;
/** Least share of the attempts that begin, relative to the share of the new streams that do. */
const MIN_RATIO = 0.5;

/** Kind of an attempt at a stream. */
export type StreamAttempt =
  | 'fresh'
  /** Takes a stream up again. */
  | 'return'
  /** Shares a part of its prompt with requests that are quarantined for another part. */
  | 'sharer';

/** Stream that an attempt takes up again. */
export interface TakenUpStream {
  /** Id of the last event that the caller has. */
  readonly after: number;
  /** Id of the attempt that brought the first event. */
  readonly firstAttempt: string;
}

/** A response to an attempt at a stream. */
export interface StreamAnswer {
  readonly id: string;
  readonly resumes: TakenUpStream | undefined;
  readonly text: string;
  readonly whole: boolean;
}

/** Finding on a response. */
export type StreamFault = 'otherContent' | 'otherVersion' | undefined;

/** Numbers of attempts and of those that brought events. */
class Share {
  private asked = 0;
  private began = 0;

  note(hasBegun: boolean): void {
    this.asked++;
    this.began += Number(hasBegun);
  }

  get count(): number {
    return this.asked;
  }

  get value(): number {
    return this.asked === 0 ? 0 : this.began / this.asked;
  }
}

/** Tracks which software version wrote each stream, and how many of those that callers take up again go on. */
export class SoakStreams {
  private readonly shares = {fresh: new Share(), return: new Share(), sharer: new Share()};
  private readonly versions = new Map<string, string>();

  /**
   * Checks the content of a successful response.
   *
   * @param answer the response
   */
  check({id, resumes, text, whole}: StreamAnswer): StreamFault {
    const after = resumes?.after ?? 0;
    const fits = (expected: string, got: string): boolean =>
      whole ? expected === got : expected.startsWith(got);
    const version = SOFTWARE_VERSIONS.find((other) => fits(streamText(id, other, after), text));
    if (version === undefined) {
      const plain = withoutVersion(streamText(id, SOFTWARE_VERSIONS[0], after));
      return fits(plain, withoutVersion(text)) ? 'otherVersion' : 'otherContent';
    }
    return eventCount(text) > 0 && this.changesVersion(resumes?.firstAttempt ?? id, version)
      ? 'otherVersion'
      : undefined;
  }

  /**
   * Counts an attempt at an undisturbed fleet.
   *
   * @param kind kind of the attempt
   * @param hasBegun whether it brought events
   */
  count(kind: StreamAttempt, hasBegun: boolean): void {
    this.shares[kind].note(hasBegun);
  }

  /**
   * Describes a share of attempts that is too small; undefined if it is not.
   *
   * @param kind kind of the attempts
   */
  describeLost(kind: Exclude<StreamAttempt, 'fresh'>): string | undefined {
    const {fresh, [kind]: share} = this.shares;
    return share.count >= MIN_ATTEMPTS && share.value < fresh.value * MIN_RATIO
      ? `${share.value.toFixed(2)} of ${share.count} attempts (${kind}) began, ${fresh.value.toFixed(2)} of ${fresh.count} new streams did`
      : undefined;
  }

  private changesVersion(firstAttempt: string, version: string): boolean {
    const known = this.versions.get(firstAttempt) ?? version;
    this.versions.set(firstAttempt, known);
    return known !== version;
  }
}
