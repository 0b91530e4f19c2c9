/** Routes of the configuration that this process holds. */
import {refuse} from 'stallpaddle';
import {type FleetConfig, type FleetRoute, RouteTable} from 'stallpaddle-fleet';

import type {NodeLog} from './NodeLog';
import type {NodeWatch} from './NodeWatch';

import {CONFIG_RETRY_AFTER_MS, ROUTE_MAX_AGE_MS} from './NodeConstants';

/**
 * Finds the route of a request in the configuration held here. Only before it refuses a path without a route does it ask
 * the leader for the latest configuration.
 */
export class NodeRoutes {
  /** Undefined before the first configuration. */
  private table: RouteTable | undefined;

  /**
   * @param watch the fleet status
   * @param log the log of the component that serves callers
   */
  constructor(
    private readonly watch: Pick<NodeWatch, 'ageMs' | 'lacksConfig' | 'refresh' | 'view'>,
    private readonly log: Pick<NodeLog, 'decide'>,
  ) {}

  /**
   * Applies a configuration.
   *
   * @param config the configuration
   */
  applyConfig(config: FleetConfig): void {
    this.table = new RouteTable(config);
  }

  /**
   * Whether jobs for a host may be submitted, and so read, without a customer's key.
   *
   * @param host the Host header
   */
  takesJobsOfAnybody(host: string): boolean {
    return this.table?.takesJobsOfAnybody(host) ?? false;
  }

  /**
   * Finds the route of a request in the configuration held here.
   *
   * @param host the Host header
   * @param path path and query
   * @throws {RefusalError} `unavailable` before the first configuration, `stale` while a newer one may be in force
   */
  find(host: string, path: string): FleetRoute | undefined {
    if (this.table === undefined) {
      throw refuse('unavailable', 'This VM has no configuration yet.', {
        retryAfterMs: CONFIG_RETRY_AFTER_MS,
      });
    }
    if (this.watch.lacksConfig) {
      throw refuse(
        'stale',
        'A newer configuration may be in force and can’t be read at the moment.',
        {
          retryAfterMs: CONFIG_RETRY_AFTER_MS,
        },
      );
    }
    return this.table.find(host, path);
  }

  /**
   * Finds the route of a request, by the latest configuration if necessary.
   *
   * @param host the Host header
   * @param path path and query
   * @throws {RefusalError} `notFound` when the latest configuration has none, `stale` when it can't be read
   */
  async routeOf(host: string, path: string): Promise<FleetRoute> {
    const known = this.find(host, path);
    if (known !== undefined) {
      return known;
    }
    const isFresh = await this.watch.refresh(ROUTE_MAX_AGE_MS);
    const found = this.find(host, path);
    if (found !== undefined) {
      return found;
    }
    if (!isFresh) {
      throw refuse('stale', 'The latest configuration can’t be read at the moment.', {
        retryAfterMs: CONFIG_RETRY_AFTER_MS,
      });
    }
    this.log.decide('noRoute', host, {
      path,
      version: this.watch.view.config?.version,
      viewAgeMs: Math.round(this.watch.ageMs),
    });
    throw refuse('notFound', 'No route matches this host and path.');
  }
}
