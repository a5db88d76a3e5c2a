/** Callers of a cell with a fixed seed, and what they saw. */
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as standins from '@flamingoward/standins';
import type * as cells from './cell.js';

export type CallKind = 'quote' | 'order' | 'job';

/** One try of a call; its token is its own, so that the audit tells the tries apart. */
export interface Try {
  readonly token: string;
  readonly process: string;
  /** Phase of the test when the try began and when its answer came. */
  readonly began: string;
  readonly ended: string;
  /** Undefined for a broken connection. */
  readonly reply: cells.Reply | undefined;
}

/** One call with its tries, which share key and body. */
export interface Call {
  readonly id: string;
  readonly kind: CallKind;
  readonly padding: number;
  readonly tasks: number;
  readonly tries: readonly Try[];
}

export interface LoadOptions {
  readonly seed: number;
  readonly kinds?: readonly CallKind[];
  /** Where callers may go; the running processes by default. */
  readonly targets?: () => readonly string[];
  readonly callers?: number;
}

const MAX_TRIES = 30;
const RETRY_MS = 200;
const LIMIT_MS = 60_000;

/** Callers that repeat a call until it has an answer other than not-run. */
export class Load {
  readonly calls: Call[] = [];
  /** Set by the test, to tell tries apart. */
  phase = 'before';
  readonly #cell: cells.Cell;
  readonly #options: LoadOptions;
  readonly #random: (from: number, to: number) => number;
  readonly #tries: Try[] = [];
  #stopping = false;
  #serial = 0;
  #loops: readonly Promise<void>[] = [];

  constructor(cell: cells.Cell, options: LoadOptions) {
    this.#cell = cell;
    this.#options = options;
    const generator = generators.xoroshiro128plus(options.seed);
    this.#random = (from, to) => uniform.uniformInt(generator, from, to);
  }

  start(): void {
    const count = this.#options.callers ?? 10;
    this.#loops = Array.from({ length: count }, () => this.#runCaller());
  }

  /** Resolves when every call under way has its answer. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await Promise.all(this.#loops);
  }

  /** Number of calls that ended; calls after it began later than now or were under way. */
  mark(): number {
    return this.calls.length;
  }

  /** Ended calls whose last answer says `answer`; jobs count as `done` when accepted. */
  list(kind: CallKind, answer: string, since = 0): readonly Call[] {
    return this.calls
      .slice(since)
      .filter((call) => call.kind === kind && readOutcome(call) === answer);
  }

  /** Tries that were made wholly within a phase, also those of calls that go on. */
  listTries(kind: CallKind, phase: string): readonly Try[] {
    return this.#tries.filter(
      (each) =>
        each.token.startsWith(`${kind}-`) &&
        each.began === phase &&
        each.ended === phase,
    );
  }

  /** Waits until `count` more calls of a kind have ended with `answer`. */
  async waitFor(kind: CallKind, answer: string, count: number): Promise<void> {
    const since = this.mark();
    await standins.waitUntil(
      `${count} ${kind} calls answered ${answer}`,
      LIMIT_MS,
      () => Promise.resolve(this.list(kind, answer, since).length >= count),
    );
  }

  async #runCaller(): Promise<void> {
    const kinds = this.#options.kinds ?? ['quote', 'quote', 'order', 'job'];
    while (!this.#stopping && !this.#cell.isStopped) {
      this.#serial += 1;
      const kind = kinds[this.#random(0, kinds.length - 1)]!;
      const id = `${kind}-${this.#options.seed}-${this.#serial}`;
      this.calls.push(await this.#runCall(kind, id));
      await standins.waitMs(this.#random(5, 60));
    }
  }

  async #runCall(kind: CallKind, id: string): Promise<Call> {
    const padding = this.#random(0, 2_000);
    const tasks = this.#random(1, 3);
    const workMs = this.#random(5, 120);
    const body =
      kind === 'job'
        ? formatJob(id, tasks, this.#random(200, 1_500))
        : JSON.stringify({ workMs, responseBytes: padding });
    const tries: Try[] = [];
    while (tries.length < MAX_TRIES) {
      const token = `${id}/${tries.length + 1}`;
      const targets = this.#options.targets?.() ?? this.#cell.running;
      const process = targets[this.#random(0, Math.max(0, targets.length - 1))];
      if (this.#cell.isStopped) break;
      if (process === undefined) {
        await standins.waitMs(RETRY_MS);
        continue;
      }
      const began = this.phase;
      const reply = await this.#cell.askCallers(
        process,
        'POST',
        kind === 'job' ? '/jobs' : `/services/${kind}/run`,
        {
          'content-type': 'application/json',
          'x-standin-token': token,
          'x-request-id': token.replace('/', '.'),
          ...(kind === 'quote' ? {} : { 'idempotency-key': id }),
        },
        body,
      );
      const ended = this.phase;
      const one = { token, process, began, ended, reply };
      tries.push(one);
      this.#tries.push(one);
      const again = reply === undefined || reply.answer === 'not-run';
      if (!again || this.#stopping) break;
      await standins.waitMs(RETRY_MS);
    }
    return { id, kind, padding, tasks, tries };
  }
}

function formatJob(name: string, count: number, actualMs: number): string {
  return JSON.stringify({
    kind: 'batch',
    name,
    team: 'workshop',
    jobClass: 'cutting',
    count,
    size: { cores: 1, memoryMb: 256 },
    declaredMs: 1_000,
    work: { actualMs },
  });
}

/** How a call ended for its caller. */
export function readOutcome(call: Call): string {
  const reply = call.tries.at(-1)?.reply;
  if (reply === undefined) return 'broken';
  if (call.kind === 'job' && reply.status === 202) return 'done';
  return reply.answer ?? `status ${reply.status}`;
}
