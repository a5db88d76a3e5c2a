/** Planned stops with SIGTERM under load: one process after another, all at once, and a stop that a second SIGTERM cuts short. */
import * as standins from '@flamingoward/standins';
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

/** Polls which processes report that they are ready, and offers them as targets for callers, as a load balancer does. */
class Balancer {
  targets: readonly string[];
  readonly #cell: cells.Cell;
  #isPolling = true;
  readonly #loop: Promise<void>;

  constructor(cell: cells.Cell) {
    this.#cell = cell;
    this.targets = cell.names;
    this.#loop = this.#poll();
  }

  async stop(): Promise<void> {
    this.#isPolling = false;
    await this.#loop;
  }

  async #poll(): Promise<void> {
    while (this.#isPolling) {
      const ready = await Promise.all(
        this.#cell.names.map((name) =>
          standins.isReady(this.#cell.getDaemon(name)),
        ),
      );
      const targets = this.#cell.names.filter((_, at) => ready[at]);
      if (targets.length > 0) this.targets = targets;
      await standins.waitMs(50);
    }
  }
}

const EACH_THEN_ALL_TITLE =
  'SIGTERM to each process in turn, then to all at once: no accepted work is lost, and every process exits with code 0 (guards P2-P5, P7)';

vitest.test(EACH_THEN_ALL_TITLE, async () => {
  await cells.runKnownRed(EACH_THEN_ALL_TITLE, () =>
    cells.runCell({}, async (cell) => {
      const balancer = new Balancer(cell);
      const load = new loads.Load(cell, {
        seed: 501,
        targets: () => balancer.targets,
      });
      load.start();
      await load.waitFor('order', 'done', 10);
      for (const name of cell.names) {
        cell.signal(name, 'SIGTERM');
        // Exit code 0: it stopped within its stop time; beyond it the code is 1.
        vitest.expect(await cell.waitForExit(name)).toBe(0);
        await load.waitFor('job', 'done', 5);
        await cell.startProcess(name);
        await load.waitFor('order', 'done', 10);
      }
      const broken = (['quote', 'order', 'job'] as const)
        .flatMap((kind) => load.listTries(kind, 'before'))
        .filter(({ reply }) => reply === undefined);
      vitest.expect(broken).toEqual([]);
      load.phase = 'stopping all';
      // With every process stopping, callers have no other process and may meet closed ports.
      for (const name of cell.names) cell.mayBreakConnections.add(name);
      for (const name of cell.names) cell.signal(name, 'SIGTERM');
      for (const name of cell.names)
        vitest.expect(await cell.waitForExit(name)).toBe(0);
      await Promise.all(cell.names.map((name) => cell.startProcess(name)));
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      await load.stop();
      await balancer.stop();
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    }),
  );
});

vitest.test(
  'a second SIGTERM ends a process at once without reporting its running orders as not run (guards P4, P5)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const load = new loads.Load(cell, { seed: 502 });
      load.start();
      await load.waitFor('order', 'done', 10);
      const name = (await cell.findOwner('service/order@muscat'))!;
      cell.mayBreakConnections.add(name);
      const pending = cell.requestCallersApi(
        name,
        'POST',
        '/services/order/run',
        { 'idempotency-key': 'long', 'x-standin-token': 'long' },
        JSON.stringify({ workMs: 1_800, responseBytes: 0 }),
      );
      await cell.waitFor('the execution of the long order', () =>
        Promise.resolve(
          cell.platform
            .getAudit()
            .backends.some((server) => server.executions.long === 1),
        ),
      );
      cell.signal(name, 'SIGTERM');
      await cell.waitFor(`${name} draining`, () =>
        Promise.resolve(cell.readLog(name).includes('process.draining')),
      );
      cell.signal(name, 'SIGTERM');
      vitest.expect(await cell.waitForExit(name)).toBe(1);
      vitest.expect((await pending)?.answer).not.toBe('not-run');
      await load.waitFor('order', 'done', 20);
      const other = cell.running[0]!;
      const key = await cell.requestCallersApi(other, 'GET', '/keys/long');
      vitest.expect(['open', 'unknown']).toContain(key?.json.state);
      const repeated = await cell.requestCallersApi(
        other,
        'POST',
        '/services/order/run',
        { 'idempotency-key': 'long', 'x-standin-token': 'long-again' },
        JSON.stringify({ workMs: 10, responseBytes: 0 }),
      );
      vitest.expect(repeated?.answer).toBe('unknown');
      await load.stop();
      const { backends } = cell.platform.getAudit();
      vitest
        .expect(backends.some((each) => 'long-again' in each.executions))
        .toBe(false);
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    });
  },
);
