/** Processes of a fleet with self-registering engines. */
export {startNode} from './Node';
export {ADDRESSES_TTL_S} from './NodeConstants';
export {runNode} from './NodeMain';
export {type NodeSettings, NodeSettingsError, parseNodeSettings} from './NodeSettings';
export type {RunningNode} from './NodeTypes';
export type {
  AddressQuestion,
  ControlCall,
  ControlReply,
  JobCall,
  JobSubmission,
  MalformedCall,
  NodeWire,
  RawRequest,
  RawResponse,
} from './NodeWire';
