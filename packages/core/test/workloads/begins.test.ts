/** Which jobs count as started: those of which a VM has shown that a task was started. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

type StartOutcome = core.workloads.StartOutcome;
type StartCommand = Extract<
  core.workloads.Command,
  { readonly command: 'start' }
>;

const TIMEOUT_MS = 16_000;
/** Time within which VMs that can be reached have reported to a new owner, in ms. */
const FIRST_REPORT_MS = 2_500;
/** Time for which a job counts as waiting while its first start has no answer, in ms. */
const SENT_MS = 1_000;

/** An owner whose commands the test carries out. */
class TestOwner {
  nowMs = 1_000;
  readonly scheduler: core.workloads.WorkloadScheduler;
  /** Stored progress of the job. */
  record: string | undefined;

  constructor(firstRun = 1, unrecordedStarts = false) {
    this.scheduler = core.workloads.createWorkloadScheduler({
      bounds: {
        inheritedRunTimeoutMs: TIMEOUT_MS,
        longestStopMs: harnesses.LONGEST_STOP_MS,
        firstRun,
        maxRecordBytes: 262_144,
      },
      unrecordedStarts,
      nowMs: this.nowMs,
    });
  }

  accept(job = harnesses.createJob()): void {
    this.scheduler.acceptJob(job, 0, this.nowMs, this.nowMs);
  }

  /** Creates the next owner, which restores the job from the record. */
  createSuccessor(
    unrecordedStarts = false,
    job = harnesses.createJob(),
  ): TestOwner {
    const successor = new TestOwner(1_000, unrecordedStarts);
    successor.record = this.record;
    successor.scheduler.restoreJob(
      job,
      harnesses.createProgress(this.record),
      0,
      this.nowMs,
      this.nowMs,
    );
    return successor;
  }

  report(
    vm: string,
    given: Partial<core.workloads.VmReport> = {},
    entry: Partial<core.workloads.VmEntry> = {},
  ): void {
    this.nowMs += 10;
    this.scheduler.setVmEntry(vm, harnesses.createEntry(vm, entry), this.nowMs);
    this.scheduler.applyReport(
      vm,
      {
        incarnation: 1,
        running: [],
        ended: [],
        requestSentMs: this.nowMs,
        ...given,
      },
      this.nowMs,
    );
  }

  /** Runs a round without confirming its records. */
  tick(): void {
    this.nowMs += 10;
    const { batch } = this.scheduler.tick(this.nowMs, this.nowMs);
    this.record = batch?.progress.get('job') ?? this.record;
  }

  /** Runs a round and returns the starts that it sends. */
  sendStarts(): readonly StartCommand[] {
    this.tick();
    return this.scheduler
      .confirmBatch()
      .filter((command) => command.command === 'start');
  }

  answer(start: StartCommand | undefined, outcome: StartOutcome): void {
    if (start === undefined) throw new Error('no start was sent');
    this.scheduler.applyStart(
      start.vm,
      start.task,
      start.run,
      outcome,
      this.nowMs,
    );
  }

  countWaiting(): number {
    return this.scheduler.countWaiting(this.nowMs).get('queue')?.waiting ?? 0;
  }

  countUnresolved(): number {
    return (
      this.scheduler.countWaiting(this.nowMs).get('queue')?.unresolved ?? 0
    );
  }

  getState(): string | undefined {
    return this.scheduler.getJobState('job', this.nowMs);
  }

  expectWaiting(): void {
    vitest.expect(this.getState()).toBe('pending');
    vitest.expect(this.countWaiting()).toBe(1);
    vitest.expect(this.countUnresolved()).toBe(0);
  }

  expectUnresolved(): void {
    vitest.expect(this.getState()).toBe('unresolved');
    vitest.expect(this.countWaiting()).toBe(0);
    vitest.expect(this.countUnresolved()).toBe(1);
  }

  expectBegun(): void {
    vitest.expect(this.getState()).toBe('running');
    vitest.expect(this.countWaiting()).toBe(0);
    vitest.expect(this.countUnresolved()).toBe(0);
  }
}

/** Creates an owner with an idle VM and one accepted job. */
function createOwner(job?: core.workloads.Job): TestOwner {
  const owner = new TestOwner();
  owner.report('a');
  owner.accept(job);
  return owner;
}

function createReportedRun(
  start: StartCommand | undefined,
): core.workloads.ReportedRun {
  if (start === undefined) throw new Error('no start was sent');
  const { task, run } = start;
  return { task, run, saved: '', percent: 0, load: 0 };
}

function createEnd(
  start: StartCommand | undefined,
  how: core.workloads.RunEnd,
): core.workloads.ReportedEnd {
  if (start === undefined) throw new Error('no start was sent');
  const { task, run } = start;
  return { number: 1, task, run, how, saved: '' };
}

vitest.describe('a job of which no task has begun', () => {
  vitest.it(
    'waits while the record of its start is written (guards against a decided start that counts as begun)',
    () => {
      const owner = createOwner();
      owner.tick();
      owner.expectWaiting();
      vitest.expect(owner.scheduler.confirmBatch()).toHaveLength(1);
      owner.expectWaiting();
    },
  );

  vitest.it.each([
    'fenced',
    'old',
    'late',
    'no-room',
    'ticket',
    'malformed',
    'other-life',
    'unhealthy',
    'unreachable',
  ] as const)(
    'waits after its start was rejected as %s (guards against a rejected start that counts as begun)',
    (outcome) => {
      const owner = createOwner();
      owner.answer(owner.sendStarts()[0], outcome);
      owner.expectWaiting();
    },
  );

  vitest.it(
    'waits after its start was withdrawn (guards against an unsent start that counts as begun)',
    () => {
      const owner = createOwner();
      owner.tick();
      owner.report('a', {}, { draining: true });
      owner.tick();
      vitest.expect(owner.scheduler.confirmBatch()).toEqual([]);
      owner.expectWaiting();
    },
  );

  vitest.it(
    'waits after its VM was lost before it answered the start (guards against a lost start that counts as begun)',
    () => {
      const owner = createOwner();
      vitest.expect(owner.sendStarts()).toHaveLength(1);
      owner.scheduler.loseVm('a', owner.nowMs);
      owner.expectWaiting();
    },
  );

  vitest.it(
    'waits after its start got no answer, until its VM lists the delayed run (guards against an unanswered start that counts as begun)',
    () => {
      const owner = createOwner();
      const [start] = owner.sendStarts();
      owner.answer(start, 'unknown');
      owner.expectWaiting();
      owner.report('a');
      owner.expectWaiting();
      owner.report('a', { running: [createReportedRun(start)] });
      owner.expectBegun();
    },
  );

  vitest.it('of a service waits like any other', () => {
    const owner = createOwner(
      harnesses.createJob({ steps: [harnesses.createStep({ lasts: true })] }),
    );
    const [start] = owner.sendStarts();
    owner.expectWaiting();
    owner.answer(start, 'started');
    owner.expectBegun();
  });

  vitest.it('of a schedule is pending and not counted', () => {
    const owner = createOwner(
      harnesses.createJob({
        schedule: { times: 1, firstAtMs: 0, intervalMs: 100 },
      }),
    );
    const [start] = owner.sendStarts();
    vitest.expect(owner.getState()).toBe('pending');
    vitest.expect(owner.countWaiting()).toBe(0);
    owner.answer(start, 'started');
    vitest.expect(owner.getState()).toBe('running');
  });
});

vitest.describe('a job of which a task has begun', () => {
  vitest.it('does not wait from the answer to its start on', () => {
    const owner = createOwner();
    owner.answer(owner.sendStarts()[0], 'started');
    owner.expectBegun();
  });

  vitest.it(
    'does not wait although the answer came after its VM was lost',
    () => {
      const owner = createOwner();
      const [start] = owner.sendStarts();
      owner.scheduler.loseVm('a', owner.nowMs);
      owner.answer(start, 'started');
      owner.expectBegun();
    },
  );

  vitest.it.each([
    'done',
    'failed',
    'stopped',
    'lapsed',
    'broken',
    'alone',
  ] as const)('does not wait after a run was reported as %s', (how) => {
    const owner = createOwner(
      harnesses.createJob({ steps: [harnesses.createStep({ count: 2 })] }),
    );
    const [start] = owner.sendStarts();
    owner.report('a', { ended: [createEnd(start, how)] });
    owner.expectBegun();
  });

  vitest.it('does not wait after its run was lost with its VM', () => {
    const owner = createOwner();
    owner.answer(owner.sendStarts()[0], 'started');
    owner.scheduler.loseVm('a', owner.nowMs);
    owner.expectBegun();
  });
});

vitest.describe('a new owner', () => {
  vitest.it(
    'knows of a begin whose run has ended and left no other trace (guards against a begun job that waits after a takeover)',
    () => {
      const owner = createOwner();
      const [start] = owner.sendStarts();
      owner.answer(start, 'started');
      owner.report('a', { ended: [createEnd(start, 'stopped')] });
      owner.scheduler.suspendVm('a');
      owner.tick();
      owner.scheduler.confirmBatch();
      vitest.expect(owner.scheduler.getDurableEnd('a')).toBe(1);
      const successor = owner.createSuccessor();
      successor.report('a');
      successor.expectBegun();
    },
  );

  vitest.it(
    'counts a job whose start was recorded and never sent only once its VM has reported (guards against a recorded start that counts as begun)',
    () => {
      const owner = createOwner();
      owner.tick();
      const successor = owner.createSuccessor();
      successor.expectUnresolved();
      successor.report('b');
      successor.expectUnresolved();
      successor.report('a');
      successor.expectWaiting();
    },
  );

  vitest.it(
    'counts a job as begun that the recorded VM runs (guards against a begun job that waits after a takeover)',
    () => {
      const owner = createOwner();
      const [start] = owner.sendStarts();
      owner.answer(start, 'started');
      const successor = owner.createSuccessor();
      successor.expectUnresolved();
      successor.report('a', { running: [createReportedRun(start)] });
      successor.expectBegun();
    },
  );

  vitest.it(
    'counts a job as waiting whose recorded VM was replaced before it has reported',
    () => {
      const owner = createOwner();
      vitest.expect(owner.sendStarts()).toHaveLength(1);
      const successor = owner.createSuccessor();
      successor.scheduler.loseVm('a', successor.nowMs, 'replaced');
      successor.expectWaiting();
    },
  );

  vitest.it.each([undefined, 'terminated'] as const)(
    'waits for the first report of a VM whose lease has expired, evidence of a crash: %s (guards against MIXED: a job is said to wait that its VM has begun)',
    (evidence) => {
      const owner = createOwner();
      vitest.expect(owner.sendStarts()).toHaveLength(1);
      const successor = owner.createSuccessor();
      successor.scheduler.loseVm('a', successor.nowMs, evidence);
      successor.expectUnresolved();
      successor.nowMs += FIRST_REPORT_MS;
      successor.expectUnresolved();
      successor.nowMs += 1;
      successor.expectWaiting();
    },
  );

  vitest.it(
    'knows from the first report after its last lease that a recorded start was carried out',
    () => {
      const owner = createOwner();
      const [start] = owner.sendStarts();
      const successor = owner.createSuccessor();
      successor.scheduler.loseVm('a', successor.nowMs);
      const { task, run } = start!;
      successor.report('a', {
        ended: [{ number: 1, task, run, how: 'lapsed', saved: '' }],
      });
      successor.expectBegun();
    },
  );

  vitest.it(
    'is unresolved while a start has had no answer for long (guards against MIXED: a job is said to wait that a silent VM has begun)',
    () => {
      const owner = createOwner();
      const [start] = owner.sendStarts();
      owner.expectWaiting();
      owner.nowMs += SENT_MS - 10;
      owner.expectWaiting();
      vitest
        .expect(owner.scheduler.countWaiting(owner.nowMs).get('queue'))
        .toMatchObject({ sentAgeMs: SENT_MS - 10 });
      owner.answer(start, 'unknown');
      owner.nowMs += 20;
      owner.expectUnresolved();
      owner.scheduler.loseVm('a', owner.nowMs);
      owner.expectWaiting();
    },
  );

  vitest.it(
    'counts a job as waiting whose recorded VM does not report within the timeout',
    () => {
      const owner = createOwner();
      vitest.expect(owner.sendStarts()).toHaveLength(1);
      const successor = owner.createSuccessor();
      successor.nowMs += TIMEOUT_MS;
      successor.expectUnresolved();
      successor.tick();
      successor.expectWaiting();
    },
  );

  vitest.it(
    'does not take a job as accepted after its predecessor because clocks differ (guards against a second run, and a job said to wait, beside an unrecorded run)',
    () => {
      const owner = new TestOwner(1_000, true);
      owner.nowMs += 300;
      owner.scheduler.restoreJob(
        harnesses.createJob(),
        undefined,
        0,
        owner.nowMs,
        owner.nowMs,
      );
      owner.scheduler.setVmEntry('a', harnesses.createEntry('a'), owner.nowMs);
      owner.report('b');
      vitest.expect(owner.sendStarts()).toEqual([]);
      owner.expectUnresolved();
      owner.report('a');
      vitest.expect(owner.sendStarts()).toHaveLength(1);
    },
  );

  vitest.it('knows the state of a cancelled job with an unresolved run', () => {
    const owner = createOwner();
    vitest.expect(owner.sendStarts()).toHaveLength(1);
    const successor = owner.createSuccessor();
    successor.scheduler.cancelJob('job', successor.nowMs);
    vitest.expect(successor.getState()).toBe('cancelled');
    vitest.expect(successor.countUnresolved()).toBe(0);
  });

  vitest.it.each([
    { done: '10' },
    { done: '00', failed: { 1: [7] } },
    { done: '00', saved: { 1: 'half' } },
    { done: '00', gangFailures: [7] },
  ])('infers a begin from the earlier record %j', (step) => {
    const owner = new TestOwner();
    owner.record = JSON.stringify({
      occurrences: [{ number: 0, steps: [step] }],
    });
    owner
      .createSuccessor(
        false,
        harnesses.createJob({ steps: [harnesses.createStep({ count: 2 })] }),
      )
      .expectBegun();
  });
});
