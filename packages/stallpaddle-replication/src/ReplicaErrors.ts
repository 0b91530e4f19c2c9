/**
 * Errors reported to callers of a replica.
 */
import type {ReplicaId} from 'stallpaddle';

/** The replica is not the leader or has no lease. The request was not accepted. */
export class NotLeaderError extends Error {
  override readonly name = 'NotLeaderError';

  /**
   * @param leader leader known to this replica, if any
   */
  constructor(readonly leader: ReplicaId | null) {
    super(leader === null ? 'no leader is known' : `replica ${leader} leads`);
  }
}

/** The outcome of the command is unknown: it may still be committed. */
export class OutcomeUnknownError extends Error {
  override readonly name = 'OutcomeUnknownError';

  constructor() {
    super('the command may still be committed');
  }
}

/** The replica has stopped, because it was closed or after a failure of its disk or of an invariant. */
export class ReplicaStoppedError extends Error {
  override readonly name = 'ReplicaStoppedError';

  constructor() {
    super('the replica has stopped');
  }
}
