/**
 * One region is cut off from the other region and from the log, for longer than the time
 * after which the other region may take over its shards, and then reconnected.
 */
import * as standins from '@flamingoward/standins';
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

/** Longer than every lease term and than the time after which another region may take over the shards. */
const PARTITION_MS = 36_000;

const zones = {
  p1: 'muscat-a',
  p2: 'muscat-b',
  p3: 'sohar-a',
  p4: 'sohar-a',
};

const TITLE =
  'a region cut off from the log and the other region keeps serving its callers, and catches up after reconnecting (guards P1-P5, P8)';

vitest.test(TITLE, async () => {
  await cells.runKnownRed(TITLE, () =>
    cells.runCell({ zones, proxied: true }, async (cell) => {
      const load = new loads.Load(cell, { seed: 801, callers: 14 });
      load.start();
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      const interRegionLinks = [...cell.linkProxies]
        .filter(([pair]) => {
          const [from = '', to = ''] = pair.split('>');
          return cell.getRegion(from) !== cell.getRegion(to);
        })
        .map(([, proxy]) => proxy);
      const proxies = [
        ...interRegionLinks,
        cell.logProxies.get('p3')!,
        cell.logProxies.get('p4')!,
      ];
      load.phase = 'partition starting';
      for (const proxy of proxies) proxy.startPartition();
      await standins.waitMs(6_000);
      load.phase = 'partitioned';
      const published = await cell.publish(
        'p1',
        cells.formatRelease('r2', 'r1', 2),
      );
      vitest.expect(published?.status).toBe(200);
      await cell.waitForRelease('r2', ['p1', 'p2']);
      const refused = await cell.publish(
        'p3',
        cells.formatRelease('r3', 'r1', 3),
      );
      vitest.expect([503, 504]).toContain(refused?.status);
      await standins.waitMs(PARTITION_MS);
      load.phase = 'recovery';
      for (const proxy of proxies) proxy.endPartition();
      await cell.waitForRelease('r2', cell.names);
      await cell.waitForOwners();
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      await load.stop();
      const quotes = load
        .listTries('quote', 'partitioned')
        .filter(({ process }) => process === 'p3' || process === 'p4');
      const answers = new Set(quotes.map(({ reply }) => reply?.answer));
      vitest.expect([...answers]).toEqual(['done']);
      const orders = load
        .listTries('order', 'partitioned')
        .filter(({ process }) => process === 'p3' || process === 'p4');
      vitest
        .expect([...new Set(orders.map(({ reply }) => reply?.answer))])
        .toEqual(['not-run']);
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    }),
  );
});
