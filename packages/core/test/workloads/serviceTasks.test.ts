/** Service tasks under load: one that isn't running starts again while a VM has room for it. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as harnesses from './harness.js';
import * as knownRed from '../../../standins/test/cell/knownRed.js';
import * as pools from './poolSimulation.js';

vitest.describe('a VM on which runs were preempted', () => {
  vitest.it(
    'is reserved only until the tasks have started for which they were preempted (guards against service tasks that wait beside unused room)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob(
        'batch',
        [
          harnesses.createStep({
            size: { cores: 8, memoryMb: 100, gpus: 0 },
            savesProgress: true,
            estimateMs: 20_000,
          }),
        ],
        harnesses.createPolicy({ priority: 2, stretch: 8 }),
      );
      harness.advance(10);
      harness.addJob(
        'urgent',
        [harnesses.createStep({ count: 2, maxPerVm: 1, estimateMs: 5_000 })],
        harnesses.createPolicy({ priority: 0 }),
      );
      harness.advance(10);
      harness.advance(10);
      // The second urgent task starts on another VM.
      harness.addVm('b', { capacity: { cores: 1, memoryMb: 8_000, gpus: 0 } });
      harness.addJob(
        'service',
        [
          harnesses.createStep({
            size: { cores: 4, memoryMb: 100, gpus: 0 },
            lasts: true,
          }),
        ],
        harnesses.createPolicy({ priority: 1 }),
      );
      harness.advance(10);
      harness.advance(10);
      vitest
        .expect(harness.listRuns().map(({ task }) => task))
        .toEqual(
          vitest.expect.arrayContaining([
            'urgent.0.0.0',
            'urgent.0.0.1',
            'service.0.0.0',
          ]),
        );
    },
  );
});

vitest.describe('a service whose tasks run on different VMs', () => {
  vitest.it(
    'is placed with one advice request (guards against service tasks that wait for one slow answer after another)',
    () => {
      const isApproved = (_: unknown, vm: string): boolean =>
        Number(vm.slice(2)) % 2 === 0;
      const harness = harnesses.createHarness({ isApproved });
      for (let index = 0; index < 80; index += 1) harness.addVm(`vm${index}`);
      harness.addJob(
        'service',
        [harnesses.createStep({ count: 30, maxPerVm: 1, lasts: true })],
        harnesses.createPolicy({
          advice: { fixedMs: 900, perVmMs: 13, validMs: 1_500 },
        }),
      );
      for (let round = 0; round < 5; round += 1) harness.advance(10);
      vitest.expect(harness.listRuns()).toHaveLength(30);
      vitest.expect(harness.listAdvisedSteps()).toHaveLength(1);
    },
  );

  vitest.it(
    'asks about VMs with much room first (guards against answers about VMs that are full by then)',
    () => {
      const harness = harnesses.createHarness({ ignoresAdvice: true });
      for (let index = 0; index < 40; index += 1)
        harness.addVm(`small${index}`, {
          capacity: { cores: 1, memoryMb: 8_000, gpus: 0 },
        });
      harness.addVm('large');
      harness.addJob(
        'service',
        [harnesses.createStep({ count: 4, lasts: true })],
        harnesses.createPolicy({
          advice: { fixedMs: 900, perVmMs: 13, validMs: 1_500 },
        }),
      );
      harness.advance(10);
      const [asked] = harness.commands;
      if (asked?.command !== 'advise')
        throw new Error('no advice request was sent');
      vitest.expect(asked.vms[0]).toBe('large');
    },
  );
});

vitest.describe('overdue service tasks', () => {
  vitest.it(
    'get advice in the order of their waits (guards against service tasks that wait behind each new failure in older jobs)',
    () => {
      const harness = harnesses.createHarness({ ignoresAdvice: true });
      const policy = harnesses.createPolicy({
        advice: { fixedMs: 900, perVmMs: 13, validMs: 1_500 },
      });
      const service = harnesses.createStep({ lasts: true });
      const answer = (job: string, tickets: core.workloads.Ticket[]): void => {
        harness.scheduler.applyAdvice(
          { job, occurrence: 0, step: 0 },
          ['vm'],
          tickets,
          harness.getNow(),
        );
        harness.settle();
      };
      harness.addVm('vm');
      harness.addJob('older', [service], policy);
      harness.settle();
      answer('older', [{ vm: 'vm', ticket: 'ticket' }]);
      const [run] = harness.listRuns();
      // This request keeps the only node busy.
      harness.addJob('refused', [service], policy);
      harness.settle();
      harness.addJob('newer', [service], policy);
      // The ticket of the older job has expired when its task fails.
      harness.advance(1_600);
      harness.endRun('vm', run!.run, 'failed');
      harness.advance(10);
      harness.advance(2_100);
      answer('refused', []);
      vitest
        .expect(harness.listAdvisedSteps().map(({ job }) => job))
        .toEqual(['older', 'refused', 'newer']);
    },
  );
});

vitest.describe(
  'a service task on a VM that is silent until it is lost',
  () => {
    const leaseMs = 10_000;

    function silenceVm(isListed: boolean): harnesses.Harness {
      const harness = harnesses.createHarness();
      const policy = harnesses.createPolicy({
        advice: { fixedMs: 900, perVmMs: 10, validMs: 2_000 },
      });
      harness.addVm('a');
      harness.addJob(
        'service',
        [harnesses.createStep({ lasts: true })],
        policy,
      );
      harness.advance(10);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
      harness.addVm('b');
      harness.vms.delete('a');
      harness.scheduler.suspendVm('a');
      if (!isListed)
        harness.scheduler.setVmEntry('a', undefined, harness.getNow());
      harness.scheduler.setSilentVms(
        new Map([['a', harness.getNow() + leaseMs]]),
      );
      return harness;
    }

    for (const isListed of [true, false])
      vitest.it(
        `starts elsewhere at once when the lease has ended and the VM is ${isListed ? 'listed' : 'unlisted'} (guards against service tasks that wait for advice after they have waited for the lease)`,
        () => {
          const harness = silenceVm(isListed);
          for (let round = 0; round < 80; round += 1) harness.advance(100);
          const before = harness.listAdvisedSteps().length;
          for (let round = 0; round < 20; round += 1) harness.advance(100);
          const after = harness.listAdvisedSteps().length;
          vitest.expect(after).toBe(before + 1);
          harness.scheduler.setSilentVms(new Map());
          harness.scheduler.loseVm('a', harness.getNow());
          harness.settle();
          vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
          vitest.expect(harness.listAdvisedSteps()).toHaveLength(after);
        },
      );
  },
);

vitest.describe('a VM that is reserved for a gang', () => {
  vitest.it(
    'runs a service task that has no other place (guards against service tasks that wait beside room that a gang keeps for long)',
    () => {
      const harness = harnesses.createHarness();
      const wholeVm = harnesses.createStep({
        size: { cores: 8, memoryMb: 100, gpus: 0 },
        estimateMs: 60_000,
      });
      harness.addVm('busy');
      harness.addJob('long', [wholeVm]);
      harness.advance(10);
      harness.addVm('free');
      harness.addJob('gang', [{ ...wholeVm, count: 2, gang: true }]);
      harness.advance(10);
      harness.addJob('service', [
        harnesses.createStep({
          size: { cores: 4, memoryMb: 100, gpus: 0 },
          lasts: true,
        }),
      ]);
      const listTasks = (): readonly string[] =>
        harness.listRuns().map(({ task }) => task);
      for (let round = 0; round < 10; round += 1) harness.advance(100);
      vitest.expect(listTasks()).toEqual(['long.0.0.0']);
      for (let round = 0; round < 20; round += 1) harness.advance(100);
      vitest.expect(listTasks()).toEqual(['long.0.0.0', 'service.0.0.0']);
    },
  );
});

const BURSTS: readonly pools.Burst[] = [
  { kind: 'urgent', fromMs: 5_000, toMs: 13_000, factor: 2.3 },
  { kind: 'batch', fromMs: 6_000, toMs: 14_000, factor: 2.2 },
  { kind: 'service', fromMs: 8_000, toMs: 14_000, factor: 2.5 },
  { kind: 'urgent', fromMs: 20_000, toMs: 28_000, factor: 2 },
  { kind: 'batch', fromMs: 20_000, toMs: 28_000, factor: 2 },
];

vitest.describe('the service tasks of a busy pool', () => {
  const pool = { vms: 60, load: 0.7, failureIntervalMs: 15_000 };
  for (const { name, seeds, ...given } of [
    { ...pool, name: 'many nodes', helpers: 9, load: 1, seeds: [1, 2] },
    { ...pool, name: 'few nodes', helpers: 4, seeds: [3, 5, 6] },
    { ...pool, name: 'three nodes', helpers: 2, seeds: [11, 12] },
    {
      ...pool,
      name: 'two nodes',
      helpers: 1,
      failureIntervalMs: 60_000,
      seeds: [11, 12, 13, 17, 44, 46, 47],
    },
    {
      ...pool,
      name: 'one node for a small pool',
      vms: 24,
      helpers: 0,
      failureIntervalMs: 60_000,
      seeds: [11, 12, 13],
    },
    {
      ...pool,
      name: 'one node',
      load: 0.4,
      helpers: 0,
      failureIntervalMs: 60_000,
      seeds: [2, 11, 12, 60],
    },
    {
      name: 'six nodes for a large pool',
      vms: 252,
      helpers: 5,
      load: 0.8,
      failureIntervalMs: 150_000,
      seeds: [22],
    },
    {
      name: 'twelve nodes and silent VMs in a large pool',
      vms: 252,
      helpers: 11,
      load: 0.8,
      failureIntervalMs: 150_000,
      silencesAtMs: [8_000, 16_000],
      seeds: [23],
    },
  ]) {
    for (const seed of seeds) {
      const test = `run again in time in bursts and drains while approved VMs have room, with ${name} for advice, seed ${seed}`;
      vitest.it(
        test,
        () =>
          knownRed.runKnownRed(test, () => {
            const simulation = new pools.PoolSimulation({
              ...given,
              seed,
              bursts: BURSTS,
              drainsAtMs: [9_000, 18_000],
            });
            vitest.expect(simulation.run(32_000).violations).toEqual([]);
            return Promise.resolve();
          }),
        60_000,
      );
    }
  }
});
