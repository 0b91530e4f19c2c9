/**
 * Requests that wait for their command to be committed and applied.
 */
import type {ReplicaId} from 'stallpaddle';

import type {LogEntry, LogIndex, Term} from './ReplicationTypes';

import {NotLeaderError, OutcomeUnknownError, ReplicaStoppedError} from './ReplicaErrors';

interface Caller {
  readonly reject: (err: Error) => void;
  readonly resolve: (result: unknown) => void;
}

interface AppendedCaller extends Caller {
  readonly term: Term;
}

/** Matches proposed commands with applied entries, and settles the promises of their callers. */
export class ReplicaRequests {
  private nextId = 0;
  private readonly appended = new Map<LogIndex, AppendedCaller>();
  private readonly pending = new Map<number, Caller>();

  /**
   * Starts a request.
   *
   * @param start passes the request to the state machine
   * @returns the result, once the command is applied
   */
  add(start: (requestId: number) => void): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const requestId = ++this.nextId;
      this.pending.set(requestId, {reject, resolve});
      start(requestId);
    });
  }

  /**
   * Records the log position of the command of a request.
   *
   * @param requestId id of the request
   * @param index index of its entry
   * @param term term of its entry
   */
  markAppended(requestId: number, index: LogIndex, term: Term): void {
    const caller = this.pending.get(requestId)!;
    this.pending.delete(requestId);
    this.appended.get(index)?.reject(new OutcomeUnknownError());
    this.appended.set(index, {...caller, term});
  }

  /**
   * Rejects a request that was not accepted.
   *
   * @param requestId id of the request
   * @param leader the leader, if known
   */
  reject(requestId: number, leader: ReplicaId | null): void {
    this.pending.get(requestId)?.reject(new NotLeaderError(leader));
    this.pending.delete(requestId);
  }

  /**
   * Settles the request at the index of an applied entry.
   *
   * @param entry the applied entry
   * @param result result of the state machine
   * @param leader the leader, if known
   */
  complete(entry: LogEntry, result: unknown, leader: ReplicaId | null): void {
    const caller = this.appended.get(entry.index);
    this.appended.delete(entry.index);
    if (caller?.term === entry.term) {
      caller.resolve(result);
    } else {
      // The entry at this index is another leader's, so the command of the request was not committed.
      caller?.reject(new NotLeaderError(leader));
    }
  }

  /**
   * Rejects requests whose command is in the log: the next leader may or may not commit it, and callers should not wait
   * for that.
   */
  abandonAppended(): void {
    for (const caller of this.appended.values()) {
      caller.reject(new OutcomeUnknownError());
    }
    this.appended.clear();
  }

  /** Rejects all requests because the replica has stopped. */
  stop(): void {
    this.abandonAppended();
    for (const caller of this.pending.values()) {
      caller.reject(new ReplicaStoppedError());
    }
    this.pending.clear();
  }
}
