/**
 * Carries out confirmed replacements of replicas, one change of members at a time.
 */
import type {Clock, Logger} from 'stallpaddle';
import type {ControlPort, ReplacementConfig} from 'stallpaddle-control';
import type {GroupMembers} from 'stallpaddle-replication';

import {errorMessage} from 'stallpaddle';

import type {AnyReplica, VmGroups} from './VmGroups';

/**
 * The next change of members that a replacement needs.
 *
 * @param members present members
 * @param replacement who joins and who leaves
 * @param caughtUp whether the joining replica holds all that is committed
 * @returns the next members, `wait` for the learner to catch up, or `ended`
 */
export function nextMembers(
  members: GroupMembers,
  {joining, leaving}: ReplacementConfig,
  caughtUp: boolean,
): GroupMembers | 'ended' | 'wait' {
  const {learners, voters} = members;
  if (!voters.includes(joining) && !learners.includes(joining)) {
    return {learners: [...learners, joining], voters};
  }
  if (!voters.includes(joining)) {
    const others = learners.filter((replica) => replica !== joining);
    return caughtUp ? {learners: others, voters: [...voters, joining]} : 'wait';
  }
  // The lost replica goes last: until then a majority needs one more of those that are there.
  return voters.includes(leaving)
    ? {learners, voters: voters.filter((replica) => replica !== leaving)}
    : 'ended';
}

/** What the work needs of its VM. */
export interface VmReplacementsOptions {
  readonly clock: Clock;
  readonly control: ControlPort;
  readonly groups: VmGroups;
  readonly logger: Logger;
  readonly replacements: () => readonly (readonly [string, ReplacementConfig])[];
}

/** Works on replacements in the groups that this VM leads. */
export class VmReplacements {
  /**
   * @param options what the work needs of its VM
   */
  constructor(private readonly options: VmReplacementsOptions) {}

  /** Looks once at all replacements and makes the changes that are due here. */
  async look(): Promise<void> {
    for (const [key, replacement] of this.options.replacements()) {
      const replica = this.options.groups.replicaOf(replacement.group);
      if (replica?.leads === true) {
        await this.advance(key, replacement, replica);
      }
    }
  }

  private async advance(
    key: string,
    replacement: ReplacementConfig,
    replica: AnyReplica,
  ): Promise<void> {
    const {members} = replica.status.log;
    const next = nextMembers(members, replacement, replica.isCaughtUp(replacement.joining));
    try {
      switch (next) {
        case 'ended': {
          const now = this.options.clock.wallMs();
          await this.options.control.command({key, now, type: 'endReplacement'});
          return;
        }
        case 'wait':
          return;
        default:
          await replica.changeMembers(next);
          this.options.logger.info('The members changed.', {
            group: replacement.group,
            voters: next.voters.join(' '),
          });
      }
    } catch (err) {
      this.options.logger.warn('A change of members waits.', {reason: errorMessage(err)});
    }
  }
}
