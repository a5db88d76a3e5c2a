/**
 * Discrete-event simulation of a trace in virtual time. Jobs arrive and tasks run as the
 * trace specifies, workers report their memory use periodically, and start and stop
 * commands take effect after a fixed latency, as they do on the platform.
 */
import type * as core from '@flamingoward/core';
import * as heap from 'heap-js';
import * as meters from './meters.js';
import type * as trace from './trace.js';

/** A scheduling policy under test. */
export interface Policy {
  readonly name: string;
  create(): core.scheduling.Scheduler;
  /** Whether jobs that the scheduler's admission check rejects are refused. */
  readonly hasAdmissionControl: boolean;
}

/** Tick interval while events arrive. */
const TICK_MS = 50;
/** Tick interval while no events arrive. */
const IDLE_TICK_MS = 1_000;
/** Latency from the start command to the worker's confirmation. */
const START_LATENCY_MS = 20;
/** Latency of a stop without a checkpoint. */
const STOP_LATENCY_MS = 50;
/** Latency of a stop that writes a checkpoint first. */
const CHECKPOINT_STOP_LATENCY_MS = 300;
/** Time after which an attempt fails, because of its worker or of its job. */
const FAILED_RUN_MS = 1_000;

type Action =
  | { readonly action: 'event'; readonly event: core.scheduling.SchedulerEvent }
  | { readonly action: 'arrive'; readonly job: trace.TraceJob }
  | { readonly action: 'end'; readonly attemptId: string }
  | {
      readonly action: 'stopped';
      readonly attemptId: string;
      readonly checkpoint: number;
    }
  | { readonly action: 'break'; readonly worker: string }
  | { readonly action: 'report' };

interface ScheduledAction {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: Action;
}

interface RunningAttempt {
  readonly start: Extract<
    core.scheduling.SchedulerCommand,
    { command: 'start' }
  >;
  readonly job: trace.TraceJob;
  readonly startedMs: number;
  readonly endMs: number;
  /** Share of the work that was done before this attempt, from its checkpoint. */
  readonly checkpoint: number;
  readonly fails: boolean;
  stopping: boolean;
}

/** Simulates one trace with one policy; an instance is used once. */
export class Replay {
  private nowMs = 0;
  private nextSequence = 0;
  private readonly actionQueue = new heap.Heap<ScheduledAction>(
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );
  private readonly scheduler: core.scheduling.Scheduler;
  private readonly jobs = new Map<string, trace.TraceJob>();
  private readonly running = new Map<string, RunningAttempt>();
  /** Share of the work done at the last checkpoint, by job id and task index. */
  private readonly checkpoints = new Map<string, number>();
  private readonly brokenWorkers = new Set<string>();
  readonly meters: meters.Meters;

  constructor(
    private readonly source: trace.Trace,
    private readonly policy: Policy,
    private readonly includesFlood: boolean,
  ) {
    this.scheduler = policy.create();
    this.meters = new meters.Meters(source);
  }

  run(): meters.Meters {
    this.applyInitialState();
    let nextTickMs = 0;
    while (this.nowMs < this.source.endMs) {
      this.nowMs = nextTickMs;
      const changed = this.executeDueActions();
      this.meters.advance(this.nowMs);
      this.executeCommands(this.scheduler.tick(this.nowMs));
      this.meters.checkLimits(this.nowMs, this.sumMemoryByWorker);
      nextTickMs = this.findNextTick(changed);
    }
    this.meters.finish(this.nowMs);
    return this.meters;
  }

  private applyInitialState(): void {
    const { classes, teams, workers, jobs, fleetChanges } = this.source;
    const apply = (event: core.scheduling.SchedulerEvent) => {
      this.scheduler.apply(event, 0);
    };
    apply({ event: 'release.changed', release: 'bench', classes, teams });
    for (const worker of workers) {
      apply({ event: 'worker.listed', worker });
      apply({ event: 'worker.usable', worker: worker.id, usable: true });
    }
    for (const job of jobs)
      if (this.includesFlood || job.flood !== true)
        this.scheduleAction(job.atMs, { action: 'arrive', job });
    for (const { atMs, change, worker } of fleetChanges)
      if (change === 'break')
        this.scheduleAction(atMs, { action: 'break', worker });
      else this.scheduleEvent(atMs, { event: 'worker.removed', worker });
    if (this.source.reportIntervalMs > 0)
      this.scheduleAction(this.source.reportIntervalMs, { action: 'report' });
  }

  private scheduleAction(atMs: number, action: Action): void {
    this.actionQueue.push({ atMs, sequence: this.nextSequence, action });
    this.nextSequence += 1;
  }

  private scheduleEvent(
    atMs: number,
    event: core.scheduling.SchedulerEvent,
  ): void {
    this.scheduleAction(atMs, { action: 'event', event });
  }

  private findNextTick(changed: boolean): number {
    const idleMs = this.nowMs + (changed ? TICK_MS : IDLE_TICK_MS);
    const dueMs = this.actionQueue.peek()?.atMs ?? idleMs;
    const next = Math.min(idleMs, Math.max(dueMs, this.nowMs + 1));
    return Math.ceil(next / TICK_MS) * TICK_MS;
  }

  private executeDueActions(): boolean {
    let changed = false;
    for (;;) {
      const next = this.actionQueue.peek();
      if (next === undefined || next.atMs > this.nowMs) return changed;
      this.actionQueue.pop();
      this.executeAction(next.action, next.atMs);
      changed = true;
    }
  }

  private executeAction(action: Action, atMs: number): void {
    switch (action.action) {
      case 'event':
        if (action.event.event === 'worker.removed')
          this.removeWorker(action.event.worker);
        this.scheduler.apply(action.event, this.nowMs);
        return;
      case 'arrive':
        this.submitJob(action.job, atMs);
        return;
      case 'end':
        this.endAttempt(action.attemptId);
        return;
      case 'stopped':
        this.endStoppedAttempt(action.attemptId, action.checkpoint);
        return;
      case 'break':
        this.brokenWorkers.add(action.worker);
        return;
      case 'report':
        this.reportAttempts();
        this.scheduleAction(atMs + this.source.reportIntervalMs, {
          action: 'report',
        });
        return;
    }
  }

  private submitJob(job: trace.TraceJob, atMs: number): void {
    const verdict = this.scheduler.check(job.spec, this.nowMs);
    if (this.policy.hasAdmissionControl && !verdict.admitted) {
      this.meters.recordRefusal(job);
      return;
    }
    this.jobs.set(job.id, job);
    this.meters.recordArrival(job, atMs);
    const { id, spec, urgency } = job;
    const accepted: core.jobs.Job = {
      id,
      spec,
      urgency,
      shard: 'workers/region',
      release: 'bench',
      acceptedMs: this.nowMs,
      acceptedAt: 0,
      state: 'accepted',
      cancelRequested: false,
    };
    this.scheduler.apply(
      { event: 'job.accepted', job: accepted, ended: [] },
      this.nowMs,
    );
    if (job.cancelMs !== undefined)
      this.scheduleEvent(Math.max(atMs, job.cancelMs), {
        event: 'job.cancelled',
        job: id,
        by: 'trace',
      });
  }

  private executeCommands(
    commands: readonly core.scheduling.SchedulerCommand[],
  ): void {
    for (const command of commands) {
      switch (command.command) {
        case 'start':
          this.startAttempt(command);
          break;
        case 'stop':
          this.stopAttempt(command);
          break;
        case 'throttle':
          break;
        case 'end-job': {
          const job = this.jobs.get(command.job);
          if (job !== undefined)
            this.meters.recordJobEnd(job, command.state, this.nowMs);
          break;
        }
      }
    }
  }

  private startAttempt(start: RunningAttempt['start']): void {
    const job = this.jobs.get(start.job);
    if (job === undefined) return;
    const checkpoint = this.checkpoints.get(`${start.job}.${start.index}`) ?? 0;
    const fails = job.fails === true || this.brokenWorkers.has(start.worker);
    const startedMs = this.nowMs + START_LATENCY_MS;
    const endMs =
      startedMs + (fails ? FAILED_RUN_MS : job.runMs * (1 - checkpoint));
    const stopping = false;
    this.running.set(start.attemptId, {
      start,
      job,
      startedMs,
      endMs,
      checkpoint,
      fails,
      stopping,
    });
    this.meters.recordStart(job, start, startedMs);
    this.scheduleEvent(startedMs, {
      event: 'task.started',
      attemptId: start.attemptId,
    });
    this.scheduleAction(endMs, { action: 'end', attemptId: start.attemptId });
  }

  private endAttempt(attemptId: string): void {
    const run = this.running.get(attemptId);
    if (run === undefined || run.stopping) return;
    this.running.delete(attemptId);
    this.meters.recordStop(run.start);
    const result = run.fails ? 'failed' : 'done';
    if (result === 'done') this.meters.recordTaskDone(run.job);
    else this.meters.failedRuns += 1;
    this.scheduler.apply(
      { event: 'task.ended', attemptId, result },
      this.nowMs,
    );
  }

  private stopAttempt(
    stop: Extract<core.scheduling.SchedulerCommand, { command: 'stop' }>,
  ): void {
    const { attemptId } = stop;
    const run = this.running.get(attemptId);
    if (run === undefined || run.stopping) return;
    run.stopping = true;
    this.meters.recordStopCommand(stop.why);
    const latencyMs = stop.checkpoint
      ? CHECKPOINT_STOP_LATENCY_MS
      : STOP_LATENCY_MS;
    const ranShare = Math.max(0, this.nowMs - run.startedMs) / run.job.runMs;
    const checkpoint = stop.checkpoint
      ? Math.min(0.99, run.checkpoint + ranShare)
      : run.checkpoint;
    this.checkpoints.set(`${run.start.job}.${run.start.index}`, checkpoint);
    this.scheduleAction(this.nowMs + latencyMs, {
      action: 'stopped',
      attemptId,
      checkpoint,
    });
  }

  private endStoppedAttempt(attemptId: string, checkpoint: number): void {
    const run = this.running.get(attemptId);
    if (run === undefined) return;
    this.running.delete(attemptId);
    this.meters.recordStop(run.start);
    const event = {
      event: 'task.ended',
      attemptId,
      result: 'stopped',
      checkpoint,
    } as const;
    this.scheduler.apply(event, this.nowMs);
  }

  private removeWorker(worker: string): void {
    for (const [id, run] of this.running) {
      if (run.start.worker !== worker) continue;
      this.running.delete(id);
      this.meters.recordStop(run.start);
      const event = {
        event: 'task.ended',
        attemptId: id,
        result: 'lost',
      } as const;
      this.scheduler.apply(event, this.nowMs);
    }
    this.meters.recordWorkerRemoval(worker);
  }

  /** Memory in use; grows linearly from half of the declared size to its final share. */
  private readonly computeMemoryMb = (run: RunningAttempt): number => {
    const { memoryMb } = run.start.size;
    const { finalMemoryShare } = run.job;
    if (finalMemoryShare === undefined) return memoryMb;
    const elapsedShare =
      (this.nowMs - run.startedMs) / Math.max(1, run.endMs - run.startedMs);
    return (
      memoryMb *
      (0.5 + (finalMemoryShare - 0.5) * Math.max(0, Math.min(1, elapsedShare)))
    );
  };

  /** Memory in use by worker; empty for traces without worker reports. */
  private readonly sumMemoryByWorker = (): Map<string, number> => {
    const used = new Map<string, number>();
    if (this.source.reportIntervalMs === 0) return used;
    for (const run of this.running.values()) {
      const { worker } = run.start;
      used.set(worker, (used.get(worker) ?? 0) + this.computeMemoryMb(run));
    }
    return used;
  };

  private reportAttempts(): void {
    const byWorker = new Map<string, core.workers.AttemptReport[]>();
    for (const run of this.running.values()) {
      const { attemptId, job: jobId, index, size, worker } = run.start;
      const used = { ...size, memoryMb: this.computeMemoryMb(run) };
      const times = { leaseUntilMs: 0, startedMs: run.startedMs };
      const reports = byWorker.get(worker) ?? [];
      reports.push({
        attemptId,
        jobId,
        index,
        state: 'running',
        size,
        used,
        ...times,
      });
      byWorker.set(worker, reports);
    }
    for (const [worker, attempts] of byWorker)
      this.scheduler.apply(
        { event: 'worker.reported', worker, attempts },
        this.nowMs,
      );
    this.meters.recordReport(this.nowMs);
  }
}
