/** Clients of backend servers: interface, HTTP implementation and concurrency limits. */
export {
  BackendError,
  type BackendRequest,
  type BackendResponse,
  type EngineAdapter,
  type EngineStatus,
  type OrderOutcome,
} from './EngineAdapter';
export {
  ATTEMPT_HEADER,
  HttpEngine,
  LOAD_PATH,
  ORDERS_PATH,
  PRIORITY_HEADER,
  readBody,
  TIMEOUT_HEADER,
} from './EngineHttp';
export {EngineLanes} from './EngineLanes';
