/** Runs that are being stopped, which their VMs list nowhere until their end. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as knownRed from '../../../standins/test/cell/knownRed.js';
import * as harnesses from './harness.js';

type Harness = harnesses.Harness;

const STOP_MS = 700;
const STEP_MS = 50;
const key = { job: 'job', occurrence: 0, step: 0, index: 0 };
const name = core.workloads.formatTask(key);

function createHarness(options: harnesses.HarnessOptions = {}): Harness {
  return harnesses.createHarness({ unlistedStopMs: STOP_MS, ...options });
}

/** Advances in small steps; no task may run on two VMs meanwhile. */
function advance(harness: Harness, byMs: number): void {
  for (let leftMs = byMs; leftMs > 0; leftMs -= STEP_MS) {
    harness.advance(Math.min(STEP_MS, leftMs));
    const tasks = harness.listRuns().map(({ task }) => task);
    vitest.expect(tasks.length, tasks.join()).toBe(new Set(tasks).size);
  }
}

function addRun(
  harness: Harness,
  vm: string,
  run: number,
  stopEndsMs?: number,
): void {
  harness.vms.get(vm)!.running.set(`${run}/${name}`, {
    task: key,
    run,
    percent: 0,
    load: 0,
    ...(stopEndsMs === undefined ? {} : { stopEndsMs }),
  });
}

function loseVm(harness: Harness, vm: string): void {
  harness.vms.delete(vm);
  harness.scheduler.setVmEntry(vm, undefined, harness.getNow());
  harness.scheduler.loseVm(vm, harness.getNow());
}

/** Runs the scheduler, whose orders are lost. */
function loseOrders(harness: Harness): void {
  harness.scheduler.tick(harness.getNow(), harness.getNow());
}

function getCount(harness: Harness, event: string): number {
  return harness.scheduler.getCounts().get(event) ?? 0;
}

vitest.describe('a run that its VM lists nowhere while it stops it', () => {
  vitest.it(
    'keeps its task until its end is listed, and no longer (guards against TWICE: a run that counts as over before it has ended)',
    () => {
      const harness = createHarness();
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep({ estimateMs: 10_000 })]);
      advance(harness, 100);
      harness.stalledVms.add('a');
      while (getCount(harness, 'stop.stalled') === 0) advance(harness, STEP_MS);
      harness.addVm('b');
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
      advance(harness, STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it(
    'keeps the other members of its gang (guards against TWICE: a gang that starts beside a member of its last run)',
    () => {
      const harness = createHarness();
      for (const id of ['a', 'b', 'c']) harness.addVm(id);
      const step = harnesses.createStep({ count: 2, gang: true, maxPerVm: 1 });
      harness.addJob('job', [step]);
      advance(harness, 100);
      const [first] = harness.listRuns();
      harness.endRun(first!.vm, first!.run, 'failed');
      advance(harness, STOP_MS);
      vitest.expect(harness.listRuns()).toHaveLength(1);
      advance(harness, STEP_MS);
      vitest.expect(harness.listRuns()).toHaveLength(2);
    },
  );

  vitest.it(
    'keeps its task although its start had no answer (guards against TWICE: a start that was carried out before its stop)',
    () => {
      const harness = createHarness({ losesFirstStart: true });
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep()]);
      harness.settle();
      harness.addVm('b');
      addRun(harness, 'a', 1);
      harness.scheduler.applyStart('a', key, 1, 'unknown', harness.getNow());
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a', run: 1 }]);
      advance(harness, 2 * STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ run: 2 }]);
    },
  );

  vitest.it(
    'is over only by a report that was requested late enough (guards against TWICE: a report that waited at its VM)',
    () => {
      const harness = createHarness({ losesFirstStart: true });
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep()]);
      harness.settle();
      harness.scheduler.applyStart('a', key, 1, 'unknown', harness.getNow());
      harness.settle();
      const overMs = harness.getNow() + harnesses.LONGEST_STOP_MS;
      const report = (requestSentMs: number): void => {
        harness.scheduler.applyReport(
          'a',
          { incarnation: 1, running: [], ended: [], requestSentMs },
          overMs + 500,
        );
      };
      report(overMs - 1);
      vitest.expect(getCount(harness, 'removed.whole-report')).toBe(0);
      report(overMs);
      vitest.expect(getCount(harness, 'removed.whole-report')).toBe(1);
    },
  );

  vitest.it(
    'keeps its task when an earlier owner has stopped it (guards against TWICE: the first report to a new owner)',
    () => {
      const harness = createHarness({ firstRun: 1_000 });
      const progress = JSON.stringify({
        occurrences: [
          { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
        ],
      });
      harness.scheduler.restoreJob(
        harnesses.createJob(),
        harnesses.createProgress(progress),
        0,
        harness.getNow(),
        0,
      );
      harness.addVm('b');
      harness.addVm('a');
      addRun(harness, 'a', 7, harness.getNow() + STOP_MS);
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a', run: 7 }]);
      advance(harness, STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ run: 1_000 }]);
    },
  );

  const restarted =
    'keeps its task when an earlier owner has started it on an incarnation that it did not know, and stopped it (guards against TWICE: a recorded incarnation that is older than the run)';
  vitest.it(restarted, () =>
    knownRed.runKnownRed(restarted, () => {
      const harness = createHarness({ firstRun: 1_000 });
      const progress = JSON.stringify({
        occurrences: [
          { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1, 1]] }] },
        ],
      });
      harness.scheduler.restoreJob(
        harnesses.createJob(),
        harnesses.createProgress(progress),
        0,
        harness.getNow(),
        0,
      );
      harness.addVm('b');
      harness.addVm('a', { incarnation: 2 });
      addRun(harness, 'a', 7, harness.getNow() + STOP_MS);
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a', run: 7 }]);
      return Promise.resolve();
    }),
  );

  vitest.it(
    'keeps its task when a late order stops it (guards against TWICE: a run that this owner has not stopped)',
    () => {
      const harness = createHarness();
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep({ estimateMs: 10_000 })]);
      advance(harness, 100);
      harness.addVm('b');
      addRun(harness, 'a', 1, harness.getNow() + STOP_MS);
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a', run: 1 }]);
      advance(harness, STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ run: 2 }]);
    },
  );

  vitest.it(
    'is over at once when its VM has started again (guards against LOST: a wait for the end of a run that a crash has ended)',
    () => {
      const harness = createHarness();
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep({ estimateMs: 10_000 })]);
      advance(harness, 100);
      harness.stalledVms.add('a');
      while (getCount(harness, 'stop.stalled') === 0) advance(harness, STEP_MS);
      harness.addVm('b');
      advance(harness, STEP_MS);
      const vm = harness.vms.get('a')!;
      vm.running.clear();
      vm.entry = harnesses.createEntry('a', { incarnation: 2 });
      harness.advance(1);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b', run: 2 }]);
    },
  );

  vitest.it(
    'keeps its task when a late start has reached the next incarnation of its VM (guards against TWICE: the answer of an earlier incarnation to the stop)',
    () => {
      const harness = createHarness({ losesFirstStart: true });
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep()]);
      harness.settle();
      harness.addVm('b');
      harness.scheduler.applyStart('a', key, 1, 'unknown', harness.getNow());
      advance(harness, 500);
      const vm = harness.vms.get('a')!;
      vm.entry = harnesses.createEntry('a', { incarnation: 2 });
      harness.report('a');
      addRun(harness, 'a', 1);
      harness.settle();
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a', run: 1 }]);
      advance(harness, 2 * STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ run: 2 }]);
    },
  );
});

vitest.describe('a stray run', () => {
  /** Creates a harness whose task runs on VM a, and whose VM b has an earlier run of it. */
  function createStrayHarness(): Harness {
    const harness = createHarness({ firstRun: 1_000 });
    harness.addVm('a');
    harness.addJob('job', [harnesses.createStep({ estimateMs: 10_000 })]);
    harness.advance(10);
    harness.addVm('b');
    addRun(harness, 'b', 5);
    harness.report('b');
    return harness;
  }

  vitest.it(
    'keeps its task and its VM while it is stopped and listed nowhere (guards against TWICE: a task that starts beside a stray run)',
    () => {
      const harness = createStrayHarness();
      harness.settle();
      loseVm(harness, 'a');
      advance(harness, STOP_MS - STEP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b', run: 5 }]);
      advance(harness, STEP_MS);
      vitest
        .expect(harness.listRuns())
        .toMatchObject([{ vm: 'b', run: 1_001 }]);
    },
  );

  vitest.it(
    'ends without a listed end after the longest stop (guards against LOST: a stray run that is never forgotten)',
    () => {
      const harness = createStrayHarness();
      harness.vms.get('b')!.running.clear();
      loseVm(harness, 'a');
      harness.report('b');
      harness.settle();
      harness.wait(harnesses.LONGEST_STOP_MS - 3);
      harness.settle();
      vitest.expect(harness.listRuns()).toEqual([]);
      harness.settle();
      vitest
        .expect(harness.listRuns())
        .toMatchObject([{ vm: 'b', run: 1_001 }]);
    },
  );

  vitest.it(
    'is not adopted after an order to stop it was sent (guards against TWICE: a late stop of an adopted run)',
    () => {
      const harness = createStrayHarness();
      loseOrders(harness);
      loseVm(harness, 'a');
      harness.report('b');
      harness.settle();
      vitest.expect(getCount(harness, 'run.adopted')).toBe(0);
      advance(harness, STOP_MS + STEP_MS);
      vitest
        .expect(harness.listRuns())
        .toMatchObject([{ vm: 'b', run: 1_001 }]);
    },
  );

  vitest.it(
    'keeps its task while its VM has ends that it does not list (guards against TWICE: a stray run that has ended as done)',
    () => {
      const harness = createStrayHarness();
      harness.settle();
      loseVm(harness, 'a');
      harness.addVm('c');
      const report = (ended: core.workloads.ReportedEnd[]): void => {
        const nowMs = harness.getNow();
        const mayHaveMoreEnds = ended.length === 0;
        harness.scheduler.applyReport(
          'b',
          {
            incarnation: 1,
            running: [],
            ended,
            mayHaveMoreEnds,
            requestSentMs: nowMs,
          },
          nowMs,
        );
        loseOrders(harness);
      };
      for (let round = 0; round < 3; round += 1) {
        report([]);
        harness.wait(harnesses.LONGEST_STOP_MS);
      }
      vitest.expect(getCount(harness, 'start.decided')).toBe(1);
      report([{ number: 1, task: key, run: 5, how: 'done', saved: '' }]);
      vitest.expect(getCount(harness, 'start.decided')).toBe(1);
      vitest.expect(getCount(harness, 'job.completed')).toBe(1);
    },
  );
});
