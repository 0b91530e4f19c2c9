export {
  type CallRequest,
  CallResponseSchema,
  type ConverseRequest,
  ConverseResponseSchema,
  type DeliverRequest,
  PeerService,
} from './gen/stallpaddle/v1/peer_pb';
/** Calls between VMs: generated service, server and clients. */
export {RpcChannel, ONE_WAY_CALL_ID} from './RpcChannel';
export {openConnection, type PeerClient, type PeerConnection, RpcClients} from './RpcClients';
export {type DeliverySender, type DeliverySource, type Delivery, RpcOutbox} from './RpcOutbox';
export {completeMessages, RpcReassembler} from './RpcChunks';
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
