/**
 * Simulated callers: they look up VM addresses, cache them, and resend a request when a VM fails.
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
const completionSchema = z.object({
  choices: z.array(z.object({message: z.object({content: z.string()})})).length(1),
});
const chunkSchema = z.object({
  choices: z.array(z.object({delta: z.object({content: z.string().optional()})})),
});

const MAX_ATTEMPTS = 20;
const RETRY_PAUSE_MS = 150;

/** Outcomes of online requests. */
export interface OnlineCounts {
  /** Requests with the expected response. */
  answered: number;
  /** Requests whose response differs from the expected one. */
  crossed: number;
  /** Requests without a response after all attempts. */
  lost: number;
  sent: number;
}

function completionText(text: string): string {
  return completionSchema.parse(JSON.parse(text)).choices[0]!.message.content;
}

function streamedText(text: string): string {
  const events = text.split('\n\n').filter((event) => event.startsWith('data: {'));
  return events
    .map((event) => chunkSchema.parse(JSON.parse(event.slice('data: '.length))))
    .map(({choices}) => choices[0]?.delta.content ?? '')
    .join('');
}

/** Sends requests of one customer to the VMs in turn and counts their outcomes. */
export class DemoCallers {
  readonly counts: OnlineCounts = {answered: 0, crossed: 0, lost: 0, sent: 0};
  readonly firstByte: Histogram = createLatencyHistogram();
  private addresses: readonly Address[] = [];
  private addressesExpireAt = 0;
  private nextIndex = 0;

  /**
   * @param seeds VMs that are asked for the current addresses
   * @param key API key of the customer
   * @param model service that online requests name as their model
   */
  constructor(
    private readonly seeds: readonly Address[],
    private readonly key: string,
    private readonly model: string,
  ) {}

  /**
   * Sends an online request, with retries, and checks the response against the expected text.
   *
   * @param prompt the request
   * @param stream whether the response is streamed
   */
  async ask(prompt: DemoPrompt, stream: boolean): Promise<void> {
    this.counts.sent++;
    const {maxTokens, messages} = prompt;
    const body = JSON.stringify({max_tokens: maxTokens, messages, model: this.model, stream});
    const response = await this.call('POST', '/v1/chat/completions', body);
    if (response === undefined) {
      this.counts.lost++;
      return;
    }
    recordMs(this.firstByte, response.firstByteMs);
    const text = stream ? streamedText(response.text) : completionText(response.text);
    const expected = answerWords(messages.map(({content}) => content).join('\n'), maxTokens).join(
      ' ',
    );
    if (text === expected) {
      this.counts.answered++;
    } else {
      this.counts.crossed++;
    }
  }

  /**
   * Sends a request to one VM after another until one returns a status that is neither 429 nor 5xx.
   *
   * @param method HTTP method
   * @param path path with query
   * @param body request body
   * @param headers additional headers
   * @returns the response, or undefined when every attempt failed
   */
  async call(
    method: string,
    path: string,
    body = '',
    headers: Readonly<Record<string, string>> = {},
  ): Promise<ServerAnswer | undefined> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const address = await this.nextAddress();
      try {
        const response = await callServer({...address, body, headers, key: this.key, method, path});
        if (response.status < 500 && response.status !== 429) {
          return response;
        }
      } catch {
        // The VM may have failed: refresh the addresses before the next attempt.
        this.addressesExpireAt = 0;
      }
      await delay(RETRY_PAUSE_MS);
    }
    return undefined;
  }

  private async nextAddress(): Promise<Address> {
    if (Date.now() > this.addressesExpireAt) {
      await this.refresh();
    }
    return this.addresses[this.nextIndex++ % this.addresses.length] ?? this.seeds[0]!;
  }

  private async refresh(): Promise<void> {
    for (let attempt = 0; attempt < this.seeds.length; attempt++) {
      const server = this.seeds[this.nextIndex++ % this.seeds.length]!;
      try {
        const {text} = await callServer({...server, path: '/addresses'});
        const {addresses, lifetimeMs} = addressesSchema.parse(JSON.parse(text));
        this.addresses = addresses;
        this.addressesExpireAt = Date.now() + lifetimeMs;
        return;
      } catch {
        // This VM is unreachable: ask the next one.
      }
    }
  }
}
