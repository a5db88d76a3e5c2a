/** The index of the VMs that may get new runs, at the size of hundreds of machines. */
import * as vitest from 'vitest';
import * as openVms from '../../src/workloads/openVms.js';
import * as harnesses from './harness.js';

const VMS = 300;

/** Creates a scheduler with two pools, one job of one queue with advice, and the tickets of ten VMs. */
function createLargeCluster() {
  const { state, scheduler } = harnesses.createOpenScheduler(1_000);
  for (let index = 0; index < 2 * VMS; index += 1) {
    const id = `vm${index}`;
    const pool = index % 2 === 0 ? 'pool' : 'other';
    scheduler.setVmEntry(id, harnesses.createEntry(id, { pool }), 1_000);
    scheduler.applyReport(
      id,
      { incarnation: 1, running: [], ended: [], requestSentMs: 1_000 },
      1_000,
    );
  }
  const policy = harnesses.createPolicy({
    advice: { fixedMs: 20, perVmMs: 0.3, validMs: 2_000 },
  });
  const job = harnesses.createJob({
    steps: [harnesses.createStep({ count: 4 })],
    policy,
  });
  scheduler.acceptJob(job, 0, 1_000, 1_000);
  const step = state.jobs.get('job')!.occurrences[0]!.steps[0]!;
  // Tickets arrive in another order than that of the tables.
  const approved = Array.from(
    { length: 10 },
    (_, index) => `vm${38 - 2 * index}`,
  );
  scheduler.applyAdvice(
    { job: 'job', occurrence: 0, step: 0 },
    approved,
    approved.map((vm) => ({ vm, ticket: 't' })),
    1_000,
  );
  return { state, scheduler, step, approved };
}

vitest.describe('a search for VMs', () => {
  vitest.it(
    'looks at the VMs of one pool only, and with tickets at the approved ones only (guards against rounds that grow with the cluster)',
    () => {
      const { state, step, approved } = createLargeCluster();
      const open = openVms.collectOpenVms(state, 1_000);
      vitest.expect(openVms.listForStep(open, step)).toHaveLength(VMS);
      vitest
        .expect(openVms.listApproved(open, step).map(({ id }) => id))
        .toEqual([...approved].reverse());
    },
  );

  vitest.it('leaves out VMs that drain, are silent or were refused', () => {
    const { state, scheduler, step } = createLargeCluster();
    const entry = state.vms.get('vm20')!.entry!;
    scheduler.setVmEntry('vm20', { ...entry, draining: true }, 1_000);
    scheduler.suspendVm('vm22');
    state.vms.get('vm24')!.avoidUntilMs = 1_001;
    const open = openVms.collectOpenVms(state, 1_000);
    const ids = openVms.listApproved(open, step).map(({ id }) => id);
    vitest.expect(ids).toHaveLength(7);
    vitest.expect(ids).not.toContain('vm20');
    vitest.expect(openVms.listForStep(open, step)).toHaveLength(VMS - 3);
    vitest
      .expect(openVms.listForStep(openVms.collectOpenVms(state, 1_001), step))
      .toHaveLength(VMS - 2);
  });
});
