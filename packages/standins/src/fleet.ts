/**
 * What the stand-in workers of one platform share: the checkpoints of tasks, and the
 * audit of starts, doubled attempts and use over time.
 */
import type * as core from '@flamingoward/core';

/** One attempt as it happened; times are times of day. */
export interface StartAudit {
  readonly jobId: string;
  readonly index: number;
  readonly attemptId: string;
  readonly worker: string;
  readonly startedMs: number;
  readonly endedMs?: number;
  readonly exit?: string;
}

/** Use of one kind of worker at one time. */
export interface UseSample {
  readonly atMs: number;
  readonly pool: string;
  /** Declared use of running attempts. */
  readonly used: core.resources.Resources;
  readonly size: core.resources.Resources;
}

/** What the workers counted. */
export interface FleetAudit {
  readonly workers: number;
  /** Attempts started while another attempt of the same task ran. */
  readonly doubled: number;
  readonly doubledTasks: readonly string[];
  /** Workers whose declared use was ever above their size. */
  readonly overSize: readonly string[];
  readonly starts: readonly StartAudit[];
  readonly samples: readonly UseSample[];
}

interface Pool {
  used: core.resources.Resources;
  size: core.resources.Resources;
}

interface OpenStart {
  readonly start: StartAudit;
  endedMs?: number;
  exit?: string;
}

/** Upper bound of the kept starts and samples; a long measurement drops the oldest. */
const KEPT = 500_000;
/** Period of the samples of use. */
const SAMPLE_MS = 250;

/** State shared by the workers of one platform. */
export class Fleet {
  readonly #running = new Map<string, number>();
  readonly #checkpoints = new Map<string, number>();
  readonly #starts = new Map<string, OpenStart>();
  readonly #pools = new Map<string, Pool>();
  readonly #doubledTasks: string[] = [];
  readonly #overSize = new Set<string>();
  #samples: UseSample[] = [];
  #doubled = 0;
  #workers = 0;
  #timer: NodeJS.Timeout | undefined;

  /** Adds a worker to a pool, such as `general`. */
  addWorker(pool: string, size: core.resources.Resources): void {
    this.#workers += 1;
    const state = this.#findPool(pool);
    state.size = addResources(state.size, size, 1);
  }

  /** Notes the start of an attempt. */
  noteStart(
    worker: string,
    pool: string,
    attempt: Pick<
      core.workers.AttemptReport,
      'attemptId' | 'jobId' | 'index' | 'size'
    >,
  ): void {
    const task = `${attempt.jobId}.${attempt.index}`;
    const others = this.#running.get(task) ?? 0;
    if (others > 0) {
      this.#doubled += 1;
      if (this.#doubledTasks.length < 100) this.#doubledTasks.push(task);
    }
    this.#running.set(task, others + 1);
    const state = this.#findPool(pool);
    state.used = addResources(state.used, attempt.size, 1);
    this.#starts.set(`${worker}/${attempt.attemptId}`, {
      start: {
        jobId: attempt.jobId,
        index: attempt.index,
        attemptId: attempt.attemptId,
        worker,
        startedMs: Date.now(),
      },
    });
    this.#dropOldest();
  }

  /** Notes the end of an attempt. */
  noteEnd(
    worker: string,
    pool: string,
    attempt: Pick<
      core.workers.AttemptReport,
      'attemptId' | 'jobId' | 'index' | 'size'
    >,
    exit: string,
  ): void {
    const task = `${attempt.jobId}.${attempt.index}`;
    const left = (this.#running.get(task) ?? 1) - 1;
    if (left > 0) this.#running.set(task, left);
    else this.#running.delete(task);
    const state = this.#findPool(pool);
    state.used = addResources(state.used, attempt.size, -1);
    const open = this.#starts.get(`${worker}/${attempt.attemptId}`);
    if (open === undefined) return;
    open.endedMs = Date.now();
    open.exit = exit;
  }

  /** Notes a worker whose declared use is above its size. */
  noteOverSize(worker: string): void {
    this.#overSize.add(worker);
  }

  /** Keeps the share of a task's work that a checkpoint holds. */
  recordCheckpoint(jobId: string, index: number, share: number): void {
    this.#checkpoints.set(`${jobId}.${index}`, share);
  }

  /** Share of a task's work that is already done. */
  readCheckpoint(jobId: string, index: number): number {
    return this.#checkpoints.get(`${jobId}.${index}`) ?? 0;
  }

  /** Begins to sample the use of each pool. */
  startSampling(): void {
    this.#timer ??= setInterval(() => {
      this.#takeSample();
    }, SAMPLE_MS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Returns what was counted. */
  readAudit(): FleetAudit {
    return {
      workers: this.#workers,
      doubled: this.#doubled,
      doubledTasks: this.#doubledTasks,
      overSize: [...this.#overSize],
      starts: [...this.#starts.values()].map(formatStart),
      samples: this.#samples,
    };
  }

  #takeSample(): void {
    const atMs = Date.now();
    for (const [pool, { used, size }] of this.#pools)
      this.#samples.push({ atMs, pool, used, size });
    if (this.#samples.length > KEPT) this.#samples = this.#samples.slice(-KEPT);
  }

  #findPool(name: string): Pool {
    const known = this.#pools.get(name);
    if (known !== undefined) return known;
    const none = { cores: 0, memoryMb: 0, gpus: 0 };
    const pool = { used: none, size: none };
    this.#pools.set(name, pool);
    return pool;
  }

  #dropOldest(): void {
    if (this.#starts.size <= KEPT) return;
    const [oldest] = this.#starts.keys();
    if (oldest !== undefined) this.#starts.delete(oldest);
  }
}

/** Adds `sign` times `b` to `a`. */
export function addResources(
  a: core.resources.Resources,
  b: core.resources.Resources,
  sign: 1 | -1,
): core.resources.Resources {
  return {
    cores: a.cores + sign * b.cores,
    memoryMb: a.memoryMb + sign * b.memoryMb,
    gpus: a.gpus + sign * b.gpus,
  };
}

function formatStart(open: OpenStart): StartAudit {
  return {
    ...open.start,
    ...(open.endedMs === undefined ? {} : { endedMs: open.endedMs }),
    ...(open.exit === undefined ? {} : { exit: open.exit }),
  };
}
