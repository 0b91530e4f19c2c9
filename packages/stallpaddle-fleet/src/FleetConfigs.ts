/**
 * Checks of a whole configuration, and the choice of a request's route.
 */
import type {FleetConfig, FleetRoute} from './FleetTypes';

import {findCustomerFault} from './FleetCustomers';

/** Why a configuration was not taken. */
export interface ConfigFault {
  /** One sentence for a person. */
  readonly message: string;
  /** Place in the configuration, such as `routes.2`. */
  readonly path: string;
}

function routeFault(route: FleetRoute, services: ReadonlySet<string>): string | null {
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    return `the path prefix ${route.pathPrefix} does not begin and end with a slash`;
  }
  const missing = route.split.find(({service}) => !services.has(service));
  if (missing !== undefined) {
    return `service ${missing.service} is not known`;
  }
  const total = route.split.reduce((sum, {weight}) => sum + weight, 0);
  if (!(total > 0) || route.split.some(({weight}) => weight < 0)) {
    return 'the weights of its services do not sum to more than 0';
  }
  return route.timeoutMs > 0 ? null : 'its time limit is not above 0';
}

/**
 * Finds the first fault of a configuration.
 *
 * @param config the configuration
 */
export function findConfigFault(config: FleetConfig): ConfigFault | null {
  const services = new Set(config.services.map(({name}) => name));
  const places = new Set<string>();
  for (const [index, route] of config.routes.entries()) {
    const fault = routeFault(route, services);
    if (fault !== null) {
      return {message: `Route ${route.name}: ${fault}.`, path: `routes.${index}`};
    }
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) {
      const message = `Route ${route.name}: another route has the same host and path prefix.`;
      return {message, path: `routes.${index}`};
    }
    places.add(place);
  }
  const fault = findCustomerFault(config.customers ?? []);
  return fault === null
    ? null
    : {message: `A customer: ${fault.message}.`, path: `customers.${fault.index}`};
}

/** Routes by host, longest prefix first; made once for each configuration. */
export class RouteTable {
  private readonly byHost = new Map<string, FleetRoute[]>();

  /**
   * @param config the configuration
   */
  constructor(config: FleetConfig) {
    for (const route of config.routes) {
      const known = this.byHost.get(route.host) ?? [];
      known.push(route);
      this.byHost.set(route.host, known);
    }
    this.byHost.forEach((routes) =>
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
  }

  /**
   * The route of a request, if there is one.
   *
   * @param host what the request's Host header names
   * @param path the request's path; a query may follow
   */
  find(host: string, path: string): FleetRoute | undefined {
    return this.byHost.get(host)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /**
   * Whether anybody may submit jobs to a host, and so ask for them.
   *
   * @param host what a call's Host header names
   */
  takesJobsOfAnybody(host: string): boolean {
    const isOpen = ({isPublic, kind}: FleetRoute): boolean => kind === 'batch' && isPublic === true;
    return this.byHost.get(host)?.some(isOpen) ?? false;
  }
}
