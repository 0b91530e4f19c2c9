/**
 * Callers that wait for their command's place in the log, and then for its result.
 */
import type {ReplicaId} from 'stallpaddle';

import type {LogEntry, LogIndex, Term} from './ReplicationTypes';

import {NotLeaderError, OutcomeUnknownError, ReplicaStoppedError} from './ReplicaErrors';

interface Caller {
  readonly reject: (err: Error) => void;
  readonly resolve: (result: unknown) => void;
}

interface PlacedCaller extends Caller {
  readonly term: Term;
}

/** See the module's comment. */
export class ReplicaRequests {
  private nextId = 0;
  private readonly placed = new Map<LogIndex, PlacedCaller>();
  private readonly waiting = new Map<number, Caller>();

  /**
   * Adds a caller.
   *
   * @param start hands the request to the state machine
   * @returns the result, once the command was applied
   */
  add(start: (requestId: number) => void): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const requestId = ++this.nextId;
      this.waiting.set(requestId, {reject, resolve});
      start(requestId);
    });
  }

  /**
   * Notes where a request's command stands.
   *
   * @param requestId the request
   * @param index its place
   * @param term its term
   */
  place(requestId: number, index: LogIndex, term: Term): void {
    const caller = this.waiting.get(requestId)!;
    this.waiting.delete(requestId);
    this.placed.get(index)?.reject(new OutcomeUnknownError());
    this.placed.set(index, {...caller, term});
  }

  /**
   * Ends a request that was not taken on.
   *
   * @param requestId the request
   * @param leader who leads, where known
   */
  refuse(requestId: number, leader: ReplicaId | null): void {
    this.waiting.get(requestId)?.reject(new NotLeaderError(leader));
    this.waiting.delete(requestId);
  }

  /**
   * Ends the request whose place was applied.
   *
   * @param entry the entry that was applied
   * @param result the state machine's answer
   * @param leader who leads, where known
   */
  finish(entry: LogEntry, result: unknown, leader: ReplicaId | null): void {
    const caller = this.placed.get(entry.index);
    this.placed.delete(entry.index);
    if (caller?.term === entry.term) {
      caller.resolve(result);
    } else {
      // Another leader's entry took the place: the waiting command was never committed.
      caller?.reject(new NotLeaderError(leader));
    }
  }

  /** Ends requests that the next leader may still commit: nobody should wait for that. */
  abandonPlaced(): void {
    for (const caller of this.placed.values()) {
      caller.reject(new OutcomeUnknownError());
    }
    this.placed.clear();
  }

  /** Ends all requests because the replica has ended. */
  stop(): void {
    this.abandonPlaced();
    for (const caller of this.waiting.values()) {
      caller.reject(new ReplicaStoppedError());
    }
    this.waiting.clear();
  }
}
