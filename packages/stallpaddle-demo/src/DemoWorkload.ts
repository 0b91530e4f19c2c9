/**
 * Seeded requests of the two users: counter and phone by day, filings and route sheets in batches.
 */
import type {Random} from 'stallpaddle';

/** Mark of a prompt that no engine can answer; the stand-in engines know it. */
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
 * An online request of a clerk or a supervisor.
 *
 * @param random source
 * @param number makes the prompt unlike any other
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

/** A batch file and what must become of its items. */
export interface DemoBatch {
  readonly customIds: readonly string[];
  readonly jsonl: string;
  /** Items that can never be completed. */
  readonly uncompletable: readonly string[];
}

/**
 * A batch of annual filings or route sheets.
 *
 * @param name names the items
 * @param items number of items
 * @param everyBad every so many items, one can never be completed; 0 for none
 * @param model model that the items name
 */
export function batchFile(name: string, items: number, everyBad: number, model: string): DemoBatch {
  const numbers = Array.from({length: items}, (_, index) => index);
  const isBad = (index: number): boolean => everyBad > 0 && index % everyBad === everyBad - 1;
  const lines = numbers.map((index) =>
    JSON.stringify({
      body: {
        max_tokens: 8,
        messages: [
          {
            content: `${name} item ${index}${isBad(index) ? ` ${UNCOMPLETABLE}` : ''}`,
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
    uncompletable: numbers.filter(isBad).map((index) => `${name}-${index}`),
  };
}
