/** Service tasks whose VM is gone and refuses connections: they run again in time, also across a change of owner. */
import * as vitest from 'vitest';
import * as knownRed from '../../standins/test/cell/knownRed.js';
import * as simulations from './clusterSimulation.js';

/** Longest time without a run of a service task once the cluster is undisturbed, in ms. */
const LONGEST_GAP_MS = 9_000;

async function measureGap(
  change: 'none' | 'killed' | 'removed' | 'stopped',
  afterMs: number,
): Promise<simulations.ClusterSimulation> {
  const simulation = new simulations.ClusterSimulation({
    jobs: 8,
    vms: 5,
    coresPerVm: 4,
  });
  await simulation.advance(6_000);
  const [gone] = [...simulation.vms].find(
    ([, { running }]) => running.size > 0,
  )!;
  simulation.silenceVm(gone, 'gone', 'always');
  await simulation.advance(afterMs);
  if (change === 'killed') simulation.killOwner();
  if (change === 'removed') simulation.removeOwner();
  if (change === 'stopped') simulation.releaseOwner();
  await simulation.advance(16_000);
  return simulation;
}

vitest.describe('service tasks of a VM that is gone', () => {
  for (const [change, afterMs] of [
    ['none', 0],
    ['stopped', 0],
    ['stopped', 1_500],
    ['killed', 0],
    ['killed', 300],
    ['killed', 700],
    ['killed', 1_500],
    ['killed', 2_500],
    ['killed', 4_000],
    ['removed', 0],
    ['removed', 300],
    ['removed', 700],
    ['removed', 1_500],
    ['removed', 2_500],
    ['removed', 4_000],
  ] as const) {
    const test = `run again in time, owner ${change} after ${afterMs} ms (guards against LOST: they wait for the leases of two owners)`;
    const run = async () => {
      const simulation = await measureGap(change, afterMs);
      vitest
        .expect(simulation.listMissing(), simulation.formatLines())
        .toEqual([]);
      vitest
        .expect(simulation.getLongestGap())
        .toBeLessThanOrEqual(LONGEST_GAP_MS);
      simulation.close();
    };
    vitest.it(test, () => knownRed.runKnownRed(test, run));
  }
});
