/** The owner with one VM: what its lines say about a service task that doesn't run, and what callers learn of its job. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import type * as claims from '../src/claims.js';
import * as jobStores from '../src/jobStore.js';
import * as owners from '../src/owner.js';
import type * as ports from '../src/ports.js';
import * as records from '../src/records.js';
import * as fakes from './fakes.js';

const entry = fakes.buildVmEntry('vm-1');

const JOB_ID = '27aa65599c0db4e2';

function createService(
  id: core.ids.JobId,
  acceptedAtMs: number,
): core.workloads.Job {
  return {
    id,
    queue: 'queue',
    payload: '',
    steps: [
      {
        count: 1,
        size: { cores: 1, memoryMb: 100, gpus: 0 },
        estimateMs: 1_000,
        after: [],
        savesProgress: false,
        gang: false,
        oneRack: false,
        label: undefined,
        dataRack: undefined,
        maxPerVm: undefined,
        allowsCopies: false,
        lasts: true,
        image: undefined,
        targetMs: undefined,
        fills: false,
        mayMiss: undefined,
      },
    ],
    schedule: undefined,
    configVersion: 1,
    acceptedAtMs,
    policy: fakes.queuePolicy,
  };
}

/** Creates an owner of a cluster with one VM, which runs a service task; `progress` is the task's record. */
function createSetup(
  progress?: string,
  previous: Partial<claims.PreviousOwner> = {},
  workspace?: core.workloads.WorkspaceName,
) {
  const context = fakes.createFakeContext();
  const { timers } = context;
  const running = new Map<number, core.workloads.ReportedRun>();
  const vm = { silent: false, answerMs: 1 };
  const claim = { confirmedMs: undefined as number | undefined };
  const fenced = vitest.vi.fn();
  const failed = vitest.vi.fn();
  const policies = {
    failure: undefined as Error | undefined,
    version: 1,
    workspaces: undefined as
      ReadonlyMap<string, core.workloads.WorkspacePolicy> | undefined,
  };
  const vmCalls: ports.VmCalls = {
    ...context.ports.vmCalls,
    async hold(_, { waitMs }, timeoutMs) {
      await core.waitFor(
        timers,
        'test.hold',
        vm.silent ? timeoutMs : Math.max(vm.answerMs, waitMs),
      );
      if (vm.silent) return { outcome: 'failed', why: 'no answer' };
      return {
        outcome: 'held',
        clockMs: timers.getNow(),
        report: { incarnation: 1, running: [...running.values()], ended: [] },
      };
    },
    start(_, { task, run }) {
      running.set(run, { task, run, saved: '', percent: 100, load: 0 });
      return Promise.resolve('started');
    },
    stop(_, { run }) {
      running.delete(run);
      return Promise.resolve('closed');
    },
    drop: () => undefined,
  };
  const ownerContext = { ...context, ports: { ...context.ports, vmCalls } };
  const job = {
    ...createService(JOB_ID, timers.getDate()),
    ...(workspace === undefined ? {} : { workspace }),
  };
  const { key, value } = records.buildAccepted(job);
  context.store.streams.jobs.add(key, value);
  if (progress !== undefined)
    context.store.streams.progress.add(job.id, progress);
  const getClaimAge = () =>
    timers.getNow() - (claim.confirmedMs ?? timers.getNow());
  const owner = owners.createOwner(ownerContext, {
    ...fakes.ownerDependencies,
    fence: 7,
    previous: fakes.createPreviousOwner(previous, ownerContext.timers.getNow()),
    jobs: jobStores.createJobStore(ownerContext),
    fleet: {
      refresh: () => Promise.resolve(true),
      list: () => [entry],
      find: () => entry,
      setObserver: () => undefined,
      close: () => undefined,
    },
    getPolicies() {
      if (policies.failure !== undefined) throw policies.failure;
      const { version, workspaces } = policies;
      return {
        version,
        policies: new Map(),
        ...(workspaces === undefined ? {} : { workspaces }),
      };
    },
    getConfirmedAge: getClaimAge,
    getLongestConfirmedAge: getClaimAge,
    onFenced: fenced,
    onFailed: failed,
  });
  const listEvents = (event: string) =>
    context.lines.filter((line) => line.event === event);
  return {
    owner,
    vm,
    job,
    running,
    claim,
    fenced,
    failed,
    policies,
    store: context.store,
    jobs: context.store.streams.jobs,
    listEvents,
    timers: context.fakeTimers,
  };
}

vitest.describe('an owner that has read no configuration', () => {
  vitest.it(
    'starts no job of a workspace (guards against restored jobs that run without a limit)',
    async () => {
      const { policies, running, timers } = createSetup(undefined, {}, 'small');
      policies.version = 0;
      await fakes.advance(timers, 3_000);
      vitest.expect(running.size).toBe(0);
      policies.version = 1;
      await fakes.advance(timers, 1_000);
      vitest.expect(running.size).toBe(1);
    },
  );

  vitest.it(
    'starts them with a configuration of version 0 (guards against accepted jobs that never start)',
    async () => {
      const { policies, running, timers } = createSetup(undefined, {}, 'small');
      policies.version = 0;
      policies.workspaces = new Map();
      await fakes.advance(timers, 1_000);
      vitest.expect(running.size).toBe(1);
    },
  );
});

vitest.describe('the counts of an owner', () => {
  vitest.it('are unknown until it has restored its tables', async () => {
    const { owner, timers } = createSetup();
    vitest.expect(owner.countWaiting()).toBeUndefined();
    await fakes.advance(timers, 1_000);
    vitest.expect(owner.countWaiting()).toMatchObject({ fence: 7 });
    owner.close();
    vitest.expect(owner.countWaiting()).toBeUndefined();
  });

  vitest.it(
    'are unknown once it has not read the accepted jobs for two seconds (guards against MIXED: an owner that was cut off or frozen counts too few jobs)',
    async () => {
      const { owner, jobs, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      jobs.failure = 'cut';
      await fakes.advance(timers, 1_000);
      vitest.expect(owner.countWaiting()?.ageMs).toBeGreaterThan(900);
      await fakes.advance(timers, 1_100);
      vitest.expect(owner.countWaiting()).toBeUndefined();
      jobs.failure = undefined;
      await fakes.advance(timers, 300);
      vitest.expect(owner.countWaiting()?.ageMs).toBeLessThan(300);
      timers.advance(3_000);
      vitest.expect(owner.countWaiting()).toBeUndefined();
      owner.close();
    },
  );

  vitest.it(
    'are unknown once its claim has not been confirmed for two seconds (guards against MIXED: counts of an owner that has been replaced)',
    async () => {
      const { owner, claim, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      claim.confirmedMs = timers.getNow();
      await fakes.advance(timers, 1_500);
      vitest.expect(owner.countWaiting()?.ageMs).toBe(1_500);
      await fakes.advance(timers, 500);
      vitest.expect(owner.countWaiting()).toBeUndefined();
      owner.close();
    },
  );
});

vitest.describe('the state of a job that an owner tells', () => {
  vitest.it(
    'is unknown while its tables are too old (guards against MIXED: the state of a job at an owner that has been replaced)',
    async () => {
      const { owner, claim, jobs, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      vitest.expect(await owner.getJobState(JOB_ID)).toBe('running');
      claim.confirmedMs = timers.getNow();
      await fakes.advance(timers, 2_000);
      vitest.expect(await owner.getJobState(JOB_ID)).toBeUndefined();
      claim.confirmedMs = undefined;
      vitest.expect(await owner.getJobState(JOB_ID)).toBe('running');
      jobs.failure = 'cut';
      await fakes.advance(timers, 2_100);
      vitest.expect(await owner.getJobState(JOB_ID)).toBeUndefined();
      owner.close();
    },
  );

  vitest.it(
    'is unresolved until the VMs have reported to a new owner, if its start may lack a record (guards against MIXED: a running job is shown as pending after a change of owner)',
    async () => {
      const { owner, vm, running, timers } = createSetup(undefined, {
        unrecorded: true,
      });
      vm.answerMs = 300;
      running.set(1, {
        task: { job: JOB_ID, occurrence: 0, step: 0, index: 0 },
        run: 1,
        saved: '',
        percent: 100,
        load: 0,
      });
      await fakes.advance(timers, 200);
      vitest.expect(await owner.getJobState(JOB_ID)).toBe('unresolved');
      vitest.expect(owner.countWaiting()?.unresolved).toEqual(['queue']);
      await fakes.advance(timers, 300);
      vitest.expect(await owner.getJobState(JOB_ID)).toBe('running');
      vitest.expect(owner.countWaiting()?.waiting).toEqual([]);
      vitest.expect(owner.countWaiting()?.unresolved).toEqual([]);
      owner.close();
    },
  );

  vitest.it(
    'is cancelled, and no task of it starts, if its cancellation was stored before its acceptance (guards against UNASKED: a job that runs after its DELETE was answered)',
    async () => {
      const { owner, job, running, jobs, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      const runs = running.size;
      const late = 'ca40000000000001';
      const cancelled = records.buildCancelled(late);
      jobs.add(cancelled.key, cancelled.value);
      await fakes.advance(timers, 500);
      vitest.expect(await owner.getJobState(late)).toBe('unknown');
      const accepted = records.buildAccepted({ ...job, id: late });
      jobs.add(accepted.key, accepted.value);
      await fakes.advance(timers, 1_000);
      vitest.expect(await owner.getJobState(late)).toBe('cancelled');
      vitest.expect(running.size).toBe(runs);
      owner.close();
    },
  );

  vitest.it(
    'of a workspace is told to that alone, and to no other however old the tables are (guards against an owner that tells the jobs of others)',
    async () => {
      const { owner, job, jobs, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      const id = 'a000000000000001';
      const ofA = { ...job, id, workspace: 'a', submitter: 'f' };
      const { key, value } = records.buildAccepted(ofA);
      jobs.add(key, value);
      await fakes.advance(timers, 1_000);
      const own = { workspace: 'a' };
      const other = { workspace: 'b', submitter: 'g' };
      const moved = { workspace: 'b', submitter: 'f' };
      for (const caller of [undefined, own, moved])
        vitest.expect(await owner.getJobState(id, caller)).toBe('running');
      vitest.expect(await owner.getJobState(id, other)).toBe('unknown');
      jobs.failure = 'cut';
      vitest.expect(await owner.getJobState(id, other)).toBeUndefined();
      vitest.expect(await owner.getJobState('other', other)).toBeUndefined();
      owner.close();
    },
  );

  vitest.it('does not depend on a VM that never reports', async () => {
    const { owner, vm, timers } = createSetup();
    vm.silent = true;
    await fakes.advance(timers, 2_000);
    vitest.expect(await owner.getJobState(JOB_ID)).toBe('pending');
    owner.close();
  });

  vitest.it(
    'is told however old the tables are once its end is stored, as is an unknown id after a complete read',
    async () => {
      const { owner, claim, jobs, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      const { key, value } = records.buildCancelled(JOB_ID);
      jobs.add(key, value);
      await fakes.advance(timers, 500);
      claim.confirmedMs = timers.getNow() - 5_000;
      vitest.expect(await owner.getJobState(JOB_ID)).toBe('cancelled');
      vitest.expect(await owner.getJobState('other')).toBe('unknown');
      jobs.failure = 'cut';
      vitest.expect(await owner.getJobState(JOB_ID)).toBe('cancelled');
      vitest.expect(await owner.getJobState('other')).toBeUndefined();
      owner.close();
    },
  );

  vitest.it(
    'is unknown when the owner loses ownership meanwhile (guards against MIXED: a job that the owner has not scheduled is shown as pending)',
    async () => {
      const { owner, jobs, timers } = createSetup();
      await fakes.advance(timers, 1_000);
      const { key, value } = records.buildAccepted(
        createService('other', timers.getDate()),
      );
      jobs.add(key, value);
      const state = owner.getJobState('other');
      owner.close();
      vitest.expect(await state).toBeUndefined();
    },
  );
});

vitest.describe('the dump of an owner', () => {
  vitest.it(
    'tells whether its tables are in force (guards against tables of a replaced owner, or incomplete ones, that pass for those of the cluster)',
    async () => {
      const { owner, claim, timers } = createSetup();
      vitest.expect(owner.dump()).toMatchObject({
        fence: 7,
        ready: false,
        recent: false,
        tables: undefined,
      });
      await fakes.advance(timers, 1_000);
      const { ready, recent, tables } = owner.dump();
      vitest.expect({ ready, recent }).toEqual({ ready: true, recent: true });
      vitest.expect(tables).toMatchObject({ jobs: [{ state: 'running' }] });
      claim.confirmedMs = timers.getNow() - 5_000;
      vitest
        .expect(owner.dump())
        .toMatchObject({ ready: true, recent: false, confirmedAgeMs: 5_000 });
      owner.close();
    },
  );
});

vitest.describe('the lines of an owner', () => {
  vitest.it(
    'explain a service task that does not run, from its id to its VM (guards against a silent VM whose task waits without a line)',
    async () => {
      const { owner, vm, listEvents, timers } = createSetup();
      await fakes.advance(timers, 3_000);
      vitest.expect(listEvents('task.start')).toHaveLength(1);
      vitest.expect(listEvents('task.owed')).toEqual([]);
      vm.silent = true;
      while (listEvents('vm.lost').length === 0)
        await fakes.advance(timers, 10);
      const task = '27aa65599c0db4e2.0.0.0';
      const run = listEvents('task.start')[0]?.fields.run;
      const silent = listEvents('task.owed');
      vitest.expect(silent.length).toBeGreaterThan(0);
      for (const { fields } of silent)
        vitest.expect(fields).toMatchObject({
          task,
          run,
          fence: 7,
          why: 'vm-silent',
          vm: 'vm-1',
          phase: 'running',
          sinceMs: fields.silentMs,
        });
      vitest.expect(silent[0]?.fields.silentMs).toBeLessThanOrEqual(4_000);
      await fakes.advance(timers, 1_200);
      vitest
        .expect(listEvents('task.ended').map(({ fields }) => fields))
        .toEqual([{ task, run, vm: 'vm-1', fence: 7, how: 'lost' }]);
      vitest.expect(listEvents('task.owed').at(-1)?.fields).toMatchObject({
        task,
        why: 'no-vm',
        poolVms: 1,
        silent: 1,
        eligible: 0,
      });
      vitest.expect(listEvents('job.missing')).toEqual([]);
      owner.close();
    },
  );
});

vitest.describe('the state of a job', () => {
  vitest.it(
    'is not told while the recorded VM has not answered a new owner (guards against a recorded start that counts as begun)',
    async () => {
      const { owner, vm, job, running, timers } = createSetup(
        JSON.stringify({
          occurrences: [
            { number: 0, steps: [{ done: '0', runs: [[0, 5, 'vm-1', 1]] }] },
          ],
        }),
      );
      vm.silent = true;
      await fakes.advance(timers, 500);
      vitest.expect(await owner.getJobState(job.id)).toBe('unresolved');
      vm.silent = false;
      running.set(5, {
        task: { job: job.id, occurrence: 0, step: 0, index: 0 },
        run: 5,
        saved: '',
        percent: 100,
        load: 0,
      });
      await fakes.advance(timers, 3_000);
      vitest.expect(await owner.getJobState(job.id)).toBe('running');
      vitest.expect([...running.keys()]).toEqual([5]);
      owner.close();
    },
  );
});

vitest.describe('an owner that has been closed', () => {
  vitest.it(
    'does not report a pending record as fenced (guards against an old owner that ends the next ownership of its node)',
    async () => {
      const { owner, store, fenced, listEvents, timers } = createSetup();
      store.intercept = (stream, appended) =>
        stream === 'progress' && appended.length > 0
          ? Promise.resolve({ outcome: 'refused', why: 'unavailable' })
          : undefined;
      await fakes.advance(timers, 1_000);
      vitest.expect(listEvents('record.retry')).not.toEqual([]);
      owner.close();
      await fakes.advance(timers, 1_000);
      vitest.expect(fenced).not.toHaveBeenCalled();
    },
  );
});

vitest.describe('an owner whose scheduling round fails', () => {
  vitest.it(
    'gives up with a line that names the cause (guards against one error in a round that ends the process)',
    async () => {
      const setup = createSetup();
      await fakes.advance(setup.timers, 500);
      vitest.expect(setup.failed).not.toHaveBeenCalled();
      setup.policies.failure = new Error('broken policy');
      await fakes.advance(setup.timers, 200);
      vitest.expect(setup.failed).toHaveBeenCalled();
      vitest
        .expect(JSON.stringify(setup.listEvents('owner.round-failed')[0]))
        .toContain('broken policy');
      setup.owner.close();
    },
  );

  vitest.it.each([
    'null',
    '{}',
    '7',
    '{"occurrences":[{"number":0,"steps":[{}]}]}',
  ])(
    'takes over although the stored progress of a job is %s (guards against one record on which each new owner fails)',
    async (progress) => {
      const setup = createSetup(progress);
      await fakes.advance(setup.timers, 1_000);
      vitest.expect(setup.fenced).not.toHaveBeenCalled();
      vitest.expect(setup.listEvents('owner.ready')).toHaveLength(1);
      vitest.expect(setup.owner.getCounts().get('progress.unreadable')).toBe(1);
      setup.owner.close();
    },
  );
});

vitest.describe('an owner at rest', () => {
  vitest.it(
    'runs no round for a report that changes nothing (guards against rounds that grow with the VMs at rest)',
    async () => {
      const setup = createSetup();
      await fakes.advance(setup.timers, 20_000);
      const countRounds = (): number =>
        Math.max(
          ...setup
            .listEvents('owner.load')
            .slice(1)
            .map(({ fields }) => Number(fields.rounds)),
        );
      // The idle tick alone runs 50 rounds in 5 s.
      vitest.expect(countRounds()).toBeLessThanOrEqual(51);
      vitest
        .expect(setup.listEvents('owner.load').at(-1)?.fields.reports)
        .toBeGreaterThan(2);
      setup.owner.close();
    },
  );
});
