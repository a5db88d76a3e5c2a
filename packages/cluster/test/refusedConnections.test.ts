/** The owner with its sessions: runs on VMs that refuse connections while they continue. */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';

const REFUSED_MS = 3_500;
/** Time after which all leases that were granted before have ended, in ms. */
const SETTLED_MS = 12_000;

/** Creates a cluster whose VMs run short tasks or service tasks, and returns the fullest VM. */
async function createBusy(kind: 'short' | 'lasting') {
  const simulation = new simulations.ClusterSimulation({
    jobs: kind === 'lasting' ? 6 : 0,
    vms: 3,
    coresPerVm: 4,
  });
  await simulation.advance(6_000);
  if (kind === 'short') {
    for (let index = 1; index <= 6; index += 1)
      simulation.request(
        simulation.nodes[0]!,
        'POST',
        index.toString(16).padStart(16, '0'),
        () => undefined,
      );
    await simulation.advance(500);
  }
  const [fullest] = [...simulation.vms].sort(
    ([, a], [, b]) => b.running.size - a.running.size,
  );
  vitest.expect(fullest![1].running.size).toBeGreaterThan(0);
  return { simulation, vm: fullest![0] };
}

async function expectRunOnce(kind: 'short' | 'lasting'): Promise<void> {
  const { simulation, vm } = await createBusy(kind);
  simulation.refuseConnections(vm, REFUSED_MS);
  await simulation.advance(SETTLED_MS);
  vitest
    .expect(
      [...simulation.violations, ...simulation.listStartedAgain()],
      simulation.formatLines(),
    )
    .toEqual([]);
  simulation.close();
}

vitest.describe('a task on a VM that refuses connections for a time', () => {
  vitest.it(
    'is not started again when its run ends as done meanwhile (guards against TWICE: a refused connection counts as the end of all runs of the VM)',
    () => expectRunOnce('short'),
  );

  vitest.it(
    'is not started elsewhere while its run continues (guards against TWICE: a lasting task runs beside itself)',
    () => expectRunOnce('lasting'),
  );
});
