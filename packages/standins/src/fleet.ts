/**
 * State shared by the stand-in workers of one platform: the checkpoints of tasks, and the
 * audit of starts, concurrent attempts of one task, and resource use over time.
 */
import type * as core from '@flamingoward/core';

/** One attempt as the worker executed it; times are Unix times in ms. */
export interface StartAudit {
  readonly jobId: string;
  readonly index: number;
  readonly attemptId: string;
  readonly worker: string;
  readonly startedMs: number;
  readonly endedMs?: number;
  readonly exit?: string;
}

/** Resource use of one pool of workers at one time. */
export interface UseSample {
  readonly atMs: number;
  readonly pool: string;
  /** Sum of the declared sizes of running attempts. */
  readonly used: core.resources.Resources;
  readonly size: core.resources.Resources;
}

/** Counts and samples of all workers. */
export interface FleetAudit {
  readonly workers: number;
  /** Attempts started while another attempt of the same task was running. */
  readonly doubled: number;
  readonly doubledTasks: readonly string[];
  /** Workers whose declared use exceeded their size at any time. */
  readonly overSize: readonly string[];
  readonly starts: readonly StartAudit[];
  readonly samples: readonly UseSample[];
}

interface Pool {
  used: core.resources.Resources;
  size: core.resources.Resources;
}

interface StartRecord {
  readonly start: StartAudit;
  endedMs?: number;
  exit?: string;
}

/** Limit of the starts and of the samples in memory; the oldest are dropped. */
const MAX_KEPT_ENTRIES = 500_000;
const SAMPLE_INTERVAL_MS = 250;

export class Fleet {
  readonly #runningAttempts = new Map<string, number>();
  readonly #checkpoints = new Map<string, number>();
  readonly #starts = new Map<string, StartRecord>();
  readonly #pools = new Map<string, Pool>();
  readonly #doubledTasks: string[] = [];
  readonly #overSize = new Set<string>();
  #samples: UseSample[] = [];
  #doubled = 0;
  #workers = 0;
  #timer: NodeJS.Timeout | undefined;

  /** Adds a worker's size to its pool, such as `general`. */
  addWorker(pool: string, size: core.resources.Resources): void {
    this.#workers += 1;
    const state = this.#ensurePool(pool);
    state.size = addResources(state.size, size, 1);
  }

  /** Records the start of an attempt, and whether another attempt of its task was running. */
  recordStart(
    worker: string,
    pool: string,
    attempt: Pick<
      core.workers.AttemptReport,
      'attemptId' | 'jobId' | 'index' | 'size'
    >,
  ): void {
    const task = `${attempt.jobId}.${attempt.index}`;
    const concurrent = this.#runningAttempts.get(task) ?? 0;
    if (concurrent > 0) {
      this.#doubled += 1;
      if (this.#doubledTasks.length < 100) this.#doubledTasks.push(task);
    }
    this.#runningAttempts.set(task, concurrent + 1);
    const state = this.#ensurePool(pool);
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

  /** Records the end of an attempt and frees its declared use. */
  recordEnd(
    worker: string,
    pool: string,
    attempt: Pick<
      core.workers.AttemptReport,
      'attemptId' | 'jobId' | 'index' | 'size'
    >,
    exit: string,
  ): void {
    const task = `${attempt.jobId}.${attempt.index}`;
    const remaining = (this.#runningAttempts.get(task) ?? 1) - 1;
    if (remaining > 0) this.#runningAttempts.set(task, remaining);
    else this.#runningAttempts.delete(task);
    const state = this.#ensurePool(pool);
    state.used = addResources(state.used, attempt.size, -1);
    const record = this.#starts.get(`${worker}/${attempt.attemptId}`);
    if (record === undefined) return;
    record.endedMs = Date.now();
    record.exit = exit;
  }

  /** Records a worker whose declared use exceeds its size. */
  recordOverSize(worker: string): void {
    this.#overSize.add(worker);
  }

  /** Stores the completed share of a task's work, 0 to 1. */
  recordCheckpoint(jobId: string, index: number, share: number): void {
    this.#checkpoints.set(`${jobId}.${index}`, share);
  }

  /** Returns the completed share of a task's work, 0 without a checkpoint. */
  getCheckpoint(jobId: string, index: number): number {
    return this.#checkpoints.get(`${jobId}.${index}`) ?? 0;
  }

  /** Starts sampling the use of each pool. */
  startSampling(): void {
    this.#timer ??= setInterval(() => {
      this.#takeSample();
    }, SAMPLE_INTERVAL_MS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Returns counts, starts and samples. */
  getAudit(): FleetAudit {
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
    if (this.#samples.length > MAX_KEPT_ENTRIES)
      this.#samples = this.#samples.slice(-MAX_KEPT_ENTRIES);
  }

  #ensurePool(name: string): Pool {
    const existing = this.#pools.get(name);
    if (existing !== undefined) return existing;
    const none = { cores: 0, memoryMb: 0, gpus: 0 };
    const pool = { used: none, size: none };
    this.#pools.set(name, pool);
    return pool;
  }

  #dropOldest(): void {
    if (this.#starts.size <= MAX_KEPT_ENTRIES) return;
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

function formatStart(record: StartRecord): StartAudit {
  return {
    ...record.start,
    ...(record.endedMs === undefined ? {} : { endedMs: record.endedMs }),
    ...(record.exit === undefined ? {} : { exit: record.exit }),
  };
}
