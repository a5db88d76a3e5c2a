/** The owner with one VM: what its lines say about a service task that doesn't run, and what callers learn of its job. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as jobStores from '../src/jobStore.js';
import * as owners from '../src/owner.js';
import type * as ports from '../src/ports.js';
import * as records from '../src/records.js';
import * as fakes from './fakes.js';

const entry: core.workloads.VmEntry = {
  id: 'vm-1',
  address: 'vm-1:1',
  incarnation: 1,
  pool: 'pool',
  availabilityZone: 'zone',
  rack: undefined,
  labels: [],
  capacity: { cores: 4, memoryMb: 4_000, gpus: 0 },
  draining: false,
};

function createService(acceptedAtMs: number): core.workloads.Job {
  return {
    id: '27aa65599c0db4e2',
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
function createSetup(progress?: string) {
  const context = fakes.createFakeContext();
  const { timers } = context;
  const running = new Map<number, core.workloads.ReportedRun>();
  const vm = { silent: false };
  const vmCalls: ports.VmCalls = {
    ...context.ports.vmCalls,
    async hold(_, { waitMs }, timeoutMs) {
      await core.waitFor(
        timers,
        'test.hold',
        vm.silent ? timeoutMs : Math.max(1, waitMs),
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
    drop: () => undefined,
  };
  const ownerContext = { ...context, ports: { ...context.ports, vmCalls } };
  const job = createService(timers.getDate());
  const { key, value } = records.buildAccepted(job);
  context.store.streams.jobs.add(key, value);
  if (progress !== undefined)
    context.store.streams.progress.add(job.id, progress);
  const owner = owners.createOwner(ownerContext, {
    fence: 7,
    previous: fakes.createPreviousOwner({}, ownerContext.timers.getNow()),
    unconfirmedLimitMs: 10_000,
    jobs: jobStores.createJobStore(ownerContext),
    fleet: {
      refresh: () => Promise.resolve(true),
      list: () => [entry],
      find: () => entry,
      setObserver: () => undefined,
      close: () => undefined,
    },
    adviceRouter: {
      ask: () => Promise.resolve(undefined),
      listHelpers: () => [],
    },
    getPolicies: () => ({ version: 1, policies: new Map() }),
    getConfirmedAge: () => 0,
    onAppendFailed: () => undefined,
    onFenced: () => undefined,
  });
  const listEvents = (event: string) =>
    context.lines.filter((line) => line.event === event);
  return { owner, vm, job, running, listEvents, timers: context.fakeTimers };
}

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
      vitest.expect(await owner.getJobState(job.id)).toBeUndefined();
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
