/** The lines and gauges about owed tasks and about jobs that the scheduler doesn't know. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import type * as jobStores from '../src/jobStore.js';
import * as owedReporters from '../src/owedReporter.js';
import * as fakes from './fakes.js';

function createSetup() {
  const context = fakes.createFakeContext();
  const gauges = new Map<string, number>();
  const setup = {
    owed: [] as core.workloads.OwedTask[],
    jobs: [] as jobStores.StoredJob[],
    knownJobs: new Set<string>(),
  };
  const reporter = owedReporters.createOwedReporter(
    {
      ...context,
      metrics: {
        ...context.metrics,
        set: (name, labels, value) => {
          gauges.set([name, ...Object.values(labels)].join(' '), value);
        },
      },
    },
    {
      fence: 7,
      findOwed: () => setup.owed,
      listJobs: () => setup.jobs,
      hasJob: (id) => setup.knownJobs.has(id),
    },
  );
  const listEvents = (event: string) =>
    context.lines.filter((line) => line.event === event);
  return {
    setup,
    reporter,
    gauges,
    listEvents,
    timers: context.fakeTimers,
    nowMs: context.timers.getNow(),
  };
}

function createOwed(
  job: string,
  sinceMs: number,
  cause: core.workloads.OwedCause = {
    why: 'vm-silent',
    run: { run: 3, vm: 'vm-1', phase: 'running' },
    silentSinceMs: sinceMs,
  },
): core.workloads.OwedTask {
  return {
    task: { job, occurrence: 0, step: 0, index: 0 },
    queue: 'queue',
    lasts: true,
    gang: false,
    sinceMs,
    cause,
  };
}

function createStoredJob(
  id: string,
  given: Partial<jobStores.StoredJob> = {},
): jobStores.StoredJob {
  return {
    id,
    job: {
      id,
      queue: 'queue',
      payload: '',
      steps: [],
      schedule: undefined,
      configVersion: 1,
      acceptedAtMs: 0,
      policy: fakes.queuePolicy,
    },
    cancelled: false,
    final: undefined,
    endedMs: undefined,
    ...given,
  };
}

vitest.describe('the lines about owed tasks', () => {
  vitest.it(
    'say what a task waits for and since when (guards against a service task that does not run and leaves no line)',
    async () => {
      const { setup, reporter, listEvents, gauges, timers, nowMs } =
        createSetup();
      setup.owed = [createOwed('job', nowMs - 4_000)];
      await fakes.advance(timers, 1_500);
      vitest.expect(listEvents('task.owed')).toEqual([]);
      reporter.start();
      await fakes.advance(timers, 1_000);
      vitest
        .expect(listEvents('task.owed').map(({ fields }) => fields))
        .toEqual([
          {
            task: 'job.0.0.0',
            fence: 7,
            why: 'vm-silent',
            sinceMs: 6_500,
            lasts: true,
            run: 3,
            vm: 'vm-1',
            phase: 'running',
            silentMs: 6_500,
          },
        ]);
      vitest.expect(gauges.get('tasks_owed vm-silent')).toBe(1);
      vitest.expect(gauges.get('tasks_owed_oldest_service_ms')).toBe(6_500);
      setup.owed = [];
      await fakes.advance(timers, 1_000);
      vitest.expect(gauges.get('tasks_owed vm-silent')).toBe(0);
      vitest.expect(gauges.get('tasks_owed_oldest_service_ms')).toBe(0);
      reporter.close();
    },
  );

  vitest.it('repeat only after 5 s or with another cause', async () => {
    const { setup, reporter, listEvents, timers, nowMs } = createSetup();
    reporter.start();
    setup.owed = [createOwed('job', nowMs)];
    await fakes.advance(timers, 5_000);
    vitest.expect(listEvents('task.owed')).toHaveLength(1);
    await fakes.advance(timers, 1_000);
    vitest.expect(listEvents('task.owed')).toHaveLength(2);
    setup.owed = [
      createOwed('job', nowMs, { why: 'stray-run', vms: ['vm-1', 'vm-2'] }),
    ];
    await fakes.advance(timers, 1_000);
    vitest
      .expect(listEvents('task.owed').at(-1)?.fields)
      .toMatchObject({ why: 'stray-run', vms: 'vm-1+vm-2' });
    reporter.close();
    await fakes.advance(timers, 10_000);
    vitest.expect(listEvents('task.owed')).toHaveLength(3);
  });

  vitest.it(
    'are bounded in each round, and one line counts the rest (guards against an overload that floods the log)',
    async () => {
      const { setup, reporter, listEvents, timers, nowMs } = createSetup();
      reporter.start();
      setup.owed = Array.from({ length: 1_000 }, (_, index) =>
        createOwed(`job-${index}`, nowMs),
      );
      await fakes.advance(timers, 1_000);
      vitest.expect(listEvents('task.owed')).toHaveLength(10);
      vitest
        .expect(listEvents('task.owed-more'))
        .toMatchObject([
          { fields: { owed: 1_000, skipped: 990, 'vm-silent': 1_000 } },
        ]);
      await fakes.advance(timers, 2_000);
      vitest.expect(listEvents('task.owed')).toHaveLength(30);
      vitest.expect(listEvents('task.owed-more')).toHaveLength(1);
      reporter.close();
    },
  );
});

vitest.describe('the comparison of the job store with the scheduler', () => {
  vitest.it(
    'finds accepted jobs that the scheduler does not know (guards against an accepted job that is forgotten silently)',
    async () => {
      const { setup, reporter, listEvents, gauges, timers } = createSetup();
      reporter.start();
      setup.knownJobs.add('known');
      setup.jobs = [
        createStoredJob('known'),
        createStoredJob('forgotten'),
        createStoredJob('cancelled', { cancelled: true }),
        createStoredJob('completed', { final: 'completed' }),
        createStoredJob('dropped', { job: undefined }),
      ];
      await fakes.advance(timers, 3_000);
      vitest
        .expect(listEvents('job.missing'))
        .toMatchObject([
          { fields: { job: 'forgotten', fence: 7, queue: 'queue' } },
        ]);
      vitest.expect(gauges.get('jobs_missing')).toBe(1);
      reporter.close();
    },
  );
});

vitest.describe('the lines about ended runs', () => {
  vitest.it('say how the run of a service task ended', () => {
    const { reporter, listEvents } = createSetup();
    const task = { job: 'job', occurrence: 0, step: 0, index: 2 };
    reporter.logEnds([
      {
        task,
        run: 3,
        vm: 'vm-1',
        how: 'lost',
        lasts: true,
        removal: undefined,
      },
    ]);
    vitest.expect(listEvents('task.ended')).toEqual([
      {
        event: 'task.ended',
        fields: {
          task: 'job.0.0.2',
          run: 3,
          vm: 'vm-1',
          fence: 7,
          how: 'lost',
        },
      },
    ]);
  });

  const task = { job: 'job', occurrence: 0, step: 0, index: 2 };
  const removal: core.workloads.Removal = {
    run: 3,
    how: 'not-reported',
    evidence: 'whole-report',
    reportAgeMs: 4,
    removedMs: 1_000,
    phase: 'running',
    incarnation: 1,
    heldMs: 900,
    listedAgeMs: 250.4,
    confirmedAgeMs: 880,
  };

  vitest.it(
    'say what shows that a run without a reported end is over (guards against a second run whose cause no line tells)',
    () => {
      const { reporter, listEvents } = createSetup();
      const ended = { task, run: 3, vm: 'vm-1', lasts: false };
      reporter.logEnds([{ ...ended, how: 'not-reported', removal }]);
      vitest.expect(listEvents('task.ended')).toEqual([]);
      vitest.expect(listEvents('run.removed')).toEqual([
        {
          event: 'run.removed',
          fields: {
            task: 'job.0.0.2',
            run: 3,
            vm: 'vm-1',
            fence: 7,
            how: 'not-reported',
            evidence: 'whole-report',
            phase: 'running',
            incarnation: 1,
            heldMs: 900,
            listedAgeMs: 250,
            confirmedAgeMs: 880,
            reportAgeMs: 4,
          },
        },
      ]);
    },
  );

  vitest.it(
    "leave out a refused start, unless it was being stopped (guards against two lines for each start of a VM that can't be reached)",
    () => {
      const { reporter, listEvents } = createSetup();
      const ended = { task, run: 3, vm: 'vm-1', lasts: false } as const;
      for (const phase of ['sent', 'stopping'] as const)
        reporter.logEnds([
          {
            ...ended,
            how: 'unreachable',
            removal: {
              ...removal,
              how: 'unreachable',
              evidence: 'start-outcome',
              phase,
            },
          },
        ]);
      vitest
        .expect(listEvents('run.removed'))
        .toMatchObject([{ fields: { how: 'unreachable', phase: 'stopping' } }]);
    },
  );

  vitest.it(
    'name the run that the tables hold when another one of its task has ended, at most 50 in a round',
    async () => {
      const { reporter, listEvents, timers } = createSetup();
      const lateEnd: core.workloads.LateEnd = {
        task,
        run: 3,
        vm: 'vm-1',
        how: 'done',
        taskState: 'active',
        latestRun: 4,
        held: { run: 4, vm: 'vm-2', phase: 'running' },
        removal,
        removalAgeMs: 800,
      };
      reporter.start();
      reporter.logLateEnds([lateEnd]);
      vitest
        .expect(listEvents('run.ended-elsewhere').map(({ fields }) => fields))
        .toEqual([
          {
            task: 'job.0.0.2',
            run: 3,
            vm: 'vm-1',
            fence: 7,
            how: 'done',
            removed: 'not-reported',
            evidence: 'whole-report',
            removedAgeMs: 800,
            taskState: 'active',
            latestRun: 4,
            heldRun: 4,
            heldVm: 'vm-2',
            heldPhase: 'running',
          },
        ]);
      reporter.logLateEnds(Array.from({ length: 200 }, () => lateEnd));
      vitest.expect(listEvents('run.ended-elsewhere')).toHaveLength(50);
      await fakes.advance(timers, 1_000);
      reporter.logLateEnds([lateEnd]);
      vitest.expect(listEvents('run.ended-elsewhere')).toHaveLength(51);
      reporter.close();
    },
  );
});
