/**
 * Checks the guarantees P1, P2 and P5 of the scheduler under random sequences of events,
 * including late, repeated and reordered ones and changes of the owner.
 */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as core from '../src/index.js';
import * as harness from './schedulerHarness.js';

const { describe, it, expect } = vitest;

const classes = [
  harness.buildClass('fast', 'urgent', { floor: 0.3 }),
  harness.buildClass('once', 'normal', { floor: 0.2, idempotent: false }),
  harness.buildClass('plain', 'normal', { floor: 0.2 }),
  harness.buildClass('bulk', 'deferrable', { floor: 0.1, preemptible: true }),
];

const results = ['done', 'failed', 'lost', 'stopped', 'unknown'] as const;

const operation = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      op: fc.constant('tick' as const),
      by: fc.nat(3000),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      op: fc.constant('job' as const),
      jobClass: fc.nat(3),
      kind: fc.constantFrom('batch', 'gang', 'service'),
      count: fc.integer({ min: 1, max: 5 }),
      cores: fc.constantFrom(0.3, 0.5, 1, 2, 4, 8),
      memory: fc.constantFrom(512, 1024, 4096, 16_384),
      gpus: fc.constantFrom(0, 0, 0, 1, 2),
      declaredMs: fc.constantFrom(0, 100, 5000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      op: fc.constant('cancel' as const),
      pick: fc.nat(),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      op: fc.constant('end' as const),
      pick: fc.nat(),
      result: fc.constantFrom(...results),
      repeat: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      op: fc.constant('started' as const),
      pick: fc.nat(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      op: fc.constant('not-started' as const),
      pick: fc.nat(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ op: fc.constant('late' as const), pick: fc.nat() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      op: fc.constant('usable' as const),
      pick: fc.nat(5),
      usable: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      op: fc.constant('remove' as const),
      pick: fc.nat(5),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      op: fc.constant('list' as const),
      pick: fc.nat(5),
      leaving: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      op: fc.constant('report' as const),
      pick: fc.nat(5),
      factor: fc.double({ min: 0, max: 2.5, noNaN: true }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      op: fc.constant('handover' as const),
      held: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      op: fc.constant('quota' as const),
      cores: fc.nat(30),
    }),
  },
);
type Operation = typeof operation extends fc.Arbitrary<infer T> ? T : never;

const sizes = [16, 16, 8, 8, 32, 32].map((cores, n) =>
  harness.buildSize(cores, cores * 2048, n >= 4 ? 4 : 0),
);

function pickFrom<T>(list: readonly T[], pick: number): T | undefined {
  return list.length === 0 ? undefined : list[pick % list.length];
}

class RandomRun extends harness.SchedulerHarness {
  private owners = 1;
  private jobs = 0;
  private readonly ends = new Map<string, core.scheduling.EndedTask[]>();

  constructor() {
    super(core.createScheduler({ maxStartsPerTick: 50, seed: 1 }));
    this.apply(harness.buildRelease(classes));
    for (let n = 0; n < 6; n += 1) this.list(n, false);
  }

  list(pick: number, leaving: boolean): void {
    const rack = `rack-${pick % 3}`;
    const worker = harness.buildWorker(
      `w${pick}`,
      sizes[pick]!,
      rack,
      `z${pick % 2}`,
    );
    const state = leaving ? 'leaving' : 'live';
    this.apply({ event: 'worker.listed', worker: { ...worker, state } });
    if (!leaving)
      this.apply({ event: 'worker.usable', worker: worker.id, usable: true });
  }

  execute(op: Operation): void {
    const attemptId =
      'pick' in op
        ? pickFrom([...this.checker.live.keys()], op.pick)
        : undefined;
    switch (op.op) {
      case 'tick':
        this.tick(op.by);
        return;
      case 'job': {
        const entry = classes[op.jobClass]!;
        const size = { cores: op.cores, memoryMb: op.memory, gpus: op.gpus };
        const team = `team-${this.jobs % 3}`;
        const { kind, count, declaredMs } = op;
        const options = { kind, count, size, declaredMs, team };
        const spec = harness.buildSpec(entry.name, options);
        const event = harness.buildJob(`j${this.jobs}`, spec, entry.urgency);
        this.jobs += 1;
        this.apply(event, event);
        return;
      }
      case 'cancel': {
        const job = pickFrom([...this.checker.jobs.keys()], op.pick);
        if (job !== undefined)
          this.apply({ event: 'job.cancelled', job, by: 'test' });
        return;
      }
      case 'end':
        if (attemptId === undefined) return;
        this.apply({ event: 'task.ended', attemptId, result: op.result });
        if (op.repeat)
          this.apply({ event: 'task.ended', attemptId, result: 'done' });
        return;
      case 'started':
        if (attemptId !== undefined)
          this.apply({ event: 'task.started', attemptId });
        return;
      case 'not-started':
        if (attemptId !== undefined)
          this.apply({ event: 'task.not-started', attemptId });
        return;
      case 'late': {
        const past = pickFrom(this.checker.pastAttemptIds, op.pick);
        if (past === undefined) return;
        this.apply({ event: 'task.started', attemptId: past });
        this.apply({ event: 'task.not-started', attemptId: past });
        this.apply({ event: 'task.ended', attemptId: past, result: 'lost' });
        return;
      }
      case 'usable':
        this.apply({
          event: 'worker.usable',
          worker: `w${op.pick}`,
          usable: op.usable,
        });
        return;
      case 'remove':
        this.apply({ event: 'worker.removed', worker: `w${op.pick}` });
        return;
      case 'list':
        this.list(op.pick, op.leaving);
        return;
      case 'report':
        this.report(`w${op.pick}`, op.factor);
        return;
      case 'handover':
        this.handOver(op.held);
        return;
      case 'quota': {
        const quota = harness.buildSize(op.cores, 1e9, 100);
        this.apply({ event: 'team.quota', team: 'team-0', quota });
        return;
      }
    }
  }

  report(worker: string, factor: number): void {
    const attempts = this.buildReports(worker, factor);
    this.apply({ event: 'worker.reported', worker, attempts });
    const stops = this.checker.stops.length;
    this.tick(1);
    const excess = attempts.reduce((sum, { used }) => sum + used.memoryMb, 0);
    const size = this.checker.workers.get(worker)?.size?.memoryMb ?? 0;
    const kept = attempts
      .filter(
        ({ attemptId }) => this.checker.live.get(attemptId)?.stopping === false,
      )
      .reduce((sum, { used }) => sum + used.memoryMb, 0);
    if (excess > size) expect(kept, `${stops}`).toBeLessThanOrEqual(size);
  }

  /**
   * Builds the report of a worker: each attempt uses its declared size times `factor`, or
   * what it used before when no factor is given.
   */
  buildReports(worker: string, factor?: number): core.workers.AttemptReport[] {
    const attempts: core.workers.AttemptReport[] = [];
    for (const attempt of this.checker.live.values()) {
      const { start, sinceMs } = attempt;
      if (start.worker !== worker) continue;
      const { size, attemptId, job: jobId, index } = start;
      const used =
        factor === undefined
          ? attempt.used
          : {
              ...size,
              cores: size.cores * factor,
              memoryMb: size.memoryMb * factor,
            };
      const times = { leaseUntilMs: 0, startedMs: sinceMs };
      const place = { attemptId, jobId, index };
      attempts.push({ ...place, state: 'running', size, used, ...times });
    }
    return attempts;
  }

  /**
   * Replaces the scheduler by one of a new owner, which receives the accepted jobs, then the
   * held tasks, then the attempts found on the workers.
   */
  handOver(held: boolean): void {
    this.owners += 1;
    this.tick(1);
    const seed = this.owners;
    const next = core.createScheduler({ maxStartsPerTick: 50, seed });
    const now = this.nowMs;
    next.apply(harness.buildRelease(classes), now);
    for (const worker of this.checker.workers.values())
      next.apply({ event: 'worker.listed', worker }, now);
    const reason = { reason: 'worker-lost', worker: 'w0' } as const;
    for (const job of this.checker.jobs.values()) {
      if (this.checker.ended.has(job.id)) continue;
      const tasks = this.scheduler.listTaskStates(job.id) ?? [];
      const ended = tasks.flatMap((task, index) =>
        task.state === 'ended' ? [{ index, result: task.result }] : [],
      );
      next.apply({ event: 'job.accepted', job, ended }, now);
      if (held)
        tasks.forEach((_, index) => {
          next.apply({ event: 'task.held', job: job.id, index, reason }, now);
        });
    }
    for (const attempt of this.checker.live.values()) {
      const { job, index, attemptId, worker, size } = attempt.start;
      attempt.stopping = false;
      const adopted = { job, index, attemptId, worker, size };
      next.apply({ event: 'task.adopted', ...adopted }, now);
      next.apply({ event: 'task.adopted', ...adopted }, now);
    }
    for (const job of this.checker.jobs.values())
      for (let index = 0; index < job.spec.count; index += 1)
        next.apply({ event: 'task.freed', job: job.id, index }, now);
    for (const worker of this.checker.usable)
      next.apply({ event: 'worker.usable', worker, usable: true }, now);
    for (const worker of this.checker.workers.keys()) {
      const attempts = this.buildReports(worker);
      next.apply({ event: 'worker.reported', worker, attempts }, now);
    }
    this.scheduler = next;
  }

  /** Lets all attempts end, then checks that each job ended or explains why it can't run. */
  finish(): void {
    for (let n = 0; n < 6; n += 1) {
      this.apply({ event: 'worker.removed', worker: `w${n}` });
      this.list(n, false);
    }
    const quota = harness.buildSize(1000, 1e9, 100);
    this.apply({ event: 'team.quota', team: 'team-0', quota });
    for (const [id, job] of this.checker.jobs)
      if (job.spec.kind === 'service')
        this.apply({ event: 'job.cancelled', job: id, by: 'test' });
    for (let n = 0; n < 400; n += 1) this.step(2000, () => 0);
    for (const id of this.checker.jobs.keys()) {
      if (this.checker.ended.has(id)) continue;
      const lines = this.scheduler.explain(id);
      expect(lines.join(' '), id).toMatch(/can never run|is kept for/);
    }
  }
}

describe('scheduler under random events', () => {
  it('never exceeds a worker, runs a task twice at once or splits a gang, and ends or explains every job', () => {
    fc.assert(
      fc.property(
        fc.array(operation, { minLength: 20, maxLength: 120 }),
        (operations) => {
          const run = new RandomRun();
          for (const op of operations) run.execute(op);
          run.finish();
        },
      ),
      { seed: 20261204, numRuns: 150 },
    );
  });
});
