export {
  type CallRequest,
  CallResponseSchema,
  type ConverseRequest,
  ConverseResponseSchema,
  type DeliverRequest,
  PeerService,
} from './gen/stallpaddle/v1/peer_pb';
/** Calls, messages and snapshots between VMs. */
export {ONE_WAY_CALL_ID, RpcChannel} from './RpcChannel';
export {completeMessages, RpcReassembler} from './RpcChunks';
export {openConnection, type PeerClient, type PeerConnection, RpcClients} from './RpcClients';
export {type Delivery, type DeliverySender, type DeliverySource, RpcOutbox} from './RpcOutbox';
export {RpcQueue} from './RpcQueue';
export {type RpcServer, startRpcServer} from './RpcServer';
export {
  type InstallReply,
  type InstallStep,
  sendSnapshot,
  SnapshotReceiver,
  type SnapshotTarget,
} from './RpcSnapshots';
export {encodeOutcome, tryLocal, type TryOutcome, tryRemote, type TryRequest} from './RpcTry';
