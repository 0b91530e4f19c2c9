/**
 * Names of jobs. A submitter chooses its job's name and needs to know nobody else's, so each customer has names of its own:
 * whoever asks for another customer's job asks for one that isn't there.
 */
import type {Job, JobId, JobName, JobsState} from './JobsTypes';

/**
 * A job's name within the whole group.
 *
 * @param name its submitter's own name for it
 */
export function jobIdOf({customer, job}: JobName): JobId {
  return customer === undefined ? job : JSON.stringify([customer, job]);
}

/**
 * The job that a submitter means. A job that was taken while the fleet knew no customers belongs to nobody: whoever names it
 * may have it.
 *
 * @param state the group's state
 * @param name the job as its submitter names it
 */
export function findJob({jobs}: Pick<JobsState, 'jobs'>, name: JobName): Job | undefined {
  const own = jobs.get(jobIdOf(name));
  if (own !== undefined && own.customer === name.customer) {
    return own;
  }
  const nobodys = jobs.get(name.job);
  return nobodys !== undefined && nobodys.customer === undefined ? nobodys : undefined;
}

/**
 * Under which name a customer's waiting tokens on a route are counted.
 *
 * @param route the route
 * @param customer the customer; undefined where the fleet knows none
 */
export function waitingKey(route: string, customer: string | undefined): string {
  return customer === undefined ? route : JSON.stringify([route, customer]);
}
