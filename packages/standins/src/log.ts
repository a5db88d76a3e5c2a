/**
 * Stand-in for the log service: streams in memory, retention by count, and switches
 * for outage, slowness and lost replies.
 */
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import * as serving from './serve.js';

/** Faults that the log shows. */
export interface LogControl {
  /** Answer everything with 503. */
  readonly outage?: boolean;
  /** Delay before each append and read takes effect, in ms. */
  readonly slowMs?: number;
  /** How many of the next appends take effect and lose their reply. */
  readonly loseReplies?: number;
  /** How many of the next requests are never answered; their connection stays open. */
  readonly silentRequests?: number;
}

/** What the log counted. */
export interface LogAudit {
  readonly appends: number;
  readonly records: number;
  readonly reads: number;
  readonly bytesIn: number;
}

interface StreamState {
  oldest: number;
  records: core.records.LogRecord<unknown>[];
  readonly waiting: Set<() => void>;
}

interface NewRecord {
  readonly id: string;
  readonly body: unknown;
}

/** The log service. */
export class LogStandin {
  readonly #streams = new Map<string, StreamState>();
  readonly #retainRecords: number;
  #control: LogControl = {};
  #server: serving.Server | undefined;
  #audit = { appends: 0, records: 0, reads: 0, bytesIn: 0 };

  /** Keeps the last `retainRecords` records of each stream. */
  constructor(retainRecords = 1_000_000) {
    this.#retainRecords = retainRecords;
  }

  /** Starts to serve and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(host, port, (incoming, response) =>
      this.handle(incoming, response),
    );
    return this.#server.address;
  }

  /** Stops serving; the records stay, so that `start` with the same port resumes. */
  async stop(): Promise<void> {
    await this.#server?.stop();
  }

  /** Replaces the switches. */
  set(control: LogControl): void {
    this.#control = control;
    if (control.outage === true) this.#notifyAll();
  }

  /** Returns all kept records of a stream. */
  read(stream: string): readonly core.records.LogRecord<unknown>[] {
    return this.#find(stream).records;
  }

  /** Returns what was counted since the start. */
  readAudit(): LogAudit {
    return { ...this.#audit };
  }

  /** Answers one request. */
  async handle(
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    if (incoming.path === '/-/control') {
      this.set(serving.parseBody(incoming) as LogControl);
      serving.respondJson(response, 200, this.#control);
      return;
    }
    if (incoming.path === '/-/audit') {
      serving.respondJson(response, 200, this.#audit);
      return;
    }
    if (this.#takeOne('silentRequests')) return;
    const slowMs = this.#control.slowMs ?? 0;
    if (slowMs > 0) await waitMs(slowMs);
    if (this.#control.outage === true) {
      serving.respondJson(response, 503, { error: 'outage' });
      return;
    }
    const name = /^\/streams\/([^/]+)$/.exec(incoming.path)?.[1];
    if (name === undefined) serving.respondJson(response, 404, {});
    else if (incoming.method === 'POST')
      this.#append(decodeURIComponent(name), incoming, response);
    else await this.#readPage(decodeURIComponent(name), incoming, response);
  }

  #append(
    name: string,
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): void {
    const body = serving.parseBody(incoming) as { records?: NewRecord[] };
    const stream = this.#find(name);
    const first = stream.oldest + stream.records.length;
    const added = body.records ?? [];
    added.forEach((record, at) => {
      stream.records.push({
        offset: first + at,
        id: record.id,
        body: record.body,
      });
    });
    this.#audit.appends += 1;
    this.#audit.records += added.length;
    this.#audit.bytesIn += incoming.body.length;
    this.#dropOldest(stream);
    for (const wake of [...stream.waiting]) wake();
    if (this.#takeOne('loseReplies')) {
      response.destroy();
      return;
    }
    serving.respondJson(response, 200, { first, next: first + added.length });
  }

  #dropOldest(stream: StreamState): void {
    const surplus = stream.records.length - this.#retainRecords;
    if (surplus <= 0) return;
    stream.records = stream.records.slice(surplus);
    stream.oldest += surplus;
  }

  async #readPage(
    name: string,
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#audit.reads += 1;
    const stream = this.#find(name);
    const from = Number(incoming.query.get('from') ?? 0);
    const max = Number(incoming.query.get('max') ?? 1_000);
    const limitMs = Number(incoming.query.get('wait_ms') ?? 0);
    if (from >= readNext(stream) && limitMs > 0)
      await waitForRecords(stream, limitMs, response);
    if (response.destroyed) return;
    if (this.#control.outage === true) {
      serving.respondJson(response, 503, { error: 'outage' });
      return;
    }
    const { oldest } = stream;
    const next = readNext(stream);
    if (from < oldest) {
      serving.respondJson(response, 410, { oldest, next });
      return;
    }
    const records = stream.records.slice(from - oldest, from - oldest + max);
    serving.respondJson(response, 200, { oldest, next, records });
  }

  #find(name: string): StreamState {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const stream: StreamState = { oldest: 0, records: [], waiting: new Set() };
    this.#streams.set(name, stream);
    return stream;
  }

  #notifyAll(): void {
    for (const stream of this.#streams.values())
      for (const wake of [...stream.waiting]) wake();
  }

  #takeOne(name: 'loseReplies' | 'silentRequests'): boolean {
    const left = this.#control[name] ?? 0;
    if (left <= 0) return false;
    this.#control = { ...this.#control, [name]: left - 1 };
    return true;
  }
}

function readNext(stream: StreamState): number {
  return stream.oldest + stream.records.length;
}

function waitForRecords(
  stream: StreamState,
  limitMs: number,
  response: http.ServerResponse,
): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      clearTimeout(timer);
      stream.waiting.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, limitMs);
    stream.waiting.add(wake);
    response.on('close', wake);
  });
}

/** Resolves after a real delay. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
