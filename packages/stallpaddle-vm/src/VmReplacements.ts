/** Replacements of replicas, one membership change at a time. */
import type {Clock, Logger} from 'stallpaddle';
import type {ControlPort, ReplacementConfig} from 'stallpaddle-control';
import type {GroupMembers} from 'stallpaddle-replication';

import {errorMessage} from 'stallpaddle';

import type {AnyReplica, VmGroups} from './VmGroups';

/**
 * Returns the next membership change of a replacement.
 *
 * @param members current members
 * @param replacement the joining and the leaving replica
 * @param caughtUp whether the joining replica holds all committed entries
 * @returns the next members, `wait` while the learner catches up, or `ended`
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
    const otherLearners = learners.filter((replica) => replica !== joining);
    return caughtUp ? {learners: otherLearners, voters: [...voters, joining]} : 'wait';
  }
  // The leaving replica is removed last, so that the group never has fewer voters than before.
  return voters.includes(leaving)
    ? {learners, voters: voters.filter((replica) => replica !== leaving)}
    : 'ended';
}

/** Dependencies of `VmReplacements`. */
export interface VmReplacementsOptions {
  readonly clock: Clock;
  readonly control: ControlPort;
  readonly groups: VmGroups;
  readonly logger: Logger;
  readonly replacements: () => readonly (readonly [string, ReplacementConfig])[];
}

/** Carries out confirmed replacements of replicas in the groups that this VM leads. */
export class VmReplacements {
  /**
   * @param options dependencies
   */
  constructor(private readonly options: VmReplacementsOptions) {}

  /** Advances each replacement by at most one membership change. */
  async check(): Promise<void> {
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
          this.options.logger.info('Changed the members of a group.', {
            group: replacement.group,
            voters: next.voters.join(' '),
          });
      }
    } catch (err) {
      this.options.logger.warn('A membership change failed and will be retried.', {
        reason: errorMessage(err),
      });
    }
  }
}
