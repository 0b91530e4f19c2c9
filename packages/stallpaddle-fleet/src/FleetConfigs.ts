/**
 * Validation of configurations and routing of requests by host and path.
 */
import type {FleetConfig, FleetRoute} from './FleetTypes';

import {findCustomerFault} from './FleetCustomers';

/** Reason why a configuration was rejected. */
export interface ConfigFault {
  /** One sentence for the operator. */
  readonly message: string;
  /** Place in the configuration, such as `routes.2`. */
  readonly path: string;
}

/** Port, and the dot of a fully qualified name, at the end of a host. */
const HOST_SUFFIX = /\.?(?::\d*)?$/;

/** Form in which hosts are compared: their case does not matter (RFC 9110). */
function hostKey(host: string): string {
  return host.toLowerCase();
}

function withoutPort(host: string): string {
  return host.replace(HOST_SUFFIX, '');
}

function routeFault(route: FleetRoute, services: ReadonlySet<string>): string | null {
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    return `the path prefix ${route.pathPrefix} must start and end with a slash`;
  }
  const missing = route.split.find(({service}) => !services.has(service));
  if (missing !== undefined) {
    return `service ${missing.service} is not configured`;
  }
  const total = route.split.reduce((sum, {weight}) => sum + weight, 0);
  if (!(total > 0) || route.split.some(({weight}) => weight < 0)) {
    return 'the weights of its services must not be negative and must sum to more than 0';
  }
  return route.timeoutMs > 0 ? null : 'its timeout must be above 0';
}

/**
 * Validates a configuration and returns its first fault.
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
    const place = `${hostKey(route.host)} ${route.pathPrefix}`;
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

/** Where a job was submitted, and the name of the route that accepted it. */
export interface JobOrigin {
  readonly host: string;
  readonly path: string;
  readonly route: string;
}

/** Looks up routes by host and longest path prefix; built once for each configuration. */
export class RouteTable {
  private readonly batchByName = new Map<string, FleetRoute[]>();
  private readonly byHost = new Map<string, FleetRoute[]>();

  /**
   * @param config the configuration
   */
  constructor(config: FleetConfig) {
    for (const route of config.routes) {
      const host = hostKey(route.host);
      const known = this.byHost.get(host) ?? [];
      known.push(route);
      this.byHost.set(host, known);
      if (route.kind === 'batch') {
        this.batchByName.set(route.name, [...(this.batchByName.get(route.name) ?? []), route]);
      }
    }
    this.byHost.forEach((routes) =>
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
  }

  /**
   * Returns the route of a request, if any matches.
   *
   * @param host host name of the request's Host header
   * @param path the request's path, with or without a query
   */
  find(host: string, path: string): FleetRoute | undefined {
    return this.routesOf(host).find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /**
   * Returns the route of an accepted job: the batch route that accepted it, even if the job's path now belongs to another
   * route. If that one was removed, another batch route with the job's path takes its place.
   *
   * @param job the job
   */
  findForJob({host, path, route}: JobOrigin): FleetRoute | undefined {
    const ofHost = this.routesOf(host);
    const hasPath = (other: FleetRoute): boolean =>
      ofHost.includes(other) && path.startsWith(other.pathPrefix);
    const named = this.batchByName.get(route) ?? [];
    return (
      named.find(hasPath) ??
      named[0] ??
      ofHost.find((other) => other.kind === 'batch' && hasPath(other))
    );
  }

  /**
   * Whether callers without a customer key may submit and read jobs at a host.
   *
   * @param host host name of the call's Host header
   */
  takesJobsOfAnybody(host: string): boolean {
    const isOpen = ({isPublic, kind}: FleetRoute): boolean => kind === 'batch' && isPublic === true;
    return this.routesOf(host).some(isOpen);
  }

  /** Routes of a host; one that is configured without a port has the requests for any of its ports. */
  private routesOf(host: string): readonly FleetRoute[] {
    const key = hostKey(host);
    return this.byHost.get(key) ?? this.byHost.get(withoutPort(key)) ?? [];
  }
}
