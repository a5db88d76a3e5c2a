/** Outages of the store: the runs of VMs that the owner reaches go on while no claim can be confirmed. */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';

const LEASES_MS = [6_000, 10_000];
const FAILURES = ['silent', 'refusing'] as const;
/** Times of the beginning of an outage between two renewals, in ms. */
const PHASES_MS = [0, 100, 200, 300, 400];

vitest.describe('an outage of the store', () => {
  for (const leaseMs of LEASES_MS)
    for (const failure of FAILURES)
      for (const outageMs of [8_500, 9_000])
        vitest.it.each(PHASES_MS)(
          `of ${outageMs} ms, ${failure}, ends no run that has a lease of ${leaseMs} ms, phase %d (guards against runs that end because a hold in flight outlasts their lease)`,
          async (phaseMs) => {
            const simulation = new simulations.ClusterSimulation({
              jobs: 12,
              vms: 4,
              leaseMs,
              getClockRate: () => 1,
            });
            await simulation.advance(6_000 + phaseMs);
            simulation.failStore(outageMs, failure);
            await simulation.advance(outageMs + 4_000);
            vitest.expect(simulation.violations).toEqual([]);
            vitest
              .expect(simulation.lapses, simulation.formatLines())
              .toEqual([]);
            simulation.close();
          },
        );
});
