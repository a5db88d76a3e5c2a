/** VMs whose capacity changes while they run, beside slow records and changes of owner. */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';

const FULL_CORES = 6;
const SMALL_CORES = 2;

/** Creates a cluster whose tasks all run on one VM, which they fill. */
async function createFullVm(): Promise<{
  readonly simulation: simulations.ClusterSimulation;
  readonly full: string;
}> {
  const simulation = new simulations.ClusterSimulation({
    jobs: FULL_CORES,
    vms: 3,
    coresPerVm: FULL_CORES,
  });
  await simulation.advance(6_000);
  const used = [...simulation.vms].filter(([, vm]) => vm.running.size > 0);
  vitest.expect(used).toHaveLength(1);
  return { simulation, full: used[0]![0] };
}

function resizeAll(
  simulation: simulations.ClusterSimulation,
  cores: number,
): void {
  for (const id of simulation.vms.keys()) simulation.resizeVm(id, cores);
}

function expectSound(simulation: simulations.ClusterSimulation): void {
  vitest.expect(simulation.violations, simulation.formatLines()).toEqual([]);
  vitest.expect(simulation.listMissing(), simulation.formatLines()).toEqual([]);
  simulation.close();
}

vitest.describe('a VM whose capacity shrinks', () => {
  vitest.it.each([100, 1_000, 3_000])(
    'gets no start that was decided before and recorded long after, %d ms after the decision (guards against LIMIT: a start that waits for its record is sent whatever the VM has room for)',
    async (shrunkAfterMs) => {
      const { simulation, full } = await createFullVm();
      simulation.silenceAppends(shrunkAfterMs + 6_000, 'progress');
      simulation.restartVm(full);
      await simulation.advance(shrunkAfterMs);
      resizeAll(simulation, SMALL_CORES);
      await simulation.advance(20_000);
      expectSound(simulation);
    },
  );

  vitest.it.each(['killOwner', 'releaseOwner', 'freeze'] as const)(
    'gets no start above its capacity from a new owner, and keeps what runs (%s)',
    async (change) => {
      const { simulation, full } = await createFullVm();
      const before = simulation.vms.get(full)!.running.size;
      simulation.resizeVm(full, SMALL_CORES);
      if (change === 'freeze') simulation.freezeOwner(5_000);
      else simulation[change]();
      await simulation.advance(8_000);
      vitest
        .expect(simulation.vms.get(full)!.running.size, 'runs that stay')
        .toBe(before);
      const other = [...simulation.vms.keys()].find((id) => id !== full)!;
      simulation.restartVm(full);
      simulation.resizeVm(other, SMALL_CORES);
      await simulation.advance(20_000);
      expectSound(simulation);
    },
  );

  vitest.it('is used again as soon as it has grown', async () => {
    const { simulation, full } = await createFullVm();
    resizeAll(simulation, 1);
    await simulation.advance(6_000);
    simulation.restartVm(full);
    await simulation.advance(6_000);
    vitest.expect(simulation.listMissing()).toHaveLength(FULL_CORES - 3);
    simulation.resizeVm(full, FULL_CORES);
    await simulation.advance(2_000);
    vitest
      .expect(simulation.formatLines())
      .toMatch(/vm\.changed .*"cores":1,"memoryMb":8000,"gpus":0/);
    expectSound(simulation);
  });
});
