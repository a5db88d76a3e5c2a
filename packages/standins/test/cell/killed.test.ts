/** The owner of a shard ends without warning, under load. */
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

vitest.test.each(['service/order@muscat', 'workers/muscat'])(
  'SIGKILL of the owner of %s: true answers, nothing lost or doubled (guards P1-P5)',
  async (shard) => {
    await cells.runCell({}, async (cell) => {
      const load = new loads.Load(cell, { seed: 101 });
      load.start();
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      const owner = await cell.findOwner(shard);
      vitest.expect(owner).toBeDefined();
      cell.signal(owner!, 'SIGKILL');
      await cell.waitForExit(owner!);
      await cell.waitForOwners();
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      // The replacement has the same name and address, and another instance.
      await cell.startProcess(owner!);
      await load.waitFor('quote', 'done', 30);
      await load.stop();
      vitest.expect(await checks.listFaults(cell, load)).toEqual([]);
    });
  },
);
