/**
 * Errors of a replica's driver.
 */
import type {ReplicaId} from 'stallpaddle';

/** The replica does not lead, or may not answer without its lease. Nothing was taken on. */
export class NotLeaderError extends Error {
  override readonly name = 'NotLeaderError';

  /**
   * @param leader who leads, as far as this replica knows
   */
  constructor(readonly leader: ReplicaId | null) {
    super(leader === null ? 'no leader is known' : `replica ${leader} leads`);
  }
}

/** The command's outcome is unknown: it may still be committed. */
export class OutcomeUnknownError extends Error {
  override readonly name = 'OutcomeUnknownError';

  constructor() {
    super('the command may still be committed');
  }
}

/** The replica has ended after a failure of its disk or of an invariant. */
export class ReplicaStoppedError extends Error {
  override readonly name = 'ReplicaStoppedError';

  constructor() {
    super('the replica has ended');
  }
}
