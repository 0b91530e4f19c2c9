/** Processes of a fleet whose engines register themselves. */
export {startNode} from './Node';
export {ADDRESSES_TTL_S} from './NodeConstants';
export {runNode} from './NodeMain';
export {type NodeSettings, NodeSettingsError, parseNodeSettings} from './NodeSettings';
export type {RunningNode} from './NodeTypes';
export type {
  MalformedCall,
  ControlCall,
  ControlReply,
  JobCall,
  JobSubmission,
  NodeWire,
  RawResponse,
  RawRequest,
} from './NodeWire';
