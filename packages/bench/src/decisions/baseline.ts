/**
 * Baselines: first fit in order of arrival, and strict priority with best fit. They
 * hold declared sizes, restart what ends without success, and do nothing else.
 */
import type * as core from '@flamingoward/core';

type Resources = core.resources.Resources;

interface Worker {
  readonly id: string;
  readonly size: Resources;
  readonly free: { cores: number; memoryMb: number; gpus: number };
  usable: boolean;
}

interface Entry {
  readonly job: core.jobs.Job;
  readonly order: number;
  readonly waiting: number[];
  done: number;
  live: number;
  readonly tries: number[];
  cancelled: boolean;
}

interface Running {
  readonly entry: Entry;
  readonly index: number;
  readonly worker: Worker;
}

/** Order of the queue and choice of the worker. */
export interface BaselineRules {
  compare(a: Entry, b: Entry): number;
  /** Lower is better; equal keeps the order of the list. */
  score(worker: Worker, size: Resources): number;
}

/** First fit in order of arrival. */
export const firstFit: BaselineRules = {
  compare: (a, b) => a.order - b.order,
  score: () => 0,
};

const ranks = { urgent: 0, normal: 1, deferrable: 2 } as const;

/** Strict priority with best fit. */
export const priorityBestFit: BaselineRules = {
  compare: (a, b) =>
    ranks[a.job.urgency] - ranks[b.job.urgency] || a.order - b.order,
  score: (worker, size) => worker.free.cores - size.cores,
};

function hasRoom(worker: Worker, size: Resources): boolean {
  const { free } = worker;
  return (
    worker.usable &&
    free.cores >= size.cores &&
    free.memoryMb >= size.memoryMb &&
    free.gpus >= size.gpus
  );
}

function take(worker: Worker, size: Resources, times: number): void {
  worker.free.cores -= size.cores * times;
  worker.free.memoryMb -= size.memoryMb * times;
  worker.free.gpus -= size.gpus * times;
}

function readNothing(): unknown {
  return {};
}

/** A baseline as a scheduler. */
class Baseline implements core.scheduling.Scheduler {
  private readonly workers = new Map<string, Worker>();
  private readonly entries = new Map<string, Entry>();
  private readonly running = new Map<string, Running>();
  private queue: Entry[] = [];
  private sorted = true;
  private readonly outbox: core.scheduling.SchedulerCommand[] = [];
  private orders = 0;

  constructor(
    private readonly rules: BaselineRules,
    private readonly maxStarts: number,
  ) {}

  apply(event: core.scheduling.SchedulerEvent): void {
    switch (event.event) {
      case 'worker.listed': {
        const { id, size } = event.worker;
        if (size !== undefined)
          this.workers.set(id, { id, size, free: { ...size }, usable: true });
        return;
      }
      case 'worker.removed':
        this.workers.delete(event.worker);
        return;
      case 'job.accepted':
        this.addJob(event.job);
        return;
      case 'job.cancelled':
        this.cancelJob(event.job);
        return;
      case 'task.ended':
        this.endAttempt(event.attemptId, event.result);
        return;
      case 'worker.usable':
      case 'worker.reported':
      case 'task.held':
      case 'task.freed':
      case 'task.adopted':
      case 'task.started':
      case 'task.not-started':
      case 'release.changed':
      case 'team.quota':
        return;
    }
  }

  private addJob(job: core.jobs.Job): void {
    const waiting = Array.from({ length: job.spec.count }, (_, n) => n);
    const tries = waiting.map(() => 0);
    const order = this.orders;
    this.orders += 1;
    const entry: Entry = {
      job,
      order,
      waiting,
      done: 0,
      live: 0,
      tries,
      cancelled: false,
    };
    this.entries.set(job.id, entry);
    this.queue.push(entry);
    this.sorted = false;
  }

  private cancelJob(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.cancelled = true;
    entry.waiting.length = 0;
    for (const [attemptId, { entry: of, worker }] of this.running)
      if (of === entry)
        this.outbox.push({
          command: 'stop',
          attemptId,
          worker: worker.id,
          why: 'cancelled',
          checkpoint: false,
        });
    this.finish(entry);
  }

  private endAttempt(id: string, result: core.jobs.TaskResult): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    this.running.delete(id);
    const { entry, index, worker } = running;
    take(worker, entry.job.spec.size, -1);
    entry.live -= 1;
    if (result === 'done') entry.done += 1;
    else if (!entry.cancelled) {
      entry.waiting.push(index);
      if (!this.queue.includes(entry)) {
        this.queue.push(entry);
        this.sorted = false;
      }
    }
    this.finish(entry);
  }

  private finish(entry: Entry): void {
    if (entry.live > 0) return;
    const isDone = entry.done === entry.job.spec.count;
    if (!isDone && !entry.cancelled) return;
    this.entries.delete(entry.job.id);
    const state = entry.cancelled ? 'cancelled' : 'done';
    this.outbox.push({
      command: 'end-job',
      job: entry.job.id,
      state,
      reason: '',
    });
  }

  private chooseWorker(size: Resources): Worker | undefined {
    let best: Worker | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const worker of this.workers.values()) {
      if (!hasRoom(worker, size)) continue;
      const value = this.rules.score(worker, size);
      if (value < least) {
        best = worker;
        least = value;
      }
    }
    return best;
  }

  private placeEntry(entry: Entry): number {
    const { size, kind, count } = entry.job.spec;
    const chosen: Worker[] = [];
    const wanted = kind === 'gang' ? count : 1;
    if (entry.waiting.length < wanted) return 0;
    for (let n = 0; n < wanted; n += 1) {
      const worker = this.chooseWorker(size);
      if (worker === undefined) break;
      take(worker, size, 1);
      chosen.push(worker);
    }
    if (chosen.length < wanted) {
      for (const worker of chosen) take(worker, size, -1);
      return 0;
    }
    for (const worker of chosen) this.startOn(entry, worker);
    return wanted;
  }

  private startOn(entry: Entry, worker: Worker): void {
    const index = entry.waiting.shift() ?? 0;
    const tries = (entry.tries[index] ?? 0) + 1;
    entry.tries[index] = tries;
    entry.live += 1;
    const { id: job, spec } = entry.job;
    const attemptId = `${job}.${index}.${tries}`;
    this.running.set(attemptId, { entry, index, worker });
    const { size, work } = spec;
    this.outbox.push({
      command: 'start',
      job,
      index,
      attemptId,
      worker: worker.id,
      size,
      atMostOnce: false,
      work,
    });
  }

  tick(): readonly core.scheduling.SchedulerCommand[] {
    if (!this.sorted) this.queue.sort((a, b) => this.rules.compare(a, b));
    this.sorted = true;
    const failed = new Set<string>();
    let starts = 0;
    for (const entry of this.queue) {
      const { size, kind, count } = entry.job.spec;
      const shape = `${size.cores} ${size.memoryMb} ${size.gpus} ${kind === 'gang' ? count : 1}`;
      while (
        starts < this.maxStarts &&
        entry.waiting.length > 0 &&
        !failed.has(shape)
      ) {
        const placed = this.placeEntry(entry);
        if (placed === 0) failed.add(shape);
        starts += placed;
      }
    }
    this.queue = this.queue.filter((entry) => entry.waiting.length > 0);
    return this.outbox.splice(0);
  }

  check(): core.scheduling.AdmissionVerdict {
    return { admitted: true, expectedWaitMs: 0 };
  }

  readTasks(): undefined {
    return undefined;
  }

  explain(): readonly string[] {
    return [];
  }

  readTeamUse(): ReadonlyMap<string, Resources> {
    return new Map();
  }

  // The interface names it; baselines have no tables to show.
  readonly dump: core.scheduling.Scheduler['dump'] = readNothing;
}

/** Creates a baseline. */
export function createBaseline(
  rules: BaselineRules,
  maxStartsPerTick: number,
): core.scheduling.Scheduler {
  return new Baseline(rules, maxStartsPerTick);
}
