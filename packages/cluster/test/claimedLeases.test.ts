/** Leases that an owner granted between its claim and its first renewal. */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';

vitest.describe(
  'the successor of an owner that ended before its first renewal',
  () => {
    vitest.it.each([6_000, 10_000])(
      'waits for the leases of %d ms that this owner granted after the release before it (guards against TWICE: ends that a release recorded are taken for those of later leases)',
      async (leaseMs) => {
        const simulation = new simulations.ClusterSimulation({
          jobs: 8,
          vms: 6,
          coresPerVm: 4,
          leaseMs,
        });
        await simulation.advance(6_000);
        const used = [...simulation.vms]
          .filter(([, { running }]) => running.size > 0)
          .map(([id]) => id);
        simulation.releaseOwner();
        await simulation.advance(490);
        simulation.removeOwner();
        await simulation.advance(120);
        simulation.silenceVm(used[0]!, 'cut');
        await simulation.advance(20_000);
        vitest
          .expect(simulation.violations, simulation.formatLines())
          .toEqual([]);
        vitest
          .expect(simulation.listMissing(), simulation.formatLines())
          .toEqual([]);
        simulation.close();
      },
    );
  },
);
