/**
 * Callers as the users run them: they ask for addresses, keep them for a moment, and send again
 * when a VM goes.
 */
import type {Histogram} from 'hdr-histogram-js';

import {delay} from 'stallpaddle';
import {createLatencyHistogram, recordMs} from 'stallpaddle-gateway';
import {callServer, type ServerAnswer} from 'stallpaddle-load';
import {answerWords} from 'stallpaddle-standin';
import {z} from 'zod';

import type {DemoPrompt} from './DemoWorkload';

interface Address {
  readonly host: string;
  readonly port: number;
}

const addressesSchema = z.object({
  addresses: z.array(z.object({host: z.string(), port: z.number()})),
  lifetimeMs: z.number(),
});
const wholeSchema = z.object({
  choices: z.array(z.object({message: z.object({content: z.string()})})).length(1),
});
const chunkSchema = z.object({
  choices: z.array(z.object({delta: z.object({content: z.string().optional()})})),
});

const ATTEMPTS = 20;
const PAUSE_MS = 150;

/** What became of online requests. */
export interface OnlineCounts {
  answered: number;
  crossed: number;
  lost: number;
  sent: number;
}

function wholeText(text: string): string {
  return wholeSchema.parse(JSON.parse(text)).choices[0]!.message.content;
}

function streamedText(text: string): string {
  const events = text.split('\n\n').filter((event) => event.startsWith('data: {'));
  return events
    .map((event) => chunkSchema.parse(JSON.parse(event.slice('data: '.length))))
    .map(({choices}) => choices[0]?.delta.content ?? '')
    .join('');
}

/** Callers of one customer. */
export class DemoCallers {
  readonly counts: OnlineCounts = {answered: 0, crossed: 0, lost: 0, sent: 0};
  readonly firstByte: Histogram = createLatencyHistogram();
  private addresses: readonly Address[] = [];
  private addressesUntil = 0;
  private turn = 0;

  /**
   * @param known VMs to ask for addresses
   * @param key the customer's key
   * @param model service to ask
   */
  constructor(
    private readonly known: readonly Address[],
    private readonly key: string,
    private readonly model: string,
  ) {}

  /**
   * Sends a request until it is answered, and checks that the answer is its own.
   *
   * @param prompt the request
   * @param stream whether it is streamed
   */
  async ask(prompt: DemoPrompt, stream: boolean): Promise<void> {
    this.counts.sent++;
    const {maxTokens, messages} = prompt;
    const body = JSON.stringify({max_tokens: maxTokens, messages, model: this.model, stream});
    const answer = await this.call('POST', '/v1/chat/completions', body);
    if (answer === undefined) {
      this.counts.lost++;
      return;
    }
    recordMs(this.firstByte, answer.firstByteMs);
    const text = stream ? streamedText(answer.text) : wholeText(answer.text);
    const wanted = answerWords(messages.map(({content}) => content).join('\n'), maxTokens).join(
      ' ',
    );
    if (text === wanted) {
      this.counts.answered++;
    } else {
      this.counts.crossed++;
    }
  }

  /**
   * Makes a call at any VM until one answers.
   *
   * @param method HTTP method
   * @param path path with query
   * @param body body
   * @param headers further headers
   * @returns the answer, or undefined when none came
   */
  async call(
    method: string,
    path: string,
    body = '',
    headers: Readonly<Record<string, string>> = {},
  ): Promise<ServerAnswer | undefined> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const address = await this.nextAddress();
      try {
        const answer = await callServer({...address, body, headers, key: this.key, method, path});
        if (answer.status < 500 && answer.status !== 429) {
          return answer;
        }
      } catch {
        // The VM went with the request: ask another one.
        this.addressesUntil = 0;
      }
      await delay(PAUSE_MS);
    }
    return undefined;
  }

  private async nextAddress(): Promise<Address> {
    if (Date.now() > this.addressesUntil) {
      await this.refresh();
    }
    return this.addresses[this.turn++ % this.addresses.length] ?? this.known[0]!;
  }

  private async refresh(): Promise<void> {
    for (let attempt = 0; attempt < this.known.length; attempt++) {
      const server = this.known[this.turn++ % this.known.length]!;
      try {
        const {text} = await callServer({...server, path: '/addresses'});
        const {addresses, lifetimeMs} = addressesSchema.parse(JSON.parse(text));
        this.addresses = addresses;
        this.addressesUntil = Date.now() + lifetimeMs;
        return;
      } catch {
        // This VM is gone; the next one knows the addresses too.
      }
    }
  }
}
