export {CallResponseSchema, PeerService} from './gen/stallpaddle/v1/peer_pb';
/** Calls between VMs: generated service, server and clients. */
export {type PeerClient, RpcClients, type RpcClientsOptions} from './RpcClients';
export {RpcOutbox} from './RpcOutbox';
export {type RpcServer, startRpcServer} from './RpcServer';
export {
  type InstallReply,
  type InstallStep,
  sendSnapshot,
  SnapshotReceiver,
  type SnapshotTarget,
} from './RpcSnapshots';
export {encodeOutcome, tryLocal, type TryOutcome, tryRemote, type TryRequest} from './RpcTry';
