/** The owner with its sessions: how tasks of VMs that are gone run again. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as fleets from '../src/fleet.js';
import * as jobStores from '../src/jobStore.js';
import * as owners from '../src/owner.js';
import type * as ports from '../src/ports.js';
import * as records from '../src/records.js';
import * as fakes from './fakes.js';

/** Longest time that a lasting task may be missing after its last run has ended, in ms. */
const MISSING_LIMIT_MS = 9_000;

const job: core.workloads.Job = {
  id: 'job',
  queue: 'queue',
  payload: 'work',
  steps: [
    {
      count: 1,
      size: { cores: 1, memoryMb: 1, gpus: 0 },
      estimateMs: 500,
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
  acceptedAtMs: 0,
  policy: fakes.queuePolicy,
};

/** Longest time for which the previous owner may go on without a confirmed claim, in ms. */
const UNCONFIRMED_LIMIT_MS = 10_000;

/** Creates the owner of a cluster whose progress record places the job's task on VM `a`. */
function createSetup(
  answerOfA: 'refused' | 'no answer',
  previous: 'stopped' | 'unknown',
) {
  const context = fakes.createFakeContext();
  const { timers, store } = context;
  const started: string[] = [];
  const running: core.workloads.ReportedRun[] = [];
  const { key, value } = records.buildAccepted(job);
  store.streams.jobs.add(key, value);
  store.streams.progress.add(
    'job',
    JSON.stringify({
      occurrences: [
        { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
      ],
    }),
  );
  const vmStream = fakes.createFakeStream(timers);
  for (const id of ['a', 'b'])
    vmStream.add(id, JSON.stringify(fakes.buildVmEntry(id)));
  const vmCalls: ports.VmCalls = {
    ...context.ports.vmCalls,
    async hold(vm, { waitMs }, timeoutMs) {
      if (vm.id === 'a' && answerOfA === 'no answer') {
        await core.waitFor(timers, 'test.hold', timeoutMs);
        return { outcome: 'failed', why: 'no answer' };
      }
      await core.waitFor(timers, 'test.hold', Math.max(1, waitMs));
      return vm.id === 'a'
        ? { outcome: 'refused', why: 'ECONNREFUSED' }
        : {
            outcome: 'held',
            clockMs: timers.getNow(),
            report: { incarnation: 1, running: [...running], ended: [] },
          };
    },
    start(vm, { task, run }) {
      started.push(vm.id);
      running.push({ task, run, saved: '', percent: 100, load: 0 });
      return Promise.resolve('started');
    },
    drop: () => undefined,
  };
  const nodeContext = {
    ...context,
    ports: {
      ...context.ports,
      vmCalls,
      vms: {
        ...vmStream,
        decode: (record: ports.KeyedRecord) => ({
          readable: true as const,
          value: JSON.parse(record.value ?? '') as core.workloads.VmEntry,
        }),
      },
    },
  };
  const jobs = jobStores.createJobStore(nodeContext);
  const fleet = fleets.createFleet(nodeContext);
  const owner = owners.createOwner(nodeContext, {
    ...fakes.ownerDependencies,
    fence: 9,
    previous: fakes.createPreviousOwner(
      { inactive: previous === 'stopped' },
      timers.getNow() + (previous === 'stopped' ? 0 : UNCONFIRMED_LIMIT_MS),
    ),
    jobs,
    fleet,
    getPolicies: () => ({
      version: 1,
      policies: new Map([['queue', fakes.queuePolicy]]),
    }),
  });
  return {
    started,
    timers: context.fakeTimers,
    close: () => {
      owner.close();
      fleet.close();
      jobs.close();
    },
  };
}

vitest.describe('a new owner', () => {
  vitest.it.each(['refused', 'no answer'] as const)(
    'runs the lasting task of a VM that is gone again in time, holds: %s (guards against LOST on nilewave-vod-grown: the task waits for the leases of two owners)',
    async (answer) => {
      const { started, timers, close } = createSetup(answer, 'stopped');
      await fakes.advance(timers, MISSING_LIMIT_MS);
      vitest.expect(started).toEqual(['b']);
      close();
    },
  );

  vitest.it.each(['refused', 'no answer'] as const)(
    'does not run the task of a VM again before its lease has expired, holds: %s (guards against TWICE: a second run beside one on a disconnected VM)',
    async (answer) => {
      const { started, timers, close } = createSetup(answer, 'unknown');
      await fakes.advance(timers, 16_000);
      vitest.expect(started).toEqual([]);
      await fakes.advance(timers, 3_000);
      vitest.expect(started).toEqual(['b']);
      close();
    },
  );
});
