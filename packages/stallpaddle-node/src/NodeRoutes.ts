/**
 * Routes as this process knows them. Only a path without a route needs the latest configuration: the leader is asked for it
 * then.
 */
import {refuse} from 'stallpaddle';
import {type FleetConfig, type FleetRoute, RouteTable} from 'stallpaddle-fleet';

import type {NodeLog} from './NodeLog';
import type {NodeWatch} from './NodeWatch';

import {CONFIG_RETRY_AFTER_MS, ROUTE_MAX_AGE_MS} from './NodeConstants';

/** See the module's comment. */
export class NodeRoutes {
  /** Undefined before the first configuration. */
  private table: RouteTable | undefined;

  /**
   * @param watch what is known of the fleet
   * @param log the log of the part that serves callers
   */
  constructor(
    private readonly watch: Pick<NodeWatch, 'ageMs' | 'freshen' | 'view'>,
    private readonly log: Pick<NodeLog, 'decide'>,
  ) {}

  /**
   * Takes in a configuration.
   *
   * @param config the configuration
   */
  follow(config: FleetConfig): void {
    this.table = new RouteTable(config);
  }

  /**
   * Whether anybody may submit jobs to a host, and so ask for them.
   *
   * @param host what a call's Host header names
   */
  takesJobsOfAnybody(host: string): boolean {
    return this.table?.takesJobsOfAnybody(host) ?? false;
  }

  /**
   * The route of a request, as it is known here.
   *
   * @param host what the request's Host header names
   * @param path path and query
   * @throws {RefusalError} `unavailable` before the first configuration
   */
  find(host: string, path: string): FleetRoute | undefined {
    if (this.table === undefined) {
      throw refuse('unavailable', 'No configuration is known yet.', {
        retryAfterMs: CONFIG_RETRY_AFTER_MS,
      });
    }
    return this.table.find(host, path);
  }

  /**
   * The route of a request.
   *
   * @param host what the request's Host header names
   * @param path path and query
   * @throws {RefusalError} `notFound` when none leads there, `stale` while that isn't certain
   */
  async routeOf(host: string, path: string): Promise<FleetRoute> {
    const known = this.find(host, path);
    if (known !== undefined) {
      return known;
    }
    const isFresh = await this.watch.freshen(ROUTE_MAX_AGE_MS);
    const found = this.find(host, path);
    if (found !== undefined) {
      return found;
    }
    if (!isFresh) {
      throw refuse('stale', 'The latest configuration is not known now.', {
        retryAfterMs: CONFIG_RETRY_AFTER_MS,
      });
    }
    this.log.decide('noRoute', host, {
      path,
      version: this.watch.view.config?.version,
      viewAgeMs: Math.round(this.watch.ageMs),
    });
    throw refuse('notFound', 'No route leads there.');
  }
}
