import type {ConnectRouter} from '@connectrpc/connect';
import type {GroupId} from 'stallpaddle';
import type {Message} from 'stallpaddle-replication';

import {Code, ConnectError} from '@connectrpc/connect';
import {decodeValue} from 'stallpaddle';
import {
  encodeOutcome,
  type InstallStep,
  PeerService,
  SnapshotReceiver,
  type SnapshotTarget,
  tryLocal,
} from 'stallpaddle-rpc';

/** What a process answers to the others. */
export interface NodeServiceOptions {
  /** Answers a command or question as the group's leader; throws a replica's errors otherwise. */
  readonly answer: (value: unknown) => unknown;
  readonly group: GroupId;
  /** The replica, once it has opened. */
  readonly replica: () => (SnapshotTarget & {receive: (message: Message) => void}) | undefined;
}

/**
 * Adds the service between processes to a router.
 *
 * @param router the server's router
 * @param options what the process answers
 */
export function addNodeService(router: ConnectRouter, options: NodeServiceOptions): void {
  const receiver = new SnapshotReceiver();
  const expectGroup = (group: string): void => {
    if (group !== options.group) {
      throw new ConnectError(`no replica of ${group} here`, Code.NotFound);
    }
  };
  router.service(PeerService, {
    call: async ({encoded, group}) => {
      expectGroup(group);
      return {outcome: encodeOutcome(await tryLocal(() => options.answer(decodeValue(encoded))))};
    },
    deliver: async (requests) => {
      for await (const {encoded} of requests) {
        encoded.forEach((bytes) => options.replica()?.receive(decodeValue<Message>(bytes)));
      }
      return {};
    },
    install: async ({group, step, term}) => {
      expectGroup(group);
      const replica = options.replica();
      if (replica === undefined) {
        throw new ConnectError('the replica has not opened yet', Code.Unavailable);
      }
      return receiver.take(group, replica, Number(term), step as InstallStep);
    },
  });
}
