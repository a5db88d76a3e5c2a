/**
 * Replays a trace in virtual time: jobs arrive, tasks run as the trace says, workers
 * report with a lag, and commands take the time that the platform takes.
 */
import type * as core from '@flamingoward/core';
import * as heap from 'heap-js';
import * as meters from './meters.js';
import type * as trace from './trace.js';

/** A policy under test. */
export interface Policy {
  readonly name: string;
  create(): core.scheduling.Scheduler;
  readonly hasAdmission: boolean;
}

/** Time between ticks of a busy owner. */
const TICK_MS = 50;
const IDLE_TICK_MS = 1_000;
/** From the start command to the confirmation by the worker. */
const START_MS = 20;
const STOP_MS = 50;
const CHECKPOINT_MS = 300;
/** A broken worker and a failing job fail this long after the start. */
const FAIL_MS = 1_000;

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

interface Planned {
  readonly atMs: number;
  readonly order: number;
  readonly action: Action;
}

interface Running {
  readonly start: Extract<
    core.scheduling.SchedulerCommand,
    { command: 'start' }
  >;
  readonly job: trace.TraceJob;
  readonly sinceMs: number;
  readonly endMs: number;
  readonly kept: number;
  readonly fails: boolean;
  stopping: boolean;
}

/** One replay of one trace through one policy. */
export class Replay {
  private nowMs = 0;
  private order = 0;
  private readonly planned = new heap.Heap<Planned>(
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );
  private readonly scheduler: core.scheduling.Scheduler;
  private readonly jobs = new Map<string, trace.TraceJob>();
  private readonly running = new Map<string, Running>();
  private readonly kept = new Map<string, number>();
  private readonly broken = new Set<string>();
  readonly meters: meters.Meters;

  constructor(
    private readonly source: trace.Trace,
    private readonly policy: Policy,
    private readonly withFlood: boolean,
  ) {
    this.scheduler = policy.create();
    this.meters = new meters.Meters(source);
  }

  run(): meters.Meters {
    this.begin();
    let nextTickMs = 0;
    while (this.nowMs < this.source.endMs) {
      this.nowMs = nextTickMs;
      const changed = this.executeDue();
      this.meters.advance(this.nowMs);
      this.runCommands(this.scheduler.tick(this.nowMs));
      this.meters.checkLimits(this.nowMs, this.readActual);
      nextTickMs = this.findNextTick(changed);
    }
    this.meters.finish(this.nowMs);
    return this.meters;
  }

  private begin(): void {
    const { classes, teams, workers, jobs, changes } = this.source;
    const apply = (event: core.scheduling.SchedulerEvent) => {
      this.scheduler.apply(event, 0);
    };
    apply({ event: 'release.changed', release: 'bench', classes, teams });
    for (const worker of workers) {
      apply({ event: 'worker.listed', worker });
      apply({ event: 'worker.usable', worker: worker.id, usable: true });
    }
    for (const job of jobs)
      if (this.withFlood || job.flood !== true)
        this.scheduleAction(job.atMs, { action: 'arrive', job });
    for (const { atMs, change, worker } of changes)
      if (change === 'break')
        this.scheduleAction(atMs, { action: 'break', worker });
      else this.scheduleEvent(atMs, { event: 'worker.removed', worker });
    if (this.source.reportMs > 0)
      this.scheduleAction(this.source.reportMs, { action: 'report' });
  }

  private scheduleAction(atMs: number, action: Action): void {
    this.planned.push({ atMs, order: this.order, action });
    this.order += 1;
  }

  private scheduleEvent(
    atMs: number,
    event: core.scheduling.SchedulerEvent,
  ): void {
    this.scheduleAction(atMs, { action: 'event', event });
  }

  private findNextTick(changed: boolean): number {
    const idleMs = this.nowMs + (changed ? TICK_MS : IDLE_TICK_MS);
    const dueMs = this.planned.peek()?.atMs ?? idleMs;
    const next = Math.min(idleMs, Math.max(dueMs, this.nowMs + 1));
    return Math.ceil(next / TICK_MS) * TICK_MS;
  }

  private executeDue(): boolean {
    let changed = false;
    for (;;) {
      const next = this.planned.peek();
      if (next === undefined || next.atMs > this.nowMs) return changed;
      this.planned.pop();
      this.execute(next.action, next.atMs);
      changed = true;
    }
  }

  private execute(action: Action, atMs: number): void {
    switch (action.action) {
      case 'event':
        if (action.event.event === 'worker.removed')
          this.removeWorker(action.event.worker);
        this.scheduler.apply(action.event, this.nowMs);
        return;
      case 'arrive':
        this.submit(action.job, atMs);
        return;
      case 'end':
        this.endRun(action.attemptId);
        return;
      case 'stopped':
        this.endStopped(action.attemptId, action.checkpoint);
        return;
      case 'break':
        this.broken.add(action.worker);
        return;
      case 'report':
        this.report();
        this.scheduleAction(atMs + this.source.reportMs, { action: 'report' });
        return;
    }
  }

  private submit(job: trace.TraceJob, atMs: number): void {
    const verdict = this.scheduler.check(job.spec, this.nowMs);
    if (this.policy.hasAdmission && !verdict.admitted) {
      this.meters.noteRefusal(job);
      return;
    }
    this.jobs.set(job.id, job);
    this.meters.noteArrival(job, atMs);
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

  private runCommands(
    commands: readonly core.scheduling.SchedulerCommand[],
  ): void {
    for (const command of commands) {
      switch (command.command) {
        case 'start':
          this.startRun(command);
          break;
        case 'stop':
          this.stopRun(command);
          break;
        case 'throttle':
          break;
        case 'end-job': {
          const job = this.jobs.get(command.job);
          if (job !== undefined)
            this.meters.noteEnd(job, command.state, this.nowMs);
          break;
        }
      }
    }
  }

  private startRun(start: Running['start']): void {
    const job = this.jobs.get(start.job);
    if (job === undefined) return;
    const kept = this.kept.get(`${start.job}.${start.index}`) ?? 0;
    const fails = job.fails === true || this.broken.has(start.worker);
    const sinceMs = this.nowMs + START_MS;
    const endMs = sinceMs + (fails ? FAIL_MS : job.runMs * (1 - kept));
    const stopping = false;
    this.running.set(start.attemptId, {
      start,
      job,
      sinceMs,
      endMs,
      kept,
      fails,
      stopping,
    });
    this.meters.noteStart(job, start, sinceMs);
    this.scheduleEvent(sinceMs, {
      event: 'task.started',
      attemptId: start.attemptId,
    });
    this.scheduleAction(endMs, { action: 'end', attemptId: start.attemptId });
  }

  private endRun(attemptId: string): void {
    const run = this.running.get(attemptId);
    if (run === undefined || run.stopping) return;
    this.running.delete(attemptId);
    this.meters.noteStop(run.start);
    const result = run.fails ? 'failed' : 'done';
    if (result === 'done') this.meters.noteDone(run.job);
    else this.meters.failedRuns += 1;
    this.scheduler.apply(
      { event: 'task.ended', attemptId, result },
      this.nowMs,
    );
  }

  private stopRun(
    stop: Extract<core.scheduling.SchedulerCommand, { command: 'stop' }>,
  ): void {
    const { attemptId } = stop;
    const run = this.running.get(attemptId);
    if (run === undefined || run.stopping) return;
    run.stopping = true;
    this.meters.noteStopCommand(stop.why);
    const tookMs = stop.checkpoint ? CHECKPOINT_MS : STOP_MS;
    const ran = Math.max(0, this.nowMs - run.sinceMs) / run.job.runMs;
    const checkpoint = stop.checkpoint
      ? Math.min(0.99, run.kept + ran)
      : run.kept;
    this.kept.set(`${run.start.job}.${run.start.index}`, checkpoint);
    this.scheduleAction(this.nowMs + tookMs, {
      action: 'stopped',
      attemptId,
      checkpoint,
    });
  }

  private endStopped(attemptId: string, checkpoint: number): void {
    const run = this.running.get(attemptId);
    if (run === undefined) return;
    this.running.delete(attemptId);
    this.meters.noteStop(run.start);
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
      this.meters.noteStop(run.start);
      const event = {
        event: 'task.ended',
        attemptId: id,
        result: 'lost',
      } as const;
      this.scheduler.apply(event, this.nowMs);
    }
    this.meters.noteRemoved(worker);
  }

  private readonly readMemory = (run: Running): number => {
    const { memoryMb } = run.start.size;
    const { growth } = run.job;
    if (growth === undefined) return memoryMb;
    const share =
      (this.nowMs - run.sinceMs) / Math.max(1, run.endMs - run.sinceMs);
    return memoryMb * (0.5 + (growth - 0.5) * Math.max(0, Math.min(1, share)));
  };

  private readonly readActual = (): Map<string, number> => {
    const used = new Map<string, number>();
    if (this.source.reportMs === 0) return used;
    for (const run of this.running.values()) {
      const { worker } = run.start;
      used.set(worker, (used.get(worker) ?? 0) + this.readMemory(run));
    }
    return used;
  };

  private report(): void {
    const byWorker = new Map<string, core.workers.AttemptReport[]>();
    for (const run of this.running.values()) {
      const { attemptId, job: jobId, index, size, worker } = run.start;
      const used = { ...size, memoryMb: this.readMemory(run) };
      const times = { leaseUntilMs: 0, startedMs: run.sinceMs };
      const list = byWorker.get(worker) ?? [];
      list.push({
        attemptId,
        jobId,
        index,
        state: 'running',
        size,
        used,
        ...times,
      });
      byWorker.set(worker, list);
    }
    for (const [worker, attempts] of byWorker)
      this.scheduler.apply(
        { event: 'worker.reported', worker, attempts },
        this.nowMs,
      );
    this.meters.noteReport(this.nowMs);
  }
}
