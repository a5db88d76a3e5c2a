/** Starts that an owner sends long after their record was appended: a later owner has read the record and may have acted on it. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as simulations from './clusterSimulation.js';

const VMS = 5;
/** Time for a change of owner and all leases, in ms. */
const RESTORED_WITHIN_MS = 24_000;
/** Jobs of which a VM gets more starts at once than may be on their way to it. */
const WAITING_JOBS = 48;
const JOB = 'aaaaaaaaaaaaaaaa';
/** Time for the record of a start once its job has been submitted, in ms. */
const RECORDED_WITHIN_MS = 200;

function createCluster(): simulations.ClusterSimulation {
  return new simulations.ClusterSimulation({
    jobs: 0,
    vms: VMS,
    coresPerVm: 4,
  });
}

/** Submits a job whose task lasts, and suspends the owner between the record of its start and the order. */
async function freezeAtRecord(
  pauseMs: number,
): Promise<{ simulation: simulations.ClusterSimulation; vm: core.ids.VmId }> {
  const simulation = createCluster();
  await simulation.advance(6_000);
  simulation.freezeOwnerAtRecord(pauseMs);
  const follower = simulation.nodes.find(({ owner }) => owner === undefined)!;
  simulation.request(follower, 'POST', JOB, () => undefined, 'lasts');
  await simulation.advance(RECORDED_WITHIN_MS);
  const vm = simulation.findRecordedVm(JOB);
  vitest.expect(vm, simulation.formatLines()).toBeDefined();
  return { simulation, vm: vm! };
}

/** Returns what a simulation has broken, and ends it. */
function describeViolations(
  simulation: simulations.ClusterSimulation,
  title: string,
): readonly string[] {
  simulation.close();
  return simulation.violations.map((violation) => `${title}: ${violation}`);
}

function findPaused(simulation: simulations.ClusterSimulation) {
  return simulation.nodes.find(({ state }) => state === 'frozen')!;
}

function listRunning(simulation: simulations.ClusterSimulation) {
  return [...simulation.vms].filter(([, { running }]) => running.size > 0);
}

async function expectSingleRun(
  simulation: simulations.ClusterSimulation,
): Promise<void> {
  for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
  await simulation.advance(RESTORED_WITHIN_MS);
  vitest.expect(simulation.violations, simulation.formatLines()).toEqual([]);
  vitest
    .expect(listRunning(simulation), simulation.formatLines())
    .toHaveLength(1);
  simulation.close();
}

const reaches: Readonly<
  Record<
    string,
    (simulation: simulations.ClusterSimulation, vm: core.ids.VmId) => void
  >
> = {
  'all nodes': () => undefined,
  'its owner alone': (simulation, vm) => {
    simulation.isolateWithOwner(vm);
  },
  'all nodes but its owner': (simulation, vm) => {
    simulation.isolateFromOwner(vm);
  },
};

vitest.describe('a start whose record is confirmed after a pause', () => {
  for (const [by, divide] of Object.entries(reaches))
    vitest.it.each([500, 1_500, 2_600, 3_000, 4_000, 6_000, 9_000, 12_000])(
      `is sent to a VM that is reached by ${by} and runs nowhere else, paused for %d ms (guards against TWICE: a start that is sent after its record has been read by a successor)`,
      async (pauseMs) => {
        const { simulation, vm } = await freezeAtRecord(pauseMs);
        divide(simulation, vm);
        await simulation.advance(pauseMs + 6_000);
        await expectSingleRun(simulation);
      },
    );
});

vitest.describe(
  'starts that wait for others on their way to the same VM',
  () => {
    vitest.it.each([0, 300, 600, 1_000])(
      'are sent by an owner that is cut off with the VM, its orders ignored for %d ms, and run nowhere else (guards against TWICE: a start that is sent long after its record)',
      async (ignoredMs) => {
        const simulation = new simulations.ClusterSimulation({
          jobs: 0,
          vms: 2,
          coresPerVm: 2 * WAITING_JOBS,
        });
        await simulation.advance(6_000);
        const [near, far] = [...simulation.vms.keys()];
        for (const id of simulation.vms.keys())
          simulation.ignoreOrders(id, true);
        const owner = simulation.getOwner()!;
        for (let index = 0; index < WAITING_JOBS; index += 1) {
          const id = index.toString(16).padStart(16, '0');
          simulation.request(owner, 'POST', id, () => undefined, 'lasts');
        }
        await simulation.advance(RECORDED_WITHIN_MS);
        simulation.isolateWithOwner(near!);
        simulation.isolateFromOwner(far!);
        simulation.cutOwner(12_000, 'silent');
        await simulation.advance(ignoredMs);
        for (const id of simulation.vms.keys())
          simulation.ignoreOrders(id, false);
        const startedBefore = simulation.vms.get(near!)!.running.size;
        await simulation.advance(1_500);
        vitest
          .expect(simulation.vms.get(near!)!.running.size)
          .toBeGreaterThan(startedBefore);
        await simulation.advance(12_000);
        for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
        await simulation.advance(RESTORED_WITHIN_MS);
        vitest
          .expect(simulation.violations, simulation.formatLines())
          .toEqual([]);
        simulation.close();
      },
    );
  },
);

vitest.describe('a VM that restarts while a start is on its way', () => {
  vitest.it(
    "doesn't run a task beside the run of a successor, its owner paused before the order (guards against TWICE: a restarted VM has seen no fence)",
    async () => {
      const broken: string[] = [];
      for (const pauseMs of [2_000, 4_000, 6_000, 9_000]) {
        const { simulation, vm } = await freezeAtRecord(pauseMs);
        const paused = findPaused(simulation);
        // The successor starts the task on another VM.
        simulation.drainVm(vm);
        await simulation.advance(pauseMs - RECORDED_WITHIN_MS - 100);
        simulation.restartVm(vm);
        paused.storeCut = true;
        await simulation.advance(6_100);
        paused.storeCut = false;
        await simulation.advance(RESTORED_WITHIN_MS);
        broken.push(...describeViolations(simulation, `paused ${pauseMs}`));
      }
      vitest.expect(broken).toEqual([]);
    },
  );

  vitest.it(
    'holds no lease beyond the claim of its owner, which alone reaches it and was paused before the order (guards against TWICE: a time on the clock of an earlier incarnation)',
    async () => {
      const broken: string[] = [];
      for (const pauseMs of [2_000, 4_000, 6_000, 9_000]) {
        const { simulation, vm } = await freezeAtRecord(pauseMs);
        const paused = findPaused(simulation);
        await simulation.advance(pauseMs / 2);
        simulation.restartVm(vm);
        simulation.vms.get(vm)!.onlyNode = paused.name;
        paused.storeCut = true;
        await simulation.advance(pauseMs / 2 + 14_000);
        paused.storeCut = false;
        for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
        await simulation.advance(RESTORED_WITHIN_MS);
        broken.push(...describeViolations(simulation, `paused ${pauseMs}`));
      }
      vitest.expect(broken).toEqual([]);
    },
  );

  vitest.it(
    'runs a task no longer than its owner assumes, cut off before its first report (guards against TWICE: a time on the clock of an earlier incarnation)',
    async () => {
      const broken: string[] = [];
      for (const cutAfterMs of [20, 100, 250, 500])
        for (let waitMs = 0; waitMs < 2_000; waitMs += 100) {
          const simulation = createCluster();
          await simulation.advance(6_000 + waitMs);
          simulation.freezeOwnerAtRecord(60);
          const node = simulation.getOwner()!;
          simulation.request(node, 'POST', JOB, () => undefined, 'lasts');
          await simulation.advance(30);
          const vm = simulation.findRecordedVm(JOB)!;
          simulation.restartVm(vm);
          await simulation.advance(cutAfterMs);
          simulation.silenceVm(vm, 'cut');
          await simulation.advance(RESTORED_WITHIN_MS);
          const title = `submitted at ${waitMs}, cut after ${cutAfterMs}`;
          broken.push(...describeViolations(simulation, title));
        }
      vitest.expect(broken).toEqual([]);
    },
  );
});
