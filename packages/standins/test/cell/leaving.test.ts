/** VMs whose state in the platform's VM list changes to leaving under load. They must get no new work. */
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

/** Waits until every process reports the VM as leaving. */
async function waitForLeaving(
  cell: cells.Cell,
  path: 'backends' | 'workers',
  id: string,
): Promise<void> {
  for (const name of cell.names)
    await cell.waitFor(`${id} leaving at ${name}`, async () => {
      const reply = await cell.requestOperatorsApi(name, 'GET', `/${path}`);
      const vms = (reply?.json[path] ?? []) as { id: string; state: string }[];
      return vms.find((vm) => vm.id === id)?.state === 'leaving';
    });
}

function countExecutions(cell: cells.Cell, id: string): number {
  const server = cell.platform.getBackend(id)!.getAudit();
  return Object.values(server.executions).reduce((sum, each) => sum + each, 0);
}

vitest.test(
  'sends no new requests to a leaving backend server and no new tasks to a leaving worker (guards P6)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const load = new loads.Load(cell, { seed: 601 });
      load.start();
      const worker = cell.platform.getWorker('general-1')!;
      await cell.waitFor('work on the worker and both backend servers', () =>
        Promise.resolve(
          countExecutions(cell, 'quotes-1') > 5 &&
            countExecutions(cell, 'orders-1') > 2 &&
            worker.getAudit().starts > 2,
        ),
      );
      cell.platform.vmList!.applyControl({
        set: {
          'quotes-1': 'leaving',
          'orders-1': 'leaving',
          'general-1': 'leaving',
        },
      });
      await waitForLeaving(cell, 'backends', 'quotes-1');
      await waitForLeaving(cell, 'backends', 'orders-1');
      await waitForLeaving(cell, 'workers', 'general-1');
      // Once later calls are answered, all work that was assigned before the change has been sent.
      await load.waitFor('quote', 'done', 20);
      await load.waitFor('order', 'done', 10);
      await load.waitFor('job', 'done', 5);
      const countWork = () => [
        countExecutions(cell, 'quotes-1'),
        countExecutions(cell, 'orders-1'),
        worker.getAudit().starts,
      ];
      const before = countWork();
      await load.waitFor('quote', 'done', 60);
      await load.waitFor('order', 'done', 30);
      await load.waitFor('job', 'done', 20);
      vitest.expect(countWork()).toEqual(before);
      await load.stop();
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    });
  },
);
