/** Service guarantees that limits and shares of workspaces must not break. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as advice from '../../src/workloads/advice.js';
import * as ranking from '../../src/workloads/ranking.js';
import * as harnesses from './harness.js';

const UNLIMITED = { cores: Infinity, memoryMb: Infinity, gpus: Infinity };

function createWorkspaces(
  cores: number,
): ReadonlyMap<string, core.workloads.WorkspacePolicy> {
  const limit = { ...UNLIMITED, cores };
  return new Map([['small', { name: 'small', weight: 1, priority: 0, limit }]]);
}

function addJob(
  harness: harnesses.Harness,
  id: string,
  step: Partial<core.workloads.StepSpec>,
  policy: Partial<core.workloads.QueuePolicy> = {},
): void {
  harness.addJob(
    id,
    [harnesses.createStep(step)],
    harnesses.createPolicy(policy),
    undefined,
    'small',
  );
}

/** Advances the clock by a number of seconds and returns the jobs with runs. */
function listJobsAfter(
  harness: harnesses.Harness,
  seconds: number,
): readonly string[] {
  for (let round = 0; round < seconds * 10; round += 1) harness.advance(100);
  return harness.listRuns().map(({ task }) => task.split('.')[0] ?? '');
}

vitest.describe('capacity under a limit that is reserved for a gang', () => {
  vitest.it(
    'is open to an overdue service task (guards against a service that stays down beside idle VMs until the gang has started)',
    () => {
      const harness = harnesses.createHarness();
      harness.scheduler.setWorkspaces(createWorkspaces(10));
      for (const id of ['a', 'b', 'c']) harness.addVm(id);
      addJob(harness, 'long', {
        size: { cores: 4, memoryMb: 100, gpus: 0 },
        estimateMs: 29_000,
      });
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 7 }, { slackMs: 60_000 });
      addJob(harness, 'service', { lasts: true }, { priority: 2 });
      vitest.expect(listJobsAfter(harness, 4)).toContain('service');
    },
  );

  vitest.it(
    'is not reserved where tasks of others keep the VMs for long (guards against a workspace that waits beside an idle pool)',
    () => {
      const harness = harnesses.createHarness();
      harness.scheduler.setWorkspaces(createWorkspaces(10));
      harness.addVm('full');
      harness.addVm('idle', { pool: 'other' });
      harness.addJob('hour', [
        harnesses.createStep({
          size: { cores: 8, memoryMb: 100, gpus: 0 },
          estimateMs: 3_600_000,
        }),
      ]);
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 8 }, { slackMs: 60_000 });
      harness.advance(20);
      addJob(
        harness,
        'task',
        { size: { cores: 3, memoryMb: 100, gpus: 0 }, estimateMs: 60_000 },
        { pool: 'other' },
      );
      vitest.expect(listJobsAfter(harness, 3)).toContain('task');
    },
  );

  vitest.it(
    'is open to tasks that end before the VMs of the gang are ready (guards against a workspace that waits beside an idle pool)',
    () => {
      const harness = harnesses.createHarness();
      harness.scheduler.setWorkspaces(createWorkspaces(10));
      harness.addVm('full');
      harness.addVm('idle', { pool: 'other' });
      harness.addJob('other', [
        harnesses.createStep({
          size: { cores: 8, memoryMb: 100, gpus: 0 },
          estimateMs: 29_000,
        }),
      ]);
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 8 }, { slackMs: 60_000 });
      harness.advance(20);
      addJob(
        harness,
        'task',
        { size: { cores: 3, memoryMb: 100, gpus: 0 }, estimateMs: 5_000 },
        { pool: 'other', slackMs: 60_000 },
      );
      vitest.expect(listJobsAfter(harness, 0.5)).toContain('task');
    },
  );
});

vitest.describe(
  'an overdue job that waits for the limit of its workspace',
  () => {
    vitest.it(
      'leaves the promotion of its pool to one that can start (guards against a late job that starves behind a gang without room under its limit)',
      () => {
        const { state, scheduler } = harnesses.createOpenScheduler(1_000);
        scheduler.setWorkspaces(createWorkspaces(4));
        const addGang = (id: string, workspace: string | undefined): void => {
          scheduler.acceptJob(
            harnesses.createJob({
              id,
              steps: [harnesses.createStep({ gang: true, count: 3 })],
              ...(workspace === undefined ? {} : { workspace }),
            }),
            0,
            1_000,
            1_000,
          );
        };
        addGang('blocked', 'small');
        addGang('free', undefined);
        state.workspaceAccounts.get('small')!.used.cores = 2;
        const ranked = ranking.rankOverdue(
          state,
          [...state.jobs.values()].map((job) =>
            ranking.rankStep(
              state.runTimes,
              job.occurrences[0]!.steps[0]!,
              4_500,
            ),
          ),
          4_500,
        );
        const promoted = ranked
          .filter(({ rank }) => rank === 1)
          .map(({ step }) => step.occurrence.job.job.id);
        vitest.expect(promoted).toEqual(['blocked', 'free']);
      },
    );
  },
);

vitest.describe('a service of an excess job', () => {
  vitest.it(
    'asks for advice like any service (guards against one that waits for the slots of excess jobs once its VM is silent)',
    () => {
      const { state, scheduler } = harnesses.createOpenScheduler(1_000);
      scheduler.acceptJob(
        harnesses.createJob({ steps: [harnesses.createStep({ lasts: true })] }),
        0,
        1_000,
        1_000,
      );
      const job = state.jobs.get('job')!;
      job.excess = true;
      job.yields = true;
      const step = job.occurrences[0]!.steps[0]!;
      vitest
        .expect(advice.chooseSlotUse(step, 1_500, 1))
        .toBe('overdue-service');
    },
  );
});

vitest.describe('a service of a workspace above its share', () => {
  vitest.it(
    'runs again under a steady load of others in a full pool (guards against a service that starves because it is never promoted)',
    () => {
      const size = { cores: 8, memoryMb: 100, gpus: 0 };
      const harness = harnesses.createHarness();
      harness.scheduler.setWorkspaces(
        new Map(
          ['small', 'other'].map((name) => [
            name,
            { name, weight: 100, priority: 0, limit: UNLIMITED },
          ]),
        ),
      );
      for (const id of ['a', 'b', 'c']) harness.addVm(id);
      addJob(harness, 'first', { size, lasts: true, count: 2 });
      harness.addJob('next', [harnesses.createStep({ size })]);
      harness.advance(20);
      addJob(harness, 'service', { size, lasts: true });
      for (let round = 0; round < 70; round += 1) {
        for (const { vm, run, task } of harness.listRuns())
          if (round % 5 === 0 && task.startsWith('next'))
            harness.endRun(vm, run, 'done');
        harness.addJob(
          `next${round}`,
          [harnesses.createStep({ size })],
          harnesses.createPolicy({ slackMs: 60_000 }),
          undefined,
          'other',
        );
        harness.advance(100);
      }
      vitest.expect(listJobsAfter(harness, 0)).toContain('service');
    },
  );
});

vitest.describe('an excess gang', () => {
  vitest.it(
    'starts in a full pool whose tasks take longer than the promotion of one task (guards against a gang that loses its VMs with each turn of another excess job)',
    () => {
      const step = harnesses.createStep({
        size: { cores: 8, memoryMb: 10, gpus: 0 },
        estimateMs: 24_000,
      });
      const harness = harnesses.createHarness();
      harness.scheduler.setWorkspaces(
        new Map(
          ['hot', 'other'].map((name) => [
            name,
            {
              name,
              weight: name === 'hot' ? 0 : 100,
              priority: 0,
              limit: UNLIMITED,
            },
          ]),
        ),
      );
      const add = (
        id: string,
        workspace: string,
        given: Partial<core.workloads.StepSpec> = {},
      ) =>
        harness.addJob(
          id,
          [{ ...step, ...given }],
          harnesses.createPolicy(),
          undefined,
          workspace,
        );
      // They take the tokens of the workspace.
      for (let index = 0; index < 10; index += 1) {
        add(`spent${index}`, 'hot');
        harness.scheduler.cancelJob(`spent${index}`, harness.getNow());
      }
      harness.settle();
      harness.addVm('a');
      add('next', 'other');
      harness.advance(10);
      // Two that no VM can run, so that the gang's turns end.
      for (const id of ['stuck0', 'stuck1']) add(id, 'hot', { label: 'none' });
      add('gang', 'hot', { gang: true, count: 2 });
      let hasStarted = false;
      for (let second = 0; second < 300 && !hasStarted; second += 1) {
        // The tasks of the two VMs end 12 s apart.
        if (second === 12) harness.addVm('b');
        if (second % 10 === 0) add(`next${second}`, 'other');
        for (const { vm, run } of harness.listRuns())
          if (second % 24 === (vm === 'a' ? 0 : 12))
            harness.endRun(vm, run, 'done');
        // Reservations last for 400 ms.
        for (let part = 0; part < 5; part += 1) harness.advance(200);
        hasStarted = harness
          .listRuns()
          .some(({ task }) => task.startsWith('gang'));
      }
      vitest.expect(hasStarted).toBe(true);
    },
  );
});
