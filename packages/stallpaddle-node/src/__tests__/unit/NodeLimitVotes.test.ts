/** Model of an owner and its two voting deputies, with lost and late messages, and with processes that start again. */
import type {MonotonicMs, VmId} from 'stallpaddle';
import type {AskVote} from 'stallpaddle-limits';

import {seededRandom, systemClock} from 'stallpaddle';
import {VOTE_MS} from 'stallpaddle-limits';
import {describe, expect, test} from 'vitest';

import {NodeLimitVotes, type VoteAnswer} from '../../NodeLimitVotes';

const OWNER = 'a';
const DEPUTY = 'b';
const VOTER = 'c';

interface Message {
  readonly deliverAt: MonotonicMs;
  readonly deliver: () => void;
}

/** Three VMs with one clock. */
class Fleet {
  /** Delay of a message between two VMs, in milliseconds; undefined if it is lost. */
  delayMs: (from: VmId, to: VmId) => number | undefined = () => 0;
  now = 0;
  replacedSeen = 0;
  private messages: readonly Message[] = [];
  private readonly votes = new Map<VmId, NodeLimitVotes>();

  constructor() {
    [OWNER, DEPUTY, VOTER].forEach((host) => this.start(host));
  }

  /** Starts a VM's process, or starts it again without what it knew. */
  start(host: VmId): void {
    const votes = new NodeLimitVotes({
      askAt: (to, ask) => this.askAt(host, to, ask),
      clock: {...systemClock, monotonicMs: () => this.now},
      host,
      note: () => {},
      onReplaced: () => this.replacedSeen++,
    });
    this.votes.set(host, votes);
  }

  mayOwn(): Promise<boolean> {
    return this.votes.get(OWNER)!.mayOwn([DEPUTY, VOTER]);
  }

  mayReplace(): Promise<boolean> {
    return this.votes.get(DEPUTY)!.mayReplace(OWNER, [VOTER]);
  }

  /** Advances the clock and delivers what is due. */
  async advance(ms: number): Promise<void> {
    const end = this.now + ms;
    for (;;) {
      const due = this.messages
        .filter(({deliverAt}) => deliverAt <= end)
        .sort((a, b) => a.deliverAt - b.deliverAt)[0];
      if (due === undefined) {
        break;
      }
      this.messages = this.messages.filter((message) => message !== due);
      this.now = Math.max(this.now, due.deliverAt);
      due.deliver();
      await settle();
    }
    this.now = end;
    await settle();
  }

  private async askAt(from: VmId, to: VmId, ask: AskVote): Promise<VoteAnswer> {
    if (!(await this.carry(from, to))) {
      return undefined;
    }
    const answer = this.votes.get(to)!.answer(ask);
    return (await this.carry(to, from)) ? answer : undefined;
  }

  /** Resolves when a message arrives, or to false when its loss is noticed. */
  private carry(from: VmId, to: VmId): Promise<boolean> {
    const delayMs = this.delayMs(from, to);
    return new Promise((resolve) => {
      const message = {
        deliver: () => resolve(delayMs !== undefined),
        deliverAt: this.now + (delayMs ?? 120),
      };
      this.messages = [...this.messages, message];
    });
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await Promise.resolve();
  }
}

describe('NodeLimitVotes', () => {
  // Guards against an owner that is cut off and its deputy, which both grant a customer's whole limit.
  test('never lets an owner and its deputy grant at once, and always one of them soon after a cut', async () => {
    for (let seed = 1; seed <= 60; seed++) {
      const random = seededRandom(seed);
      const fleet = new Fleet();
      const cut = {host: '', isOnlyTrouble: false, until: 0};
      fleet.delayMs = (from, to) => {
        const isCutNow = fleet.now < cut.until;
        const isLost = random() < 0.05;
        const lateMs = 1 + Math.floor(random() ** 4 * 900);
        if (isCutNow && (from === cut.host) !== (to === cut.host)) {
          return undefined;
        }
        return isCutNow && cut.isOnlyTrouble ? 1 : isLost ? undefined : lateMs;
      };
      const rights: {readonly at: MonotonicMs; readonly who: VmId}[] = [];
      const note = async (who: VmId, answer: Promise<boolean>) => {
        if (await answer) {
          rights.push({at: fleet.now, who});
        }
      };
      for (let step = 0; step < 400; step++) {
        if (step === 200 || (fleet.now >= cut.until && random() < 0.02)) {
          cut.host = step === 200 ? OWNER : [OWNER, DEPUTY, VOTER][Math.floor(random() * 3)]!;
          cut.isOnlyTrouble = step === 200;
          cut.until = fleet.now + 3_000;
        }
        if (random() < 0.005) {
          fleet.start([DEPUTY, VOTER][Math.floor(random() * 2)]!);
        }
        void note(OWNER, fleet.mayOwn());
        void note(DEPUTY, fleet.mayReplace());
        await fleet.advance(1 + Math.floor(random() * 60));
      }
      const owned = new Set(rights.filter(({who}) => who === OWNER).map(({at}) => at));
      const both = rights.filter(({at, who}) => who === DEPUTY && owned.has(at));
      expect(both).toEqual([]);
      expect(new Set(rights.map(({who}) => who)).size).toBe(2);
    }
  });

  test('lets the owner grant while one deputy is lost, and its deputy soon after the loss of the owner', async () => {
    const fleet = new Fleet();
    const lost = new Set<VmId>([VOTER]);
    fleet.delayMs = (from, to) => (lost.has(from) || lost.has(to) ? undefined : 1);
    await fleet.advance(VOTE_MS);
    const grants = async (ask: () => Promise<boolean>): Promise<boolean> => {
      let isGranted = false;
      void ask().then((answer) => (isGranted = answer));
      await fleet.advance(125);
      return isGranted;
    };
    for (let round = 0; round < 20; round++) {
      expect(await grants(() => fleet.mayOwn())).toBe(true);
      expect(await grants(() => fleet.mayReplace())).toBe(false);
    }
    lost.clear();
    lost.add(OWNER);
    await fleet.advance(VOTE_MS);
    expect(await grants(() => fleet.mayReplace())).toBe(true);
    expect(await grants(() => fleet.mayOwn())).toBe(false);
    expect(fleet.replacedSeen).toBe(0);
    lost.clear();
    await fleet.advance(VOTE_MS);
    expect(await grants(() => fleet.mayOwn())).toBe(true);
    expect(fleet.replacedSeen).toBeGreaterThan(0);
  });
});
