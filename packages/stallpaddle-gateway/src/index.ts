/** HTTP interface for callers and operators. */
export {sha256} from './GatewayAuth';
export type {GatewayContext} from './GatewayContext';
export {IDEMPOTENCY_KEY_HEADER, REPEATABLE_HEADER} from './GatewayHttp';
export {createLatencyHistogram, GatewayMetrics, recordMs} from './GatewayMetrics';
export {GatewayServer} from './GatewayServer';
