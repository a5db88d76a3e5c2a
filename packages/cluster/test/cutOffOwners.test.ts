/** Owners that are cut off from the store and from the other nodes together with a VM: no task runs on both sides. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as simulations from './clusterSimulation.js';

const CUT_MS = 8_000;
/** Time for a change of owner and all leases, in ms. */
const RESTORED_WITHIN_MS = 22_000;

async function createCluster() {
  const simulation = new simulations.ClusterSimulation({
    jobs: 8,
    vms: 5,
    coresPerVm: 4,
  });
  await simulation.advance(6_000);
  return { simulation, vms: [...simulation.vms] };
}

/** Divides the VMs: the owner alone reaches one, and the other nodes alone reach the rest. */
function divideVms(
  simulation: simulations.ClusterSimulation,
  nearOwner: core.ids.VmId,
): void {
  for (const id of simulation.vms.keys())
    if (id === nearOwner) simulation.isolateWithOwner(id);
    else simulation.isolateFromOwner(id);
}

/** Reconnects all VMs, and checks that no task ran twice and none is missing. */
async function expectSoundOnceReconnected(
  simulation: simulations.ClusterSimulation,
): Promise<void> {
  for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
  await simulation.advance(RESTORED_WITHIN_MS);
  vitest.expect(simulation.violations, simulation.formatLines()).toEqual([]);
  vitest.expect(simulation.listMissing(), simulation.formatLines()).toEqual([]);
  simulation.close();
}

/** Cuts the owner off with one VM that has room, some time after a VM with tasks has crashed. */
async function cutAfterCrash(
  cutAfterMs: number,
  evidence: 'silent' | 'refused',
): Promise<void> {
  const { simulation, vms } = await createCluster();
  const [crashed] = vms.find(([, { running }]) => running.size > 0)!;
  const [nearOwner] = vms.find(([, { running }]) => running.size === 0)!;
  simulation.silenceVm(crashed, 'gone');
  await simulation.advance(cutAfterMs);
  divideVms(simulation, nearOwner);
  simulation.cutOwner(CUT_MS, evidence);
  await simulation.advance(CUT_MS);
  await expectSoundOnceReconnected(simulation);
}

vitest.describe('an owner that is cut off', () => {
  for (const [evidence, guarded] of [
    [
      'silent',
      'a successor that claims before its predecessor starts tasks without a record',
    ],
    ['refused', 'a refused link counts as the end of the process'],
  ] as const)
    vitest.it.each([4_350, 4_400, 4_450, 4_500, 4_550, 4_600, 4_650, 4_700])(
      `starts no task that its successor starts, its links ${evidence}, %d ms after a VM has crashed (guards against TWICE: ${guarded})`,
      (cutAfterMs) => cutAfterCrash(cutAfterMs, evidence),
    );
});

vitest.describe('an owner whose machine is suspended', () => {
  vitest.it.each([2_000, 4_000, 6_000])(
    'extends no lease beyond those that its successor waits for, suspended for %d ms and cut off (guards against TWICE: the time of a suspension is not counted)',
    async (suspendedMs) => {
      const { simulation, vms } = await createCluster();
      const [nearOwner] = vms.find(([, { running }]) => running.size > 0)!;
      divideVms(simulation, nearOwner);
      simulation.cutOwner(20_000, 'silent');
      simulation.suspendOwner(suspendedMs);
      await simulation.advance(20_000);
      await expectSoundOnceReconnected(simulation);
    },
  );
});
