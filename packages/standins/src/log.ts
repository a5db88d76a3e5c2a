/**
 * Stand-in for the log service: append-only streams in memory, retention by record count,
 * and fault injection (outage, slow requests, lost replies, requests without an answer).
 */
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import * as serving from './serve.js';

/** Faults to inject. */
export interface LogControl {
  /** Answer everything with 503. */
  readonly outage?: boolean;
  /** Delay before each append and read takes effect, in ms. */
  readonly slowMs?: number;
  /** Number of next appends that take effect but whose connection closes before the reply. */
  readonly loseReplies?: number;
  /** Number of next requests that are never answered; their connection stays open. */
  readonly silentRequests?: number;
}

/** Counts since the start. */
export interface LogAudit {
  readonly appends: number;
  readonly records: number;
  readonly reads: number;
  readonly bytesIn: number;
}

interface StreamState {
  oldest: number;
  records: core.records.LogRecord<unknown>[];
  readonly waiters: Set<() => void>;
}

interface NewRecord {
  readonly id: string;
  readonly body: unknown;
}

export class LogStandin {
  readonly #streams = new Map<string, StreamState>();
  readonly #retainRecords: number;
  #faults: LogControl = {};
  #server: serving.Server | undefined;
  #audit = { appends: 0, records: 0, reads: 0, bytesIn: 0 };

  /** Retains the last `retainRecords` records of each stream. */
  constructor(retainRecords = 1_000_000) {
    this.#retainRecords = retainRecords;
  }

  /** Starts listening and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(host, port, (incoming, response) =>
      this.handle(incoming, response),
    );
    return this.#server.address;
  }

  /** Stops listening; the records stay, so that `start` with the same port resumes the service. */
  async stop(): Promise<void> {
    await this.#server?.stop();
  }

  /** Replaces the injected faults. */
  setFaults(faults: LogControl): void {
    this.#faults = faults;
    if (faults.outage === true) this.#notifyReaders();
  }

  /** Returns the retained records of a stream. */
  getRecords(stream: string): readonly core.records.LogRecord<unknown>[] {
    return this.#ensureStream(stream).records;
  }

  /** Returns the counts since the start. */
  getAudit(): LogAudit {
    return { ...this.#audit };
  }

  /** Answers one request, subject to the injected faults. */
  async handle(
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    if (incoming.path === '/-/control') {
      this.setFaults(serving.parseBody(incoming) as LogControl);
      serving.respondJson(response, 200, this.#faults);
      return;
    }
    if (incoming.path === '/-/audit') {
      serving.respondJson(response, 200, this.#audit);
      return;
    }
    if (this.#takeFault('silentRequests')) return;
    const slowMs = this.#faults.slowMs ?? 0;
    if (slowMs > 0) await waitMs(slowMs);
    if (this.#faults.outage === true) {
      serving.respondJson(response, 503, { error: 'outage' });
      return;
    }
    const name = /^\/streams\/([^/]+)$/.exec(incoming.path)?.[1];
    if (name === undefined) serving.respondJson(response, 404, {});
    else if (incoming.method === 'POST')
      this.#append(decodeURIComponent(name), incoming, response);
    else await this.#readPage(decodeURIComponent(name), incoming, response);
  }

  /** Appends the records and resumes the readers that wait for new ones. */
  #append(
    name: string,
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): void {
    const body = serving.parseBody(incoming) as { records?: NewRecord[] };
    const stream = this.#ensureStream(name);
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
    for (const resume of [...stream.waiters]) resume();
    if (this.#takeFault('loseReplies')) {
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

  /** Answers a read; at the end of the stream it waits up to `wait_ms` for a record (long polling). */
  async #readPage(
    name: string,
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#audit.reads += 1;
    const stream = this.#ensureStream(name);
    const from = Number(incoming.query.get('from') ?? 0);
    const max = Number(incoming.query.get('max') ?? 1_000);
    const limitMs = Number(incoming.query.get('wait_ms') ?? 0);
    if (from >= getNextOffset(stream) && limitMs > 0)
      await waitForRecords(stream, limitMs, response);
    if (response.destroyed) return;
    if (this.#faults.outage === true) {
      serving.respondJson(response, 503, { error: 'outage' });
      return;
    }
    const { oldest } = stream;
    const next = getNextOffset(stream);
    if (from < oldest) {
      serving.respondJson(response, 410, { oldest, next });
      return;
    }
    const records = stream.records.slice(from - oldest, from - oldest + max);
    serving.respondJson(response, 200, { oldest, next, records });
  }

  #ensureStream(name: string): StreamState {
    const existing = this.#streams.get(name);
    if (existing !== undefined) return existing;
    const stream: StreamState = { oldest: 0, records: [], waiters: new Set() };
    this.#streams.set(name, stream);
    return stream;
  }

  #notifyReaders(): void {
    for (const stream of this.#streams.values())
      for (const resume of [...stream.waiters]) resume();
  }

  /** Returns whether a counted fault applies now, and decrements its count. */
  #takeFault(name: 'loseReplies' | 'silentRequests'): boolean {
    const remaining = this.#faults[name] ?? 0;
    if (remaining <= 0) return false;
    this.#faults = { ...this.#faults, [name]: remaining - 1 };
    return true;
  }
}

function getNextOffset(stream: StreamState): number {
  return stream.oldest + stream.records.length;
}

function waitForRecords(
  stream: StreamState,
  limitMs: number,
  response: http.ServerResponse,
): Promise<void> {
  return new Promise((resolve) => {
    const resume = () => {
      clearTimeout(timer);
      stream.waiters.delete(resume);
      resolve();
    };
    const timer = setTimeout(resume, limitMs);
    stream.waiters.add(resume);
    response.on('close', resume);
  });
}

/** Resolves after `delayMs` of wall-clock time. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
