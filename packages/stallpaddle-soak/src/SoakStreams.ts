/** Check of streams: each is of one software version, also over the attempts of its caller. */
import {eventCount, SOFTWARE_VERSIONS, streamText, withoutVersion} from './SoakOutput';

/** Smallest number of returns of which a share is checked. */
const MIN_RETURNS = 12;
/** Least share of the returns that go on, relative to the share of the new streams that begin. */
const MIN_RETURN_RATIO = 0.5;

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
  private readonly fresh = new Share();
  private readonly returns = new Share();
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
   * @param isReturn whether it takes a stream up again
   * @param hasBegun whether it brought events
   */
  count(isReturn: boolean, hasBegun: boolean): void {
    (isReturn ? this.returns : this.fresh).note(hasBegun);
  }

  /** Describes a share of returns that is too small; undefined if there is none. */
  describeLostReturns(): string | undefined {
    const {fresh, returns} = this;
    return returns.count >= MIN_RETURNS && returns.value < fresh.value * MIN_RETURN_RATIO
      ? `${returns.value.toFixed(2)} of ${returns.count} returns went on, ${fresh.value.toFixed(2)} of ${fresh.count} new streams began`
      : undefined;
  }

  private changesVersion(firstAttempt: string, version: string): boolean {
    const known = this.versions.get(firstAttempt) ?? version;
    this.versions.set(firstAttempt, known);
    return known !== version;
  }
}
