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
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    });
  },
);

vitest.test(
  'the same order at all processes at once, and a killed owner: each runs at most once (guards P5)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const owner = (await cell.findOwner('service/order@muscat'))!;
      const count = (key: string) =>
        cell.platform
          .readAudit()
          .backends.reduce((sum, each) => sum + (each.executions[key] ?? 0), 0);
      const send = (name: string, key: string) =>
        cell.requestCallersApi(
          name,
          'POST',
          '/services/order/run',
          { 'idempotency-key': key, 'x-standin-token': key },
          JSON.stringify({ workMs: 60, responseBytes: 10 }),
        );
      for (let round = 1; round <= 30; round += 1) {
        const key = `same-${round}`;
        const open = cell.names.map((name) => send(name, key));
        if (round === 15) cell.signal(owner, 'SIGKILL');
        const answers = (await Promise.all(open)).map((each) => each?.answer);
        vitest.expect(count(key)).toBeLessThanOrEqual(1);
        if (answers.includes('done')) vitest.expect(count(key)).toBe(1);
        // Without the killed process all are told the same.
        if (round < 15)
          vitest.expect(answers).toEqual(['done', 'done', 'done']);
      }
    });
  },
);
