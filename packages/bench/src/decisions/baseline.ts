/**
 * Baseline schedulers for comparison: first fit in order of arrival, and strict priority
 * with best fit. They allocate the declared sizes and retry attempts that don't end as
 * done; they have no admission control, preemption, quotas or floors.
 */
import type * as core from '@flamingoward/core';

type Resources = core.resources.Resources;

interface Worker {
  readonly id: string;
  readonly size: Resources;
  readonly freeResources: { cores: number; memoryMb: number; gpus: number };
  usable: boolean;
}

interface QueueEntry {
  readonly job: core.jobs.Job;
  readonly arrivalNumber: number;
  readonly waitingTasks: number[];
  doneTasks: number;
  runningAttempts: number;
  readonly attemptCounts: number[];
  cancelled: boolean;
}

interface RunningAttempt {
  readonly entry: QueueEntry;
  readonly index: number;
  readonly worker: Worker;
}

/** Order of the queue, and score by which a worker is chosen. */
export interface BaselineRules {
  compare(a: QueueEntry, b: QueueEntry): number;
  /** The lowest score wins; among equal scores, the worker that was listed first. */
  score(worker: Worker, size: Resources): number;
}

/** First come, first served, on the first worker with room. */
export const firstFit: BaselineRules = {
  compare: (a, b) => a.arrivalNumber - b.arrivalNumber,
  score: () => 0,
};

const ranks = { urgent: 0, normal: 1, deferrable: 2 } as const;

/** Most urgent first, on the worker with the fewest free cores that has room. */
export const priorityBestFit: BaselineRules = {
  compare: (a, b) =>
    ranks[a.job.urgency] - ranks[b.job.urgency] ||
    a.arrivalNumber - b.arrivalNumber,
  score: (worker, size) => worker.freeResources.cores - size.cores,
};

function hasRoom(worker: Worker, size: Resources): boolean {
  const { freeResources: free } = worker;
  return (
    worker.usable &&
    free.cores >= size.cores &&
    free.memoryMb >= size.memoryMb &&
    free.gpus >= size.gpus
  );
}

/** Subtracts a size from the free resources `times` times; -1 returns it. */
function updateFree(worker: Worker, size: Resources, times: number): void {
  worker.freeResources.cores -= size.cores * times;
  worker.freeResources.memoryMb -= size.memoryMb * times;
  worker.freeResources.gpus -= size.gpus * times;
}

function getEmptyDump(): unknown {
  return {};
}

/** Implements the scheduler interface with the rules of a baseline. */
class Baseline implements core.scheduling.Scheduler {
  private readonly workers = new Map<string, Worker>();
  private readonly entries = new Map<string, QueueEntry>();
  private readonly running = new Map<string, RunningAttempt>();
  private queue: QueueEntry[] = [];
  private isSorted = true;
  private readonly outbox: core.scheduling.SchedulerCommand[] = [];
  private nextArrivalNumber = 0;

  constructor(
    private readonly rules: BaselineRules,
    private readonly maxStartsPerTick: number,
  ) {}

  apply(event: core.scheduling.SchedulerEvent): void {
    switch (event.event) {
      case 'worker.listed': {
        const { id, size } = event.worker;
        if (size !== undefined)
          this.workers.set(id, {
            id,
            size,
            freeResources: { ...size },
            usable: true,
          });
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
    const waitingTasks = Array.from({ length: job.spec.count }, (_, n) => n);
    const attemptCounts = waitingTasks.map(() => 0);
    const arrivalNumber = this.nextArrivalNumber;
    this.nextArrivalNumber += 1;
    const entry: QueueEntry = {
      job,
      arrivalNumber,
      waitingTasks,
      doneTasks: 0,
      runningAttempts: 0,
      attemptCounts,
      cancelled: false,
    };
    this.entries.set(job.id, entry);
    this.queue.push(entry);
    this.isSorted = false;
  }

  private cancelJob(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.cancelled = true;
    entry.waitingTasks.length = 0;
    for (const [attemptId, { entry: runningEntry, worker }] of this.running)
      if (runningEntry === entry)
        this.outbox.push({
          command: 'stop',
          attemptId,
          worker: worker.id,
          why: 'cancelled',
          checkpoint: false,
        });
    this.endJobIfFinished(entry);
  }

  private endAttempt(id: string, result: core.jobs.TaskResult): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    this.running.delete(id);
    const { entry, index, worker } = running;
    updateFree(worker, entry.job.spec.size, -1);
    entry.runningAttempts -= 1;
    if (result === 'done') entry.doneTasks += 1;
    else if (!entry.cancelled) {
      entry.waitingTasks.push(index);
      if (!this.queue.includes(entry)) {
        this.queue.push(entry);
        this.isSorted = false;
      }
    }
    this.endJobIfFinished(entry);
  }

  private endJobIfFinished(entry: QueueEntry): void {
    if (entry.runningAttempts > 0) return;
    const isDone = entry.doneTasks === entry.job.spec.count;
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
    let lowestScore = Number.POSITIVE_INFINITY;
    for (const worker of this.workers.values()) {
      if (!hasRoom(worker, size)) continue;
      const score = this.rules.score(worker, size);
      if (score < lowestScore) {
        best = worker;
        lowestScore = score;
      }
    }
    return best;
  }

  private placeTasks(entry: QueueEntry): number {
    const { size, kind, count } = entry.job.spec;
    const chosen: Worker[] = [];
    const workersNeeded = kind === 'gang' ? count : 1;
    if (entry.waitingTasks.length < workersNeeded) return 0;
    for (let n = 0; n < workersNeeded; n += 1) {
      const worker = this.chooseWorker(size);
      if (worker === undefined) break;
      updateFree(worker, size, 1);
      chosen.push(worker);
    }
    if (chosen.length < workersNeeded) {
      for (const worker of chosen) updateFree(worker, size, -1);
      return 0;
    }
    for (const worker of chosen) this.startTask(entry, worker);
    return workersNeeded;
  }

  private startTask(entry: QueueEntry, worker: Worker): void {
    const index = entry.waitingTasks.shift() ?? 0;
    const attemptCount = (entry.attemptCounts[index] ?? 0) + 1;
    entry.attemptCounts[index] = attemptCount;
    entry.runningAttempts += 1;
    const { id: job, spec } = entry.job;
    const attemptId = `${job}.${index}.${attemptCount}`;
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
    if (!this.isSorted) this.queue.sort((a, b) => this.rules.compare(a, b));
    this.isSorted = true;
    const unplaceableShapes = new Set<string>();
    let starts = 0;
    for (const entry of this.queue) {
      const { size, kind, count } = entry.job.spec;
      const shape = `${size.cores} ${size.memoryMb} ${size.gpus} ${kind === 'gang' ? count : 1}`;
      while (
        starts < this.maxStartsPerTick &&
        entry.waitingTasks.length > 0 &&
        !unplaceableShapes.has(shape)
      ) {
        const startedTasks = this.placeTasks(entry);
        if (startedTasks === 0) unplaceableShapes.add(shape);
        starts += startedTasks;
      }
    }
    this.queue = this.queue.filter((entry) => entry.waitingTasks.length > 0);
    return this.outbox.splice(0);
  }

  check(): core.scheduling.AdmissionVerdict {
    return { admitted: true, expectedWaitMs: 0 };
  }

  listTaskStates(): undefined {
    return undefined;
  }

  explain(): readonly string[] {
    return [];
  }

  getTeamUse(): ReadonlyMap<string, Resources> {
    return new Map();
  }

  // Required by the interface; a baseline has no internal tables to dump.
  readonly dump: core.scheduling.Scheduler['dump'] = getEmptyDump;
}

/** Creates a baseline scheduler. */
export function createBaseline(
  rules: BaselineRules,
  maxStartsPerTick: number,
): core.scheduling.Scheduler {
  return new Baseline(rules, maxStartsPerTick);
}
