import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {GroupId} from 'stallpaddle';
import type {Message} from 'stallpaddle-replication';

import {Code, ConnectError} from '@connectrpc/connect';
import {decodeValue} from 'stallpaddle';
import {
  type CallRequest,
  type CallResponseSchema,
  type ConverseRequest,
  type ConverseResponseSchema,
  encodeOutcome,
  type InstallStep,
  PeerService,
  RpcQueue,
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

/** Answers the calls of a standing stream side by side. */
async function* converse(
  requests: AsyncIterable<ConverseRequest>,
  answer: (call: CallRequest) => Promise<MessageInitShape<typeof CallResponseSchema>>,
): AsyncGenerator<MessageInitShape<typeof ConverseResponseSchema>> {
  const answers = new RpcQueue<MessageInitShape<typeof ConverseResponseSchema>>();
  const readAll = async (): Promise<void> => {
    try {
      for await (const {call, id} of requests) {
        if (call !== undefined) {
          answer(call).then(
            (answered) => answers.add({answer: answered, id}),
            // Without an answer the caller takes the outcome for unknown.
            () => answers.add({answer: {outcome: {case: 'outcomeUnknown', value: {}}}, id}),
          );
        }
      }
    } catch {
      // The caller has gone; its answers go nowhere.
    }
    answers.end();
  };
  void readAll();
  yield* answers.take();
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
  const answer = async ({encoded, group}: Pick<CallRequest, 'encoded' | 'group'>) => {
    expectGroup(group);
    return {outcome: encodeOutcome(await tryLocal(() => options.answer(decodeValue(encoded))))};
  };
  router.service(PeerService, {
    call: answer,
    converse: (requests) => converse(requests, answer),
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
