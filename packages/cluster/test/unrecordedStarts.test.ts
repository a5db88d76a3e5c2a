/**
 * Starts that an owner decides during an outage of the store: none is sent without its
 * record, and each task starts once after the outage, whoever owns the cluster then.
 */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';

/** Time for two changes of owner and all leases, in ms. */
const RESTORED_WITHIN_MS = 20_000;
const OUTAGE_MS = 7_000;

/**
 * Makes the owner decide starts during an outage of the store, cuts off the VM for which it
 * has decided them, and ends the owner before the store is back.
 */
async function decideInOutage(
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
  const started = [...simulation.vms].filter(
    ([id, { running }]) => !used.includes(id) && running.size > 0,
  );
  vitest.expect(started, simulation.formatLines()).toEqual([]);
  const decided = simulation.findDecidedVm();
  vitest.expect(decided, simulation.formatLines()).toBeDefined();
  simulation.silenceVm(decided!, 'cut');
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

vitest.describe('a service task that must start in an outage', () => {
  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not start without a record, nor a second time, when its VM is cut off and leaves the list, with an owner stopped %d ms after the cut (guards against TWICE: a new owner waits only for listed VMs)',
    async (cutForMs) => {
      const simulation = createCluster();
      await decideInOutage(simulation, cutForMs);
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not start without a record, nor a second time, when its VM is cut off, with owners stopped in a row from %d ms after the cut on (guards against TWICE: only the first successor knows of starts without a record)',
    async (cutForMs) => {
      const simulation = createCluster();
      await decideInOutage(simulation, cutForMs);
      for (let stops = 0; stops < 4; stops += 1) {
        await simulation.advance(400);
        simulation.releaseOwner();
      }
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not start without a record, nor a second time, when its VM is cut off, with an owner stopped %d ms after the cut and its successor killed (guards against TWICE: only the first successor knows of starts without a record)',
    async (cutForMs) => {
      const simulation = createCluster();
      await decideInOutage(simulation, cutForMs);
      await simulation.advance(800);
      simulation.killOwner();
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  /** Makes the owner decide starts on a VM whose entry lapses for long, and kills the owner in the outage. */
  async function killInOutage(killBeforeMs: number): Promise<void> {
    const simulation = createCluster();
    await simulation.advance(6_000);
    const vms = [...simulation.vms];
    const [crashed] = vms.find(([, { running }]) => running.size > 0)!;
    const idle = vms.filter(([, { running }]) => running.size === 0);
    simulation.silenceVm(crashed, 'gone');
    await simulation.advance(3_000);
    simulation.failStore(OUTAGE_MS, 'silent');
    for (const [id] of idle)
      simulation.unlistVm(id, RESTORED_WITHIN_MS + OUTAGE_MS);
    await simulation.advance(OUTAGE_MS - killBeforeMs);
    vitest.expect(simulation.findDecidedVm()).toBeDefined();
    for (const [, { running }] of idle) vitest.expect(running.size).toBe(0);
    simulation.killOwner();
    await simulation.advance(killBeforeMs + RESTORED_WITHIN_MS);
    const { violations } = simulation;
    vitest.expect(violations, simulation.formatLines()).toEqual([]);
    simulation.close();
  }

  vitest.it.each([0, 500, 1_000, 1_500, 2_000])(
    'does not start without a record, nor a second time, when its VM is cut off from the store longer than the nodes are, with an owner killed %d ms before these are back (guards against TWICE: a VM that is treated as gone while its runs go on)',
    killInOutage,
  );
});
