/** Builders of events, an independent checker of invariants and a harness for tests of the scheduler. */
import type * as core from '../src/index.js';

type Event = core.scheduling.SchedulerEvent;
type Command = core.scheduling.SchedulerCommand;
type Start = Extract<Command, { command: 'start' }>;

export const gb = 1024;

export function buildSize(
  cores: number,
  memoryMb = cores * gb,
  gpus = 0,
): core.resources.Resources {
  return { cores, memoryMb, gpus };
}

export function buildWorker(
  id: string,
  size: core.resources.Resources,
  rack = 'rack-1',
  availabilityZone = 'a',
): core.workers.VmRecord {
  const address = '127.0.0.1:1';
  const region = 'r';
  const place = { address, availabilityZone, region, rack };
  return { id, role: 'worker', state: 'live', size, ...place };
}

export function buildClass(
  name: string,
  urgency: core.ids.Urgency,
  options: Partial<core.releases.ClassEntry> = {},
): core.releases.ClassEntry {
  const rest = { floor: 0, idempotent: true, preemptible: false };
  return { kind: 'class', name, urgency, ...rest, maxWaitMs: 1e9, ...options };
}

export function buildRelease(
  classes: readonly core.releases.ClassEntry[],
  teams: readonly core.releases.TeamEntry[] = [],
): Event {
  return { event: 'release.changed', release: 'r1', classes, teams };
}

export function buildSpec(
  jobClass: string,
  options: Partial<core.jobs.JobSpec> = {},
): core.jobs.JobSpec {
  const rest = { count: 1, size: buildSize(1), declaredMs: 1000, work: {} };
  const names = { kind: 'batch' as const, name: 'job', team: 'team' };
  return { ...names, jobClass, ...rest, ...options };
}

export function buildJob(
  id: string,
  spec: core.jobs.JobSpec,
  urgency: core.ids.Urgency = 'normal',
): Event {
  const job: core.jobs.Job = {
    id,
    spec,
    urgency,
    shard: 'workers/r',
    release: 'r1',
    acceptedMs: 0,
    acceptedAt: 0,
    state: 'accepted',
    cancelRequested: false,
  };
  return { event: 'job.accepted', job, ended: [] };
}

export interface LiveAttempt {
  readonly start: Start;
  used: core.resources.Resources;
  confirmed: boolean;
  stopping: boolean;
  readonly sinceMs: number;
}

/**
 * Tracks attempts and jobs from the events and commands alone, independently of the
 * scheduler, and throws when a command violates an invariant: capacity of workers, one
 * live attempt per task, unique attempt ids, at-most-once starts, whole gangs, one end per job.
 */
export class InvariantChecker {
  readonly workers = new Map<string, core.workers.VmRecord>();
  readonly usable = new Set<string>();
  readonly live = new Map<string, LiveAttempt>();
  readonly jobs = new Map<string, core.jobs.Job>();
  readonly ended = new Map<string, string>();
  readonly pastAttemptIds: string[] = [];
  readonly stops: Extract<Command, { command: 'stop' }>[] = [];
  private readonly startsOfTask = new Map<string, number>();

  observeEvent(event: Event): void {
    switch (event.event) {
      case 'worker.listed':
        this.workers.set(event.worker.id, event.worker);
        break;
      case 'worker.removed':
        for (const [id, { start }] of this.live)
          if (start.worker === event.worker) this.drop(id);
        this.workers.delete(event.worker);
        this.usable.delete(event.worker);
        break;
      case 'worker.usable':
        if (event.usable && this.workers.has(event.worker))
          this.usable.add(event.worker);
        else this.usable.delete(event.worker);
        break;
      case 'worker.reported':
        for (const report of event.attempts) {
          const attempt = this.live.get(report.attemptId);
          if (attempt !== undefined) attempt.used = report.used;
        }
        break;
      case 'job.accepted':
        this.jobs.set(event.job.id, event.job);
        break;
      case 'task.started': {
        const attempt = this.live.get(event.attemptId);
        if (attempt !== undefined) attempt.confirmed = true;
        break;
      }
      case 'task.not-started': {
        const attempt = this.live.get(event.attemptId);
        if (attempt === undefined) break;
        this.drop(event.attemptId);
        const task = `${attempt.start.job}.${attempt.start.index}`;
        this.startsOfTask.set(task, (this.startsOfTask.get(task) ?? 1) - 1);
        break;
      }
      case 'task.ended':
        this.drop(event.attemptId);
        break;
      case 'job.cancelled':
      case 'task.held':
      case 'task.freed':
      case 'task.adopted':
      case 'release.changed':
      case 'team.quota':
        break;
    }
  }

  observeCommands(commands: readonly Command[], nowMs: number): void {
    const gangs = new Map<string, number>();
    for (const command of commands) {
      switch (command.command) {
        case 'start':
          this.checkStart(command, nowMs);
          gangs.set(command.job, (gangs.get(command.job) ?? 0) + 1);
          break;
        case 'stop': {
          this.stops.push(command);
          const attempt = this.live.get(command.attemptId);
          if (attempt !== undefined) attempt.stopping = true;
          break;
        }
        case 'end-job':
          this.checkJobEnd(command);
          break;
        case 'throttle':
          break;
      }
    }
    for (const [id, started] of gangs) {
      const spec = this.jobs.get(id)?.spec;
      if (spec?.kind === 'gang' && started !== spec.count)
        throw new Error(
          `gang ${id} started ${started} of ${spec.count} members in one tick`,
        );
    }
  }

  sumHeld(worker: string): core.resources.Resources {
    const sum = { cores: 0, memoryMb: 0, gpus: 0 };
    for (const { start, used } of this.live.values()) {
      if (start.worker !== worker) continue;
      sum.cores += Math.max(start.size.cores, used.cores);
      sum.memoryMb += Math.max(start.size.memoryMb, used.memoryMb);
      sum.gpus += start.size.gpus;
    }
    return sum;
  }

  private checkStart(start: Start, nowMs: number): void {
    const worker = this.workers.get(start.worker);
    if (worker?.state !== 'live' || !this.usable.has(start.worker))
      throw new Error(
        `attempt ${start.attemptId} started on unusable worker ${start.worker}`,
      );
    for (const other of this.live.values())
      if (other.start.job === start.job && other.start.index === start.index)
        throw new Error(
          `attempt ${start.attemptId} started while its task has a live attempt`,
        );
    if (this.pastAttemptIds.includes(start.attemptId))
      throw new Error(`attempt id ${start.attemptId} used twice`);
    const task = `${start.job}.${start.index}`;
    const starts = (this.startsOfTask.get(task) ?? 0) + 1;
    this.startsOfTask.set(task, starts);
    if (start.atMostOnce && starts > 1)
      throw new Error(`at-most-once task ${task} started twice`);
    if (this.ended.has(start.job))
      throw new Error(`task ${task} started after its job ended`);
    const used = { cores: 0, memoryMb: 0, gpus: 0 };
    const rest = { confirmed: false, stopping: false, sinceMs: nowMs };
    this.live.set(start.attemptId, { start, used, ...rest });
    const held = this.sumHeld(start.worker);
    const size = worker.size ?? buildSize(0);
    for (const name of ['cores', 'memoryMb', 'gpus'] as const)
      if (held[name] > size[name] + 1e-6)
        throw new Error(
          `worker ${start.worker} holds ${held[name]} of ${size[name]} ${name}`,
        );
  }

  private checkJobEnd(end: Extract<Command, { command: 'end-job' }>): void {
    if (this.ended.has(end.job)) throw new Error(`job ${end.job} ended twice`);
    for (const { start } of this.live.values())
      if (start.job === end.job)
        throw new Error(`job ${end.job} ended while an attempt of it is live`);
    this.ended.set(end.job, end.state);
  }

  private drop(id: string): void {
    if (this.live.delete(id)) this.pastAttemptIds.push(id);
  }
}

/** A scheduler and a checker that receive the same events, on a simulated clock. */
export class SchedulerHarness {
  nowMs = 0;
  readonly checker = new InvariantChecker();
  constructor(public scheduler: core.scheduling.Scheduler) {}

  apply(...events: Event[]): void {
    for (const event of events) {
      this.checker.observeEvent(event);
      this.scheduler.apply(event, this.nowMs);
    }
  }

  addWorkers(count: number, size: core.resources.Resources, perRack = 4): void {
    for (let n = 0; n < count; n += 1) {
      const rack = `rack-${Math.floor(n / perRack)}`;
      const zone = `zone-${Math.floor(n / perRack) % 2}`;
      const worker = buildWorker(`w${n}`, size, rack, zone);
      this.apply({ event: 'worker.listed', worker });
      this.apply({ event: 'worker.usable', worker: worker.id, usable: true });
    }
  }

  tick(byMs = 10): readonly Command[] {
    this.nowMs += byMs;
    const commands = this.scheduler.tick(this.nowMs);
    this.checker.observeCommands(commands, this.nowMs);
    return commands;
  }

  listStarts(commands: readonly Command[]): Start[] {
    return commands.filter((command) => command.command === 'start');
  }

  /**
   * Runs one tick, confirms its starts and stops, and ends each attempt that has run for
   * the time that `getRunMs` returns with the result of `getResult`.
   */
  step(
    byMs: number,
    getRunMs: (attempt: LiveAttempt) => number,
    getResult: (attempt: LiveAttempt) => core.jobs.TaskResult = () => 'done',
  ): Start[] {
    const starts = this.listStarts(this.tick(byMs));
    for (const [attemptId, attempt] of [...this.checker.live]) {
      if (!attempt.confirmed) this.apply({ event: 'task.started', attemptId });
      if (attempt.stopping)
        this.apply({
          event: 'task.ended',
          attemptId,
          result: 'stopped',
          checkpoint: Math.min(
            0.9,
            this.checker.pastAttemptIds.length / 10_000,
          ),
        });
      else if (this.nowMs - attempt.sinceMs >= getRunMs(attempt)) {
        const result = getResult(attempt);
        this.apply({ event: 'task.ended', attemptId, result });
      }
    }
    return starts;
  }
}
