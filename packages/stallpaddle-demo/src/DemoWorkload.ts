/**
 * Generates the online requests and batch files of the two example users from a seed.
 */
import type {Random} from 'stallpaddle';

/** Marks a prompt that the stand-in engines always fail to complete. */
const UNCOMPLETABLE = '[[uncompletable]]';

const TRADES = ['bakery', 'tailor', 'fishmonger', 'carpenter', 'florist', 'printer'] as const;
const HOTELS = ['Miramar', 'Costa Verde', 'Arenal', 'Puerto Viejo', 'La Marina'] as const;
const REGISTRY_HEAD =
  'You check articles of incorporation for the registry. Name each missing clause in one line.';
const LAUNDRY_HEAD = 'You tag pickup notes and check delivery complaints of hotels.';

function pick<T>(random: Random, from: readonly T[]): T {
  return from[Math.floor(random() * from.length)]!;
}

/** An online chat request. */
export interface DemoPrompt {
  readonly maxTokens: number;
  readonly messages: readonly {readonly content: string; readonly role: string}[];
}

/**
 * Generates an online request of one of the two users.
 *
 * @param random random number generator
 * @param number number of the request; makes the prompt unique
 */
export function onlinePrompt(random: Random, number: number): DemoPrompt {
  const isRegistry = random() < 0.5;
  const content = isRegistry
    ? `Filing ${number}: articles of a ${pick(random, TRADES)}`
    : `Note ${number}: ${pick(random, HOTELS)} asks for ${Math.ceil(random() * 90)} sheets`;
  return {
    maxTokens: isRegistry ? 16 : 8,
    messages: [
      {content: isRegistry ? REGISTRY_HEAD : LAUNDRY_HEAD, role: 'system'},
      {content, role: 'user'},
    ],
  };
}

/** A batch file with the expected outcome of its items. */
export interface DemoBatch {
  readonly customIds: readonly string[];
  readonly jsonl: string;
  /** Ids of the items that must fail. */
  readonly uncompletable: readonly string[];
}

/**
 * Generates a batch file.
 *
 * @param name prefix of the item ids
 * @param items number of items
 * @param uncompletableInterval the last item of every so many cannot be completed; 0 for none
 * @param model model named in the items
 */
export function batchFile(
  name: string,
  items: number,
  uncompletableInterval: number,
  model: string,
): DemoBatch {
  const numbers = Array.from({length: items}, (_, index) => index);
  const isUncompletable = (index: number): boolean =>
    uncompletableInterval > 0 && index % uncompletableInterval === uncompletableInterval - 1;
  const lines = numbers.map((index) =>
    JSON.stringify({
      body: {
        max_tokens: 8,
        messages: [
          {
            content: `${name} item ${index}${isUncompletable(index) ? ` ${UNCOMPLETABLE}` : ''}`,
            role: 'user',
          },
        ],
        model,
      },
      custom_id: `${name}-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
    }),
  );
  return {
    customIds: numbers.map((index) => `${name}-${index}`),
    jsonl: `${lines.join('\n')}\n`,
    uncompletable: numbers.filter(isUncompletable).map((index) => `${name}-${index}`),
  };
}
