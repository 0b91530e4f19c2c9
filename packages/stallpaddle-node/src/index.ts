/** Processes of a fleet whose engines register themselves. */
export {startNode} from './Node';
export {ADDRESSES_TTL_S} from './NodeConstants';
export type {RunningNode} from './NodeControl';
export {runNode} from './NodeMain';
export {type NodeSettings, NodeSettingsError, parseNodeSettings} from './NodeSettings';
export type {
  BadCall,
  ControlCall,
  ControlReply,
  JobCall,
  JobSubmission,
  NodeWire,
  RawAnswer,
  RawCall,
} from './NodeWire';
