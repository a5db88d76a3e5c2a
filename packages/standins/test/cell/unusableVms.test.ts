/** VMs of the platform's list that can't be used, beside sound ones and a load. */
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

const place = {
  availabilityZone: 'muscat-a',
  region: 'muscat',
  rack: 'r',
  state: 'live',
} as const;

vitest.test(
  'VMs with addresses that no connection can be opened to are skipped, and the load goes on (guards P3-P5, and against faults of the list that nobody sees)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const load = new loads.Load(cell, { seed: 904 });
      load.start();
      const { vms } = cell.platform.vmList!.getList();
      const addresses = ['127.0.0.\ufffd:80', '127.0.0.1:99999', ':1', 'a b:1'];
      const roles = ['entry', 'worker', 'backend'] as const;
      const unusable = addresses.flatMap((address, at) =>
        roles.map((role) => ({
          ...place,
          id: `unusable-${role}-${at}`,
          role,
          address,
          ...(role === 'backend' ? { backend: 'order' } : {}),
          ...(role === 'worker'
            ? { size: { cores: 16, memoryMb: 32_768, gpus: 0 } }
            : {}),
        })),
      );
      cell.platform.vmList!.update([...vms, ...unusable]);
      await cell.waitFor('a line of each process', () =>
        Promise.resolve(
          cell.names.every((name) =>
            cell.readLog(name).includes('event=vm.skipped'),
          ),
        ),
      );
      await load.waitFor('order', 'done', 20);
      await load.stop();
      vitest.expect(cell.running).toEqual(cell.names);
      for (const name of cell.names)
        vitest
          .expect(cell.readLog(name).split('event=vm.skipped'))
          .toHaveLength(1 + unusable.length);
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    });
  },
);
