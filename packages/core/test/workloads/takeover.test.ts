/** A change of owner: how the new owner handles runs that a previous owner started. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

const key = { job: 'job', occurrence: 0, step: 0, index: 0 };

/** Creates a new owner's harness whose stored progress says that run 7 of the task is on VM a. */
function createSuccessorHarness(step: Partial<core.workloads.StepSpec> = {}) {
  const harness = harnesses.createHarness({ firstRun: 1_000 });
  const job: core.workloads.Job = {
    id: 'job',
    queue: 'queue',
    payload: 'work',
    steps: [harnesses.createStep(step)],
    schedule: undefined,
    configVersion: 1,
    acceptedAtMs: 0,
    policy: harnesses.createPolicy(),
  };
  const progress = JSON.stringify({
    occurrences: [
      { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
    ],
  });
  harness.scheduler.restoreJob(
    job,
    harnesses.createProgress(progress),
    0,
    harness.getNow(),
    0,
  );
  return harness;
}

vitest.describe('a new owner', () => {
  vitest.it(
    'adopts a later run than the recorded one (guards against a second run of a task that was started without a record)',
    () => {
      const harness = createSuccessorHarness();
      harness.addVm('b');
      harness.vms.get('b')!.running.set('9/job.0.0.0', {
        task: key,
        run: 9,
        percent: 10,
        load: 0,
      });
      harness.report('b');
      harness.advance(10);
      harness.addVm('a');
      harness.vms.get('a')!.ended.push({
        number: 1,
        task: key,
        run: 7,
        how: 'stopped',
        saved: '',
      });
      for (let round = 0; round < 10; round += 1) harness.advance(50);
      vitest
        .expect(harness.listRuns())
        .toEqual([{ vm: 'b', task: 'job.0.0.0', run: 9 }]);
      vitest.expect(harness.commands).toEqual([]);
    },
  );

  vitest.it(
    'waits until a stray run has ended before it starts the task again (guards against two runs of a task at the same time)',
    () => {
      const harness = createSuccessorHarness();
      harness.addVm('b');
      harness.vms.get('b')!.running.set('5/job.0.0.0', {
        task: key,
        run: 5,
        percent: 10,
        load: 0,
      });
      // The VM hasn't carried out the stop command yet, so the run continues there.
      harness.scheduler.applyReport(
        'b',
        {
          incarnation: 1,
          running: [{ task: key, run: 5, saved: '', percent: 1, load: 0 }],
          ended: [],
          requestSentMs: harness.getNow(),
        },
        harness.getNow(),
      );
      harness.addVm('a');
      const decision = harness.scheduler.tick(harness.getNow(), 0);
      vitest
        .expect(decision.commands.map(({ command }) => command))
        .not.toContain('start');
      vitest
        .expect(decision.batch?.progress.get('job') ?? '')
        .not.toContain('1000');
    },
  );

  vitest.it(
    'starts the task as soon as the recorded VM reports that it does not run it once a stop of the previous owner can have ended',
    () => {
      const harness = createSuccessorHarness();
      harness.addVm('a');
      harness.advance(10);
      harness.advance(harnesses.LONGEST_STOP_MS - 11);
      vitest.expect(harness.listRuns()).toEqual([]);
      harness.advance(1);
      vitest
        .expect(harness.listRuns())
        .toEqual([{ vm: 'a', task: 'job.0.0.0', run: 1_000 }]);
    },
  );

  vitest.it(
    'waits for a VM without a report until its lease must have expired (guards against a second run of the task)',
    () => {
      const harness = createSuccessorHarness();
      harness.addVm('b');
      for (let round = 0; round < 150; round += 1) harness.advance(100);
      vitest.expect(harness.listRuns()).toEqual([]);
      for (let round = 0; round < 20; round += 1) harness.advance(100);
      vitest.expect(harness.listRuns()).toHaveLength(1);
    },
  );
});

vitest.describe('a new owner after unrecorded starts', () => {
  function createWaitingHarness() {
    const harness = harnesses.createHarness({
      firstRun: 1_000,
      unrecordedStarts: true,
    });
    harness.addJob('job', [harnesses.createStep({ lasts: true })]);
    harness.scheduler.setVmEntry(
      'a',
      harnesses.createEntry('a'),
      harness.getNow(),
    );
    harness.addVm('b');
    harness.advance(100);
    vitest.expect(harness.listRuns()).toEqual([]);
    return harness;
  }

  vitest.it(
    'does not wait for a VM that refused connections until its lease had expired (guards against all older jobs of a pool waiting for the lease of a VM that is gone)',
    () => {
      const harness = createWaitingHarness();
      harness.scheduler.loseVm('a', harness.getNow(), 'terminated');
      harness.advance(100);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it(
    'does not wait again for a VM that has reported and then falls silent',
    () => {
      const harness = createWaitingHarness();
      harness.scheduler.applyReport(
        'a',
        {
          incarnation: 1,
          running: [],
          ended: [],
          requestSentMs: harness.getNow(),
        },
        harness.getNow(),
      );
      harness.scheduler.suspendVm('a');
      harness.advance(100);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it(
    'waits for a VM that has not reported (guards against a second run beside an unrecorded one)',
    () => {
      const harness = createWaitingHarness();
      harness.scheduler.suspendVm('a');
      for (let round = 0; round < 100; round += 1) harness.advance(100);
      vitest.expect(harness.listRuns()).toEqual([]);
    },
  );
});

vitest.describe('starts whose records are not durable', () => {
  vitest.it(
    'are not sent, however long the store takes no records (guards against TWICE: an owner that is cut off starts what its successor starts)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      const { scheduler } = harness;
      const nowMs = harness.getNow();
      harness.addJob('first', [harnesses.createStep()]);
      vitest.expect(scheduler.tick(nowMs, nowMs).commands).toEqual([]);
      harness.addJob('second', [harnesses.createStep()]);
      for (let laterMs = 0; laterMs < 10_000; laterMs += 100)
        vitest
          .expect(scheduler.tick(nowMs + laterMs, nowMs).commands)
          .toEqual([]);
      vitest.expect(scheduler.hasUnrecordedStarts(nowMs)).toBe(false);
      vitest
        .expect(scheduler.confirmBatch())
        .toMatchObject([{ command: 'start', task: { job: 'first' } }]);
      vitest.expect(scheduler.tick(nowMs, nowMs).batch).toBeDefined();
      vitest
        .expect(scheduler.confirmBatch())
        .toMatchObject([{ command: 'start', task: { job: 'second' } }]);
    },
  );
});

vitest.describe(
  'an owner that learns of the end of a run without a record',
  () => {
    vitest.it.each(['done', 'failed'] as const)(
      'says so to its successor until the end is durable (guards against TWICE and BUDGET: the next owner starts the task before its VM has told of the end, %s)',
      (how) => {
        const { scheduler } = harnesses.createOpenScheduler(1_000, true);
        scheduler.setVmEntry('a', harnesses.createEntry('a'), 1_000);
        const steps = [harnesses.createStep({ count: 2 })];
        const policy = harnesses.createPolicy({ attempts: 3 });
        const job = harnesses.createJob({ steps, policy });
        scheduler.restoreJob(job, undefined, 0, 1_000, 1_000);
        scheduler.applyReport(
          'a',
          {
            incarnation: 1,
            running: [],
            ended: [{ number: 1, task: key, run: 7, how, saved: '' }],
            requestSentMs: 1_000,
          },
          1_000,
        );
        const { batch } = scheduler.tick(1_000, 1_000);
        vitest.expect(batch).toBeDefined();
        vitest.expect(scheduler.hasUnrecordedStarts(1_000)).toBe(true);
        scheduler.confirmBatch();
        vitest.expect(scheduler.hasUnrecordedStarts(1_000)).toBe(false);
      },
    );
  },
);
