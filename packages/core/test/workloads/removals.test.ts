/** Runs that count as over without a report of their end, and ends of them that are reported later. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

type Harness = harnesses.Harness;

const key = { job: 'job', occurrence: 0, step: 0, index: 0 };
/** Time between the request for a report and the report, in ms. */
const REPORT_AGE_MS = 20;

function startTask(step: Partial<core.workloads.StepSpec> = {}): Harness {
  const harness = harnesses.createHarness();
  harness.addVm('a');
  harness.addJob('job', [harnesses.createStep(step)]);
  harness.settle();
  harness.advance(400);
  return harness;
}

/** Decides a start whose command the test answers itself. */
function sendStart(harness: Harness): void {
  harness.scheduler.tick(harness.getNow(), harness.getNow());
  harness.scheduler.confirmBatch();
}

function applyStart(
  harness: Harness,
  outcome: core.workloads.StartOutcome,
): void {
  harness.scheduler.applyStart('a', key, 1, outcome, harness.getNow());
}

function tick(harness: Harness): core.workloads.Decision {
  return harness.scheduler.tick(harness.getNow(), harness.getNow());
}

/** Lets the tables take a run as over that goes on at its VM, and starts the task on another one. */
function startTwice(remove: (harness: Harness) => void): Harness {
  const harness = startTask();
  remove(harness);
  harness.addVm('b');
  harness.settle();
  vitest.expect(harness.listRuns().map(({ vm }) => vm)).toEqual(['a', 'b']);
  return harness;
}

/** Reports without the run until the VM would have listed its end, had it been stopped. */
function reportWithout(harness: Harness): void {
  reportNothing(harness);
  // The order to stop the run is lost.
  tick(harness);
  harness.wait(harnesses.LONGEST_STOP_MS + REPORT_AGE_MS);
  reportNothing(harness);
  harness.scheduler.suspendVm('a');
}

function reportNothing(harness: Harness): void {
  const nowMs = harness.getNow();
  const requestSentMs = nowMs - REPORT_AGE_MS;
  const report = { incarnation: 1, running: [], ended: [], requestSentMs };
  harness.scheduler.applyReport('a', report, nowMs);
}

vitest.describe('a run that counts as over without a report of its end', () => {
  vitest.it(
    'is told with the report that does not list it either after a stop can have ended',
    () => {
      const harness = startTask();
      reportWithout(harness);
      vitest.expect(tick(harness).endedRuns).toEqual([
        {
          task: key,
          run: 1,
          vm: 'a',
          how: 'not-reported',
          lasts: false,
          removal: {
            run: 1,
            how: 'not-reported',
            evidence: 'whole-report',
            reportAgeMs: REPORT_AGE_MS,
            removedMs: harness.getNow(),
            phase: 'stopping',
            incarnation: 1,
            heldMs: 400 + harnesses.LONGEST_STOP_MS + REPORT_AGE_MS,
            listedAgeMs: harnesses.LONGEST_STOP_MS + REPORT_AGE_MS,
            confirmedAgeMs: undefined,
          },
        },
      ]);
      vitest
        .expect(harness.scheduler.getCounts().get('removed.whole-report'))
        .toBe(1);
      vitest.expect(tick(harness).endedRuns).toEqual([]);
    },
  );

  vitest.it.each<
    [core.workloads.RemovalEvidence, string, (harness: Harness) => void]
  >([
    [
      'terminated',
      'lost',
      (harness) => {
        harness.scheduler.loseVm('a', harness.getNow(), 'terminated');
      },
    ],
    [
      'replaced',
      'lost',
      (harness) => {
        harness.scheduler.loseVm('a', harness.getNow(), 'replaced');
      },
    ],
    [
      'lease-expired',
      'lost',
      (harness) => {
        harness.scheduler.loseVm('a', harness.getNow());
      },
    ],
    [
      'restarted',
      'not-reported',
      (harness) => {
        harness.scheduler.applyReport(
          'a',
          {
            incarnation: 2,
            running: [],
            ended: [],
            requestSentMs: harness.getNow(),
          },
          harness.getNow(),
        );
      },
    ],
  ])('is told with its evidence: %s', (evidence, how, remove) => {
    const harness = startTask();
    remove(harness);
    vitest
      .expect(tick(harness).endedRuns)
      .toMatchObject([{ how, removal: { evidence, phase: 'running' } }]);
    vitest
      .expect(harness.scheduler.getCounts().get(`removed.${evidence}`))
      .toBe(1);
  });

  vitest.it('is told after a timeout for the VM of an earlier owner', () => {
    const harness = harnesses.createHarness({ firstRun: 1_000 });
    const progress = JSON.stringify({
      occurrences: [
        { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
      ],
    });
    const startMs = harness.getNow();
    harness.scheduler.restoreJob(
      harnesses.createJob(),
      harnesses.createProgress(progress),
      0,
      startMs,
      0,
    );
    const { endedRuns } = harness.scheduler.tick(startMs + 16_001, 0);
    vitest.expect(endedRuns).toMatchObject([
      {
        run: 7,
        how: 'inherited-timeout',
        removal: { evidence: 'no-report', phase: 'inherited', heldMs: 16_001 },
      },
    ]);
  });

  vitest.it('is told when its start is refused', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('job', [harnesses.createStep()]);
    sendStart(harness);
    applyStart(harness, 'unreachable');
    vitest.expect(tick(harness).endedRuns).toMatchObject([
      {
        how: 'unreachable',
        removal: { evidence: 'start-outcome', phase: 'sent' },
      },
    ]);
  });

  vitest.it("isn't told when its start was never sent", () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('job', [harnesses.createStep()]);
    harness.scheduler.tick(harness.getNow(), harness.getNow());
    harness.scheduler.loseVm('a', harness.getNow());
    vitest.expect(tick(harness).endedRuns).toEqual([]);
  });

  vitest.it("isn't told when its end is reported", () => {
    const harness = startTask();
    harness.endRun('a', 1, 'done');
    harness.report('a');
    vitest.expect(tick(harness).endedRuns).toEqual([]);
  });
});

vitest.describe('the end of a run whose task has run again', () => {
  vitest.it(
    'is told with the removal of the run and with the run that the tables hold',
    () => {
      const harness = startTwice(reportWithout);
      harness.endRun('a', 1, 'done');
      harness.report('a');
      vitest.expect(tick(harness).lateEnds).toMatchObject([
        {
          task: key,
          run: 1,
          vm: 'a',
          how: 'done',
          taskState: 'active',
          latestRun: 2,
          held: { run: 2, vm: 'b', phase: 'running' },
          removal: { evidence: 'whole-report' },
          removalAgeMs: 1,
        },
      ]);
      vitest
        .expect(harness.scheduler.getCounts().get('ended-elsewhere.done'))
        .toBe(1);
      vitest.expect(tick(harness).lateEnds).toEqual([]);
    },
  );

  vitest.it('is told when the task is done', () => {
    const harness = startTwice((harness) => {
      harness.scheduler.loseVm('a', harness.getNow(), 'terminated');
    });
    harness.endRun('b', 2, 'done');
    harness.report('b');
    tick(harness);
    harness.endRun('a', 1, 'done');
    harness.report('a');
    vitest.expect(tick(harness).lateEnds).toMatchObject([
      {
        run: 1,
        taskState: 'done',
        latestRun: 2,
        held: undefined,
        removal: { evidence: 'terminated' },
      },
    ]);
  });

  vitest.it(
    'is told when the job is over (guards against a second run that is shorter than the silence of the first one)',
    () => {
      const harness = startTwice(reportWithout);
      harness.endRun('b', 2, 'done');
      harness.report('b');
      harness.settle();
      harness.settle();
      vitest.expect(harness.scheduler.hasJob('job')).toBe(false);
      harness.endRun('a', 1, 'done');
      harness.report('a');
      vitest
        .expect(tick(harness).lateEnds)
        .toMatchObject([{ run: 1, taskState: 'done', latestRun: 2 }]);
    },
  );

  vitest.it("isn't told after a cancelled job whose task ran once", () => {
    const harness = startTask();
    reportWithout(harness);
    harness.scheduler.cancelJob('job', harness.getNow());
    harness.settle();
    vitest.expect(harness.scheduler.hasJob('job')).toBe(false);
    harness.endRun('a', 1, 'stopped');
    harness.report('a');
    vitest.expect(tick(harness).lateEnds).toEqual([]);
  });

  vitest.it(
    'is told without the removal after a minute (guards against memory that grows with every lost run)',
    () => {
      const harness = startTwice(reportWithout);
      harness.scheduler.tick(harness.getNow() + 60_000, 0);
      harness.endRun('a', 1, 'done');
      harness.report('a');
      vitest
        .expect(tick(harness).lateEnds)
        .toMatchObject([{ run: 1, removal: undefined }]);
    },
  );

  vitest.it("isn't told when the run lapsed as its removal assumed", () => {
    const harness = startTwice((harness) => {
      harness.scheduler.loseVm('a', harness.getNow());
    });
    harness.endRun('a', 1, 'lapsed');
    harness.report('a');
    vitest.expect(tick(harness).lateEnds).toEqual([]);
  });

  vitest.it("isn't told when the task hasn't been started again", () => {
    const harness = startTask();
    reportWithout(harness);
    // The next start is decided, but its record isn't durable yet.
    harness.addVm('b');
    tick(harness);
    harness.endRun('a', 1, 'done');
    harness.report('a');
    vitest.expect(tick(harness).lateEnds).toEqual([]);
  });

  vitest.it("isn't told of a run that ends in the tables", () => {
    const harness = startTask();
    harness.endRun('a', 1, 'failed');
    harness.advance(100);
    vitest.expect(harness.listRuns()).toMatchObject([{ run: 2 }]);
    harness.endRun('a', 2, 'done');
    harness.report('a');
    vitest.expect(tick(harness).lateEnds).toEqual([]);
  });
});
