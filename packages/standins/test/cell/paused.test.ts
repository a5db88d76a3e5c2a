/** The owner of a shard is paused for longer than every lease term, replaced, and resumed while it still considers itself the owner. */
import * as standins from '@flamingoward/standins';
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

/** Longer than the lease term with its margin, which is the longest of all terms. */
const PAUSE_MS = 18_000;

vitest.test.concurrent.each(['service/order@muscat', 'workers/muscat'])(
  'SIGSTOP of the owner of %s, take-over by another process, SIGCONT: commands of the resumed owner have no effect (guards P1, P2, P4, P5)',
  async (shard) => {
    const test = `SIGSTOP of the owner of ${shard}`;
    await cells.runKnownRed(test, () =>
      cells.runCell({}, async (cell) => {
        let paused: string | undefined;
        const load = new loads.Load(cell, {
          seed: 202,
          targets: () => cell.running.filter((name) => name !== paused),
        });
        load.start();
        await load.waitFor('order', 'done', 20);
        await load.waitFor('job', 'done', 10);
        const owner = (await cell.findOwner(shard))!;
        // Callers whose calls it has accepted stay connected during the pause.
        cell.signal(owner, 'SIGSTOP');
        paused = owner;
        const others = cell.names.filter((name) => name !== owner);
        await cell.waitFor(
          `another owner of ${shard}`,
          async () => (await cell.findOwner(shard, others)) !== undefined,
        );
        await load.waitFor('order', 'done', 20);
        await load.waitFor('job', 'done', 10);
        await standins.waitMs(PAUSE_MS);
        const successor = await cell.findOwner(shard, others);
        cell.signal(owner, 'SIGCONT');
        paused = undefined;
        await cell.waitFor(
          `${owner} to lose its ownership`,
          async () => (await cell.findOwner(shard)) === successor,
        );
        await load.waitFor('order', 'done', 30);
        await load.waitFor('job', 'done', 10);
        await load.stop();
        vitest.expect(await cell.findOwner(shard)).toBe(successor);
        vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
      }),
    );
  },
);
