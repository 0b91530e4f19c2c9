/** RPC service between processes: calls, replication messages and snapshots. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {GroupId} from 'stallpaddle';
import type {Message} from 'stallpaddle-replication';

import {Code, ConnectError} from '@connectrpc/connect';
import {decodeValue} from 'stallpaddle';
import {
  type CallRequest,
  completeMessages,
  type ConverseRequest,
  type ConverseResponseSchema,
  type DeliverRequest,
  encodeOutcome,
  type InstallStep,
  ONE_WAY_CALL_ID,
  PeerService,
  RpcQueue,
  RpcReassembler,
  SnapshotReceiver,
  type SnapshotTarget,
  tryLocal,
} from 'stallpaddle-rpc';

/** Handlers of the service. */
export interface NodeServiceOptions {
  /** Answers a command or query as the group's leader; throws a replica's errors otherwise. */
  readonly answer: (value: unknown) => unknown;
  readonly group: GroupId;
  /** Called for each call that failed unexpectedly; its caller learns only that the outcome is unknown. */
  readonly onFailure: (err: unknown) => void;
  /** The replica, once it has opened. */
  readonly replica: () => (SnapshotTarget & {receive: (message: Message) => void}) | undefined;
}

type ConverseAnswer = MessageInitShape<typeof ConverseResponseSchema>;

/** Answer to a call whose outcome is unknown. */
const NO_OUTCOME: ConverseAnswer['answer'] = {outcome: {case: 'outcomeUnknown', value: {}}};

/** Answers the requests of a stream concurrently. */
async function* converse(
  requests: AsyncIterable<ConverseRequest>,
  answer: (content: ConverseRequest['content']) => Promise<ConverseAnswer['answer']>,
  onFailure: (err: unknown) => void,
): AsyncGenerator<ConverseAnswer> {
  const answers = new RpcQueue<ConverseAnswer>();
  const readAll = async (): Promise<void> => {
    try {
      for await (const {content, id} of requests) {
        answer(content).then(
          (answered) => {
            if (id !== ONE_WAY_CALL_ID) {
              answers.add({answer: answered, id});
            }
          },
          (err: unknown) => {
            onFailure(err);
            answers.add({answer: NO_OUTCOME, id});
          },
        );
      }
    } catch {
      // The caller has disconnected, so its answers can't be delivered.
    }
    answers.end();
  };
  void readAll();
  yield* answers.take();
}

/**
 * Adds the service to a router.
 *
 * @param router the server's router
 * @param options the handlers
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
  const receive = (delivery: DeliverRequest, join: RpcReassembler): void =>
    completeMessages(delivery, join).forEach((bytes) =>
      options.replica()?.receive(decodeValue<Message>(bytes)),
    );
  const answerAny = async (content: ConverseRequest['content'], join: RpcReassembler) => {
    switch (content.case) {
      case 'call':
        return answer(content.value);
      case 'deliver':
        receive(content.value, join);
        return {};
      case undefined:
        return NO_OUTCOME;
    }
  };
  router.service(PeerService, {
    call: answer,
    converse: (requests) => {
      const join = new RpcReassembler();
      return converse(requests, (content) => answerAny(content, join), options.onFailure);
    },
    install: async ({group, step, term}) => {
      expectGroup(group);
      const replica = options.replica();
      if (replica === undefined) {
        throw new ConnectError('the replica is not open yet', Code.Unavailable);
      }
      return receiver.take(group, replica, Number(term), step as InstallStep);
    },
  });
}
