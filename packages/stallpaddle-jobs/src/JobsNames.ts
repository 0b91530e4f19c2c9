/** Job names: each customer has a namespace of its own, and jobs of other customers are not found. */
import type {Job, JobId, JobName, JobsState} from './JobsTypes';

/**
 * The id of a job, unique within the group.
 *
 * @param name the job's name and customer
 */
export function jobIdOf({customer, job}: JobName): JobId {
  return customer === undefined ? job : JSON.stringify([customer, job]);
}

/**
 * Finds a job by its name and customer. A job that was submitted without a customer belongs to nobody and is found by
 * every customer.
 *
 * @param state the group's state
 * @param name the job's name and the requesting customer
 */
export function findJob({jobs}: Pick<JobsState, 'jobs'>, name: JobName): Job | undefined {
  const own = jobs.get(jobIdOf(name));
  if (own !== undefined && own.customer === name.customer) {
    return own;
  }
  const unowned = jobs.get(name.job);
  return unowned !== undefined && unowned.customer === undefined ? unowned : undefined;
}

/**
 * The key under which a customer's waiting tokens on a route are counted.
 *
 * @param route the route
 * @param customer the customer; undefined when the fleet has no customers
 */
export function waitingKey(route: string, customer: string | undefined): string {
  return customer === undefined ? route : JSON.stringify([route, customer]);
}
