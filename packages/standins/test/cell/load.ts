/** Generates calls to a cell from a fixed seed and records the answer of every try. */
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as standins from '@flamingoward/standins';
import type * as cells from './cell.js';

export type CallKind = 'quote' | 'order' | 'job';

/** One try of a call, with its own token, so that the audit counts executions per try. */
export interface Try {
  readonly token: string;
  readonly process: string;
  /** Phase of the test when the try started and when its answer arrived. */
  readonly phaseAtStart: string;
  readonly phaseAtEnd: string;
  /** Undefined when the connection broke or the call timed out. */
  readonly reply: cells.Reply | undefined;
}

/** One call and its tries, which share the idempotency key and the body. */
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
  /** Processes that callers may use; by default all running ones. */
  readonly targets?: () => readonly string[];
  readonly callers?: number;
}

const MAX_TRIES = 30;
const RETRY_DELAY_MS = 200;
const WAIT_LIMIT_MS = 60_000;

/** Concurrent callers; each repeats a call that was refused as not run or got no answer, up to MAX_TRIES times. */
export class Load {
  readonly calls: Call[] = [];
  /** Current phase of the test, recorded with each try. */
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

  /** Starts no further calls and resolves when every call in progress has ended. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await Promise.all(this.#loops);
  }

  /** Returns the number of ended calls; later entries of `calls` are in progress or not yet started. */
  countCalls(): number {
    return this.calls.length;
  }

  /** Lists ended calls whose outcome is `answer`; accepted jobs count as `done`. */
  listCalls(kind: CallKind, answer: string, since = 0): readonly Call[] {
    return this.calls
      .slice(since)
      .filter((call) => call.kind === kind && getOutcome(call) === answer);
  }

  /** Lists tries that started and ended within a phase, including those of calls in progress. */
  listTries(kind: CallKind, phase: string): readonly Try[] {
    return this.#tries.filter(
      (each) =>
        each.token.startsWith(`${kind}-`) &&
        each.phaseAtStart === phase &&
        each.phaseAtEnd === phase,
    );
  }

  /** Waits until `count` more calls of a kind have ended with `answer`. */
  async waitFor(kind: CallKind, answer: string, count: number): Promise<void> {
    const since = this.countCalls();
    await standins.waitUntil(
      `${count} ${kind} calls answered ${answer}`,
      WAIT_LIMIT_MS,
      () =>
        Promise.resolve(this.listCalls(kind, answer, since).length >= count),
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
        await standins.waitMs(RETRY_DELAY_MS);
        continue;
      }
      const phaseAtStart = this.phase;
      const reply = await this.#cell.requestCallersApi(
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
      const phaseAtEnd = this.phase;
      const finished = { token, process, phaseAtStart, phaseAtEnd, reply };
      tries.push(finished);
      this.#tries.push(finished);
      const shouldRetry = reply === undefined || reply.answer === 'not-run';
      if (!shouldRetry || this.#stopping) break;
      await standins.waitMs(RETRY_DELAY_MS);
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

/** Returns the outcome of a call as its caller saw it. */
export function getOutcome(call: Call): string {
  const reply = call.tries.at(-1)?.reply;
  if (reply === undefined) return 'broken';
  if (call.kind === 'job' && reply.status === 202) return 'done';
  return reply.answer ?? `status ${reply.status}`;
}
