/** How far the owner's orders extend the leases of VMs, and when the end of a silent VM's runs is known. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as jobStores from '../src/jobStore.js';
import * as owners from '../src/owner.js';
import type * as fleets from '../src/fleet.js';
import type * as ports from '../src/ports.js';
import * as records from '../src/records.js';
import * as fakes from './fakes.js';

const LEASE_MS = 10_000;
/** Time after its last run within which the scheduler must be able to start a service task again, in ms. */
const MISSING_LIMIT_MS = 6_000;

function buildJob(id: string, acceptedAtMs: number): core.workloads.Job {
  return {
    id,
    queue: 'queue',
    payload: '',
    steps: [
      {
        count: 1,
        size: { cores: 1, memoryMb: 1, gpus: 0 },
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

/** Creates an owner of one VM that ends its runs when its lease expires, and records the orders. */
function createSetup() {
  const base = fakes.createFakeContext();
  const { timers } = base;
  const granted: { readonly by: 'hold' | 'start'; readonly untilMs: number }[] =
    [];
  const vm = {
    silent: false,
    entry: fakes.buildVmEntry('vm', { draining: false }) as
      core.workloads.VmEntry | undefined,
  };
  const running: core.workloads.ReportedRun[] = [];
  const vmCalls: ports.VmCalls = {
    ...base.ports.vmCalls,
    async hold(_, { untilMs, waitMs }, timeoutMs) {
      if (untilMs !== undefined) granted.push({ by: 'hold', untilMs });
      const wasSilent = vm.silent;
      await core.waitFor(
        timers,
        'test.hold',
        wasSilent ? timeoutMs : Math.max(1, waitMs),
      );
      if (wasSilent || vm.silent)
        return { outcome: 'failed', why: 'no answer' };
      return {
        outcome: 'held',
        clockMs: timers.getNow(),
        report: { incarnation: 1, running: [...running], ended: [] },
      };
    },
    async start(_, { task, run, untilMs }, timeoutMs) {
      granted.push({ by: 'start', untilMs });
      if (vm.silent) {
        await core.waitFor(timers, 'test.start', timeoutMs);
        return 'unknown';
      }
      running.push({ task, run, saved: '', percent: 100, load: 0 });
      return 'started';
    },
    stop: () => Promise.resolve('unknown'),
    drop: () => undefined,
  };
  const context = {
    ...base,
    settings: { ...base.settings, leaseMs: LEASE_MS },
    ports: { ...base.ports, vmCalls },
  };
  let observer: fleets.FleetObserver | undefined;
  const jobs = jobStores.createJobStore(context);
  const owner = owners.createOwner(context, {
    ...fakes.ownerDependencies,
    fence: 7,
    previous: fakes.createPreviousOwner(
      { inactive: true },
      context.timers.getNow(),
    ),
    jobs,
    fleet: {
      refresh: () => Promise.resolve(true),
      list: () => (vm.entry === undefined ? [] : [vm.entry]),
      find: () => vm.entry,
      setObserver: (next) => {
        observer = next;
      },
      close: () => undefined,
    },
  });
  return {
    granted,
    vm,
    timers: base.fakeTimers,
    lines: base.lines,
    submit: (id: string) => {
      const { key, value } = records.buildAccepted(
        buildJob(id, timers.getDate()),
      );
      base.store.streams.jobs.add(key, value);
    },
    setEntry: (entry: core.workloads.VmEntry | undefined) => {
      vm.entry = entry;
      observer?.('vm', entry);
    },
    close: () => {
      owner.close();
      jobs.close();
    },
  };
}

type Setup = ReturnType<typeof createSetup>;

/** Advances until the owner knows that the runs of the VM are over; returns how long that took. */
async function measureLoss({ timers, lines }: Setup): Promise<number> {
  const sinceMs = timers.getNow();
  while (!lines.some(({ event }) => event === 'vm.lost'))
    await fakes.advance(timers, 10);
  return timers.getNow() - sinceMs;
}

vitest.describe('the lease of a VM', () => {
  vitest.it(
    'is not extended by starts (guards against LOST: starts to a VM that has gone silent unnoticed postpone the end of its runs)',
    async () => {
      const setup = createSetup();
      const { granted, vm, timers, submit, close } = setup;
      submit('1111111111111111');
      await fakes.advance(timers, 3_000);
      vm.silent = true;
      for (const id of ['2', '3', '4', '5']) {
        submit(id.repeat(16));
        await fakes.advance(timers, 400);
      }
      await measureLoss(setup);
      vitest
        .expect(granted.filter(({ by }) => by === 'start').length)
        .toBeGreaterThan(1);
      let heldUntilMs = -Infinity;
      for (const { by, untilMs } of granted)
        if (by === 'hold') heldUntilMs = Math.max(heldUntilMs, untilMs);
        else vitest.expect(untilMs).toBeLessThanOrEqual(heldUntilMs);
      close();
    },
  );

  vitest.it(
    'is short while the VM drains (guards against LOST: the task of a VM that left as planned is missing for a whole lease)',
    async () => {
      const setup = createSetup();
      const { vm, timers, submit, setEntry, close } = setup;
      submit('1111111111111111');
      await fakes.advance(timers, 3_000);
      setEntry(fakes.buildVmEntry('vm', { draining: true }));
      // A VM that is told to leave goes on for 4 s and longer.
      await fakes.advance(timers, 8_000);
      vm.silent = true;
      setEntry(undefined);
      vitest.expect(await measureLoss(setup)).toBeLessThan(MISSING_LIMIT_MS);
      close();
    },
  );

  vitest.it(
    'counts as granted before the drain was known (guards against a second run beside one on a VM that is only disconnected)',
    async () => {
      const setup = createSetup();
      const { granted, vm, timers, submit, setEntry, close } = setup;
      submit('1111111111111111');
      await fakes.advance(timers, 3_000);
      const leftMs =
        Math.max(...granted.map(({ untilMs }) => untilMs)) - timers.getNow();
      vm.silent = true;
      setEntry(fakes.buildVmEntry('vm', { draining: true }));
      vitest.expect(await measureLoss(setup)).toBeGreaterThan(leftMs);
      close();
    },
  );

  vitest.it(
    'lasts on a draining VM while two answers in a row are lost (guards against runs that end before they could be moved)',
    async () => {
      const setup = createSetup();
      const { granted, vm, timers, submit, setEntry, close } = setup;
      submit('1111111111111111');
      setEntry(fakes.buildVmEntry('vm', { draining: true }));
      await fakes.advance(timers, 3_000);
      vm.silent = true;
      await fakes.advance(timers, 2_500);
      vm.silent = false;
      await fakes.advance(timers, 1_000);
      const ends = granted.map(({ untilMs }) => untilMs);
      vitest.expect(ends.at(-2)).toBeGreaterThan(ends.at(-1)! - 4_000);
      close();
    },
  );

  vitest.it('is whole again when a VM no longer drains', async () => {
    const setup = createSetup();
    const { granted, timers, setEntry, close } = setup;
    setEntry(fakes.buildVmEntry('vm', { draining: true }));
    await fakes.advance(timers, 3_000);
    setEntry(fakes.buildVmEntry('vm', { draining: false }));
    await fakes.advance(timers, 3_000);
    vitest
      .expect(granted.at(-1)!.untilMs)
      .toBeGreaterThan(timers.getNow() + LEASE_MS - 2_000);
    close();
  });
});
