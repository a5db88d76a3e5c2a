/** Starts that an owner sent during an outage of the store, without a record: no later owner starts their tasks beside them. */
import * as vitest from 'vitest';
import * as knownRed from '../../standins/test/cell/knownRed.js';
import * as simulations from './clusterSimulation.js';

/** Time for two changes of owner and all leases, in ms. */
const RESTORED_WITHIN_MS = 20_000;
const OUTAGE_MS = 7_000;

/** Makes the owner start tasks without a record, on a VM that is cut off after that, and ends the owner before the store is back. */
async function startUnrecorded(
  simulation: simulations.ClusterSimulation,
  cutForMs: number,
): Promise<void> {
  await simulation.advance(6_000);
  const used = [...simulation.vms]
    .filter(([, { running }]) => running.size > 0)
    .map(([id]) => id);
  simulation.silenceVm(used[0]!, 'gone');
  // The owner records that the VM doesn't answer.
  await simulation.advance(3_000);
  simulation.failStore(5_200 + cutForMs, 'silent');
  await simulation.advance(4_800);
  const started = [...simulation.vms].find(
    ([id, { running }]) => !used.includes(id) && running.size > 0,
  );
  vitest.expect(started, simulation.formatLines()).toBeDefined();
  simulation.silenceVm(started![0], 'cut');
  await simulation.advance(cutForMs);
  simulation.releaseOwner();
  await simulation.advance(400);
}

function createCluster(): simulations.ClusterSimulation {
  return new simulations.ClusterSimulation({
    jobs: 8,
    vms: 5,
    coresPerVm: 4,
  });
}

function expectSound(simulation: simulations.ClusterSimulation): void {
  vitest.expect(simulation.violations, simulation.formatLines()).toEqual([]);
  vitest.expect(simulation.listMissing(), simulation.formatLines()).toEqual([]);
  simulation.close();
}

vitest.describe('a service task that was started without a record', () => {
  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not run a second time when its VM is cut off and leaves the list, with an owner stopped %d ms after the cut (guards against TWICE: a new owner waits only for listed VMs)',
    async (cutForMs) => {
      const simulation = createCluster();
      await startUnrecorded(simulation, cutForMs);
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not run a second time when its VM is cut off, with owners stopped in a row from %d ms after the cut on (guards against TWICE: only the first successor knows of starts without a record)',
    async (cutForMs) => {
      const simulation = createCluster();
      await startUnrecorded(simulation, cutForMs);
      for (let stops = 0; stops < 4; stops += 1) {
        await simulation.advance(400);
        simulation.releaseOwner();
      }
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not run a second time when its VM is cut off, with an owner stopped %d ms after the cut and its successor killed (guards against TWICE: only the first successor knows of starts without a record)',
    async (cutForMs) => {
      const simulation = createCluster();
      await startUnrecorded(simulation, cutForMs);
      await simulation.advance(800);
      simulation.killOwner();
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  /** Makes the owner start tasks without a record on a VM whose entry lapses for long, and kills the owner in the outage. */
  async function killInOutage(killBeforeMs: number): Promise<void> {
    const simulation = createCluster();
    await simulation.advance(6_000);
    const vms = [...simulation.vms];
    const [crashed] = vms.find(([, { running }]) => running.size > 0)!;
    const [id, unlisted] = vms.find(([, { running }]) => running.size === 0)!;
    simulation.silenceVm(crashed, 'gone');
    await simulation.advance(3_000);
    simulation.failStore(OUTAGE_MS, 'silent');
    simulation.unlistVm(id, RESTORED_WITHIN_MS + OUTAGE_MS);
    await simulation.advance(OUTAGE_MS - killBeforeMs);
    vitest.expect(unlisted.running.size).not.toBe(0);
    simulation.killOwner();
    await simulation.advance(killBeforeMs + RESTORED_WITHIN_MS);
    const { violations } = simulation;
    vitest.expect(violations, simulation.formatLines()).toEqual([]);
    simulation.close();
  }

  for (const killBeforeMs of [0, 500, 1_000, 1_500, 2_000]) {
    const test = `does not run a second time when its VM is cut off from the store longer than the nodes are, with an owner killed ${killBeforeMs} ms before these are back (guards against TWICE: a VM that is treated as gone while its runs go on)`;
    vitest.it(test, () =>
      knownRed.runKnownRed(test, () => killInOutage(killBeforeMs)),
    );
  }
});
