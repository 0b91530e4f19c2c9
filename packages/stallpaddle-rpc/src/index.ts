export {CallResponseSchema, PeerService} from './gen/stallpaddle/v1/peer_pb';
/** Calls between VMs: generated service, server and clients. */
export {type PeerClient, RpcClients} from './RpcClients';
export {type RpcServer, startRpcServer} from './RpcServer';
