/** The service that this VM offers to other VMs. */
import type {ConnectRouter} from '@connectrpc/connect';
import type {EngineId, VmId} from 'stallpaddle';

import {Code, ConnectError} from '@connectrpc/connect';
import {decodeValue} from 'stallpaddle';
import {
  completeMessages,
  encodeOutcome,
  type InstallStep,
  PeerService,
  RpcReassembler,
  SnapshotReceiver,
} from 'stallpaddle-rpc';

import type {VmGroups} from './VmGroups';
import type {VmHeartbeats} from './VmHeartbeats';

import {callLocal} from './VmGroupClient';

/**
 * Adds the service to a router.
 *
 * @param router the server's router
 * @param groups this VM's replicas; undefined without a disk
 * @param heartbeats responds to heartbeats
 * @param applyOnlineReport records another VM's online streams on an engine; returns the total
 */
export function addPeerService(
  router: ConnectRouter,
  groups: VmGroups | undefined,
  heartbeats: VmHeartbeats,
  applyOnlineReport: (engine: EngineId, vm: VmId, online: number) => number,
): void {
  const receiver = new SnapshotReceiver();
  const replicaOf = (group: string) => {
    const replica = groups?.replicaOf(group);
    if (replica === undefined) {
      throw new ConnectError(`no replica of ${group} here`, Code.NotFound);
    }
    return replica;
  };
  router.service(PeerService, {
    beat: async ({encoded}) => ({encoded: await heartbeats.respond(encoded)}),
    call: async ({encoded, group, query}) => ({
      outcome: encodeOutcome(await callLocal(groups, group, encoded, query)),
    }),
    deliver: async (requests) => {
      const reassembler = new RpcReassembler();
      for await (const request of requests) {
        completeMessages(request, reassembler).forEach((bytes) =>
          groups?.receive(decodeValue(bytes)),
        );
      }
      return {};
    },
    identify: ({group}) => ({
      replica: groups?.self ?? '',
      voters: [...(groups?.membersOf(group)?.voters ?? [])],
    }),
    install: async ({group, step, term}) =>
      receiver.take(group, replicaOf(group), Number(term), step as InstallStep),
    readBlob: async ({group, length, offset}) => ({
      payload: await replicaOf(group).readBlob({length, offset: Number(offset)}),
    }),
    tell: ({engine, online, vm}) => ({online: applyOnlineReport(engine, vm, online)}),
  });
}
