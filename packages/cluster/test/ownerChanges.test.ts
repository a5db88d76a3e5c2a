/** Changes of owner while VMs don't answer: their service tasks run again in time, and never beside a run that may continue. */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';

/** Longest lease on the slowest clock of a VM, in ms. */
const LEASE_MS = simulations.LONGEST_LEASE_MS / simulations.VM_CLOCK_RATE;
/** Time for which a predecessor may go on without a confirmed claim, in ms. */
const UNCONFIRMED_LIMIT_MS = 10_000;
/** Time for a change of owner, the restart of a task and orders in flight, in ms. */
const RESTART_MS = 3_000;

/** A service task must run 6 s after its last run, or once the cluster has been calm for 7 s, with 3 s to start it. */
const RESTORED_WITHIN_MS = 12_000;

async function createSettled(
  leaseMs = simulations.LONGEST_LEASE_MS,
): Promise<simulations.ClusterSimulation> {
  const simulation = new simulations.ClusterSimulation({
    jobs: 6,
    vms: 4,
    leaseMs,
  });
  await simulation.advance(6_000);
  vitest.expect(simulation.listMissing()).toEqual([]);
  return simulation;
}

function findBusyVm(simulation: simulations.ClusterSimulation): string {
  return [...simulation.vms].find(([, { running }]) => running.size > 0)![0];
}

function expectSound(simulation: simulations.ClusterSimulation): void {
  vitest.expect(simulation.violations).toEqual([]);
  vitest.expect(simulation.listMissing(), simulation.formatLines()).toEqual([]);
  simulation.close();
}

vitest.describe('a service task on a VM that does not answer', () => {
  vitest.it('runs again once all leases are over', async () => {
    const simulation = await createSettled();
    simulation.silenceVm(findBusyVm(simulation), 'gone');
    await simulation.advance(500);
    simulation.freezeOwner(4_000);
    await simulation.advance(UNCONFIRMED_LIMIT_MS + LEASE_MS + RESTART_MS);
    expectSound(simulation);
  });

  vitest.it(
    'runs again one lease after the VM became silent when the owner is restarted meanwhile (guards against LOST on nilewave-vod-grown: each planned change of owner counts the lease anew)',
    async () => {
      const simulation = await createSettled();
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(4_500);
      simulation.releaseOwner();
      await simulation.advance(LEASE_MS + RESTART_MS - 4_500);
      expectSound(simulation);
    },
  );

  vitest.it(
    'runs again one lease after the VM became silent when owners are stopped one after another (guards against LOST on nilewave-vod-grown: each successor counts whole leases of its predecessor)',
    async () => {
      const simulation = await createSettled();
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      const silentMs = simulation.getNow();
      await simulation.advance(300);
      for (let stops = 0; stops < 5; stops += 1) {
        simulation.releaseOwner();
        await simulation.advance(700);
      }
      await simulation.advance(
        silentMs + LEASE_MS + RESTART_MS - simulation.getNow(),
      );
      expectSound(simulation);
    },
  );

  vitest.it(
    'runs again one lease after the VM became silent when an owner is stopped that read the list without it (guards against LOST on sayeban-ops: its successor counts whole leases again)',
    async () => {
      const simulation = await createSettled();
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      const silentMs = simulation.getNow();
      simulation.killOwner();
      // Longer than a silent VM stays listed.
      for (let stops = 0; stops < 8; stops += 1) {
        await simulation.advance(700);
        simulation.releaseOwner();
      }
      await simulation.advance(
        silentMs + LEASE_MS + RESTART_MS - simulation.getNow(),
      );
      expectSound(simulation);
    },
  );

  vitest.it(
    'runs again one lease after a frozen owner is awake again (guards against LOST on nilewave-vod-grown: the successor waits for an owner that has given up)',
    async () => {
      const simulation = await createSettled();
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(500);
      simulation.freezeOwner(4_000);
      await simulation.advance(4_000 + LEASE_MS + RESTART_MS);
      expectSound(simulation);
    },
  );

  vitest.it(
    'runs again in time when it answered the new owner before it became silent (guards against a wait for leases of the previous owner that its fence has ended)',
    async () => {
      const simulation = await createSettled();
      simulation.freezeOwner(30_000);
      await simulation.advance(3_000);
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(LEASE_MS + RESTART_MS);
      expectSound(simulation);
    },
  );

  vitest.it(
    'runs again in time when the machine of the owner is removed for good with it (guards against LOST on nilewave-vod-grown: no peer learns that the owner has terminated)',
    async () => {
      const simulation = await createSettled();
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(500);
      simulation.removeOwner();
      await simulation.advance(RESTORED_WITHIN_MS);
      expectSound(simulation);
    },
  );

  vitest.it.each([0, 2_500])(
    'does not run a second time when its address changes %d ms later (guards against TWICE: the session with the new address knows no lease)',
    async (afterMs) => {
      const simulation = await createSettled();
      const vm = findBusyVm(simulation);
      simulation.silenceVm(vm, 'cut');
      await simulation.advance(afterMs);
      simulation.readdressVm(vm);
      await simulation.advance(LEASE_MS + RESTART_MS);
      expectSound(simulation);
    },
  );

  vitest.it.each([6_000, 10_000])(
    'runs again in time when the owner is removed in an outage of the store, with a lease of %d ms (guards against LOST: the successor counts the time of an unconfirmed claim from the end of the outage)',
    async (leaseMs) => {
      const simulation = await createSettled(leaseMs);
      simulation.failStore(9_000, 'silent');
      await simulation.advance(1_000);
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(4_000);
      simulation.removeOwner();
      await simulation.advance(18_000);
      vitest
        .expect(simulation.getLongestGap(), simulation.formatLines())
        .toBeLessThan(leaseMs / simulations.VM_CLOCK_RATE + 6_000);
      expectSound(simulation);
    },
  );

  vitest.it.each([0, 300, 600, 900])(
    'runs again in time when the machines of two owners are removed for good, the second one %d ms later (guards against LOST: each successor counts from a claim that it read late)',
    async (laterMs) => {
      const simulation = await createSettled();
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(500);
      simulation.removeOwner();
      await simulation.advance(3_500 + laterMs);
      simulation.removeOwner();
      await simulation.advance(12_000);
      vitest
        .expect(simulation.getLongestGap(), simulation.formatLines())
        .toBeLessThan(LEASE_MS + 6_000);
      expectSound(simulation);
    },
  );

  vitest.it(
    'runs again in time when its entry is gone before the first of two changes of owner (guards against LOST: the second owner counts the lease of a VM anew that the first one never called)',
    async () => {
      const leaseMs = 10_000;
      const simulation = await createSettled(leaseMs);
      simulation.failStore(6_000, 'silent');
      await simulation.advance(500);
      simulation.silenceVm(findBusyVm(simulation), 'gone');
      await simulation.advance(4_000);
      simulation.removeOwner();
      await simulation.advance(3_500);
      simulation.releaseOwner();
      await simulation.advance(12_000);
      vitest
        .expect(simulation.getLongestGap(), simulation.formatLines())
        .toBeLessThan(leaseMs / simulations.VM_CLOCK_RATE + 6_000);
      expectSound(simulation);
    },
  );

  vitest.it.each(['release', 'kill'] as const)(
    'does not start without a record, nor a second time after a %s of the successor (guards against TWICE: an owner that is cut off with a VM starts tasks that no other owner knows of)',
    async (change) => {
      const simulation = new simulations.ClusterSimulation({
        jobs: 4,
        vms: 2,
        coresPerVm: 4,
      });
      await simulation.advance(6_000);
      const busy = findBusyVm(simulation);
      const idle = [...simulation.vms.keys()].find((id) => id !== busy)!;
      simulation.isolateWithOwner(idle);
      simulation.silenceVm(busy, 'gone', 'always');
      await simulation.advance(4_000);
      simulation.failStore(5_000, 'refusing');
      simulation.cutStore(10_000);
      await simulation.advance(4_500);
      vitest.expect(simulation.findDecidedVm()).toBe(idle);
      vitest.expect(simulation.vms.get(idle)?.running.size).toBe(0);
      simulation.restartVm(busy);
      await simulation.advance(2_500);
      if (change === 'release') simulation.releaseOwner();
      else simulation.killOwner();
      await simulation.advance(UNCONFIRMED_LIMIT_MS + LEASE_MS + RESTART_MS);
      expectSound(simulation);
    },
  );

  vitest.it(
    'does not run a second time while a replaced owner still extends its lease',
    async () => {
      const simulation = await createSettled();
      simulation.isolateWithOwner(findBusyVm(simulation));
      simulation.cutStore(8_000);
      await simulation.advance(10_000);
      vitest.expect(simulation.violations).toEqual([]);
      await simulation.advance(UNCONFIRMED_LIMIT_MS + LEASE_MS + RESTART_MS);
      expectSound(simulation);
    },
  );
});

vitest.describe('a service task on a VM that answers holds', () => {
  vitest.it(
    'runs again elsewhere while the VM answers neither starts nor stops (guards against LOST: a start without an answer blocks the task for as long as its stop has none)',
    async () => {
      const simulation = new simulations.ClusterSimulation({
        jobs: 6,
        vms: 3,
        coresPerVm: 4,
      });
      await simulation.advance(6_000);
      const [fullest, , emptiest] = [...simulation.vms]
        .sort(([, a], [, b]) => b.running.size - a.running.size)
        .map(([id]) => id);
      simulation.ignoreOrders(emptiest!, true);
      simulation.silenceVm(fullest!, 'gone', 'always');
      await simulation.advance(2_000);
      simulation.restartVm(fullest!);
      await simulation.advance(LEASE_MS + RESTORED_WITHIN_MS);
      vitest
        .expect(simulation.getLongestGap(), simulation.formatLines())
        .toBeLessThan(LEASE_MS + 6_000);
      expectSound(simulation);
    },
  );
});
