/**
 * Publication of releases: concurrent and repeated publications, lost replies of the log,
 * and how a new process gets the release in force when the log doesn't answer.
 */
import * as standins from '@flamingoward/standins';
import * as vitest from 'vitest';
import * as cells from './cell.js';

async function readHistory(cell: cells.Cell, name: string): Promise<unknown> {
  const reply = await cell.requestOperatorsApi(name, 'GET', '/releases');
  return reply?.json.history;
}

async function expectSameHistory(cell: cells.Cell): Promise<void> {
  const [first, ...rest] = await Promise.all(
    cell.names.map((name) => readHistory(cell, name)),
  );
  vitest.expect(first).toBeDefined();
  for (const other of rest) vitest.expect(other).toEqual(first);
}

vitest.test(
  'two concurrent publications on the same base: one is adopted, the other is refused with the id of the adopted one (guards P8)',
  async () => {
    await cells.runCell({}, async (cell) => {
      let base = 'r1';
      for (let round = 1; round <= 8; round += 1) {
        const ids = [`a${round}`, `b${round}`];
        // Different delays of the log vary the order in which the two appends arrive.
        cell.platform.log.setFaults({ slowMs: (round % 4) * 20 });
        const replies = await Promise.all(
          ids.map((id, at) =>
            cell.publish(
              cell.names[(round + at) % 3]!,
              cells.formatRelease(id, base, round + at / 2),
            ),
          ),
        );
        const adopted = replies.findIndex((reply) => reply?.status === 200);
        const refused = replies.find((reply) => reply?.status === 409);
        vitest
          .expect(replies.map((reply) => reply?.status).sort())
          .toEqual([200, 409]);
        const winner = ids[adopted]!;
        vitest.expect(JSON.stringify(refused?.json.verdict)).toContain(winner);
        await cell.waitForRelease(winner, cell.names);
        base = winner;
      }
      await expectSameHistory(cell);
    });
  },
);

vitest.test(
  'a publication whose log reply is lost is adopted once, and publishing it again is answered as a repeat (guards P8)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const text = cells.formatRelease('r2', 'r1', 2);
      cell.platform.log.setFaults({ loseReplies: 3 });
      const first = await cell.publish('p1', text);
      vitest.expect([200, 504]).toContain(first?.status);
      cell.platform.log.setFaults({});
      for (const name of cell.names) {
        const repeated = await cell.publish(name, text);
        vitest.expect(repeated?.status).toBe(200);
        vitest
          .expect(repeated?.json.verdict)
          .toMatchObject({ verdict: 'repeat' });
      }
      const otherContent = await cell.publish(
        'p2',
        cells.formatRelease('r2', 'r1', 3),
      );
      vitest.expect(otherContent?.status).toBeGreaterThanOrEqual(400);
      await cell.waitForRelease('r2', cell.names);
      await expectSameHistory(cell);
    });
  },
);

vitest.test(
  'a process that starts during a log outage gets the release in force from a ready peer (guards P8)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const second = cells.formatRelease('r2', 'r1', 2);
      vitest.expect((await cell.publish('p1', second))?.status).toBe(200);
      await cell.waitForRelease('r2', cell.names);
      cell.platform.log.setFaults({ outage: true });
      const refused = await cell.publish(
        'p2',
        cells.formatRelease('r3', 'r2', 3),
      );
      vitest.expect(refused?.status).toBe(503);
      vitest.expect(refused?.json.answer).toBe('not-run');
      cell.signal('p3', 'SIGKILL');
      await cell.waitForExit('p3');
      await cell.startProcess('p3');
      vitest
        .expect(await standins.hasRelease(cell.getDaemon('p3'), 'r2'))
        .toBe(true);
      cell.platform.log.setFaults({});
      await cell.waitForRelease('r2', cell.names);
      // The refused release is not in the log, so its base is still in force.
      const third = await cell.publish(
        'p3',
        cells.formatRelease('r3b', 'r2', 4),
      );
      vitest.expect(third?.status).toBe(200);
      await cell.waitForRelease('r3b', cell.names);
      await expectSameHistory(cell);
    });
  },
);

vitest.test(
  'a process that starts without the log and without a ready peer is not ready until it has the latest release (guards P8)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const second = cells.formatRelease('r2', 'r1', 2);
      vitest.expect((await cell.publish('p1', second))?.status).toBe(200);
      await cell.waitForRelease('r2', cell.names);
      cell.platform.log.setFaults({ outage: true });
      for (const name of cell.names) cell.signal(name, 'SIGKILL');
      for (const name of cell.names) await cell.waitForExit(name);
      cell.launch('p1');
      cell.launch('p2');
      for (let poll = 0; poll < 30; poll += 1) {
        for (const name of ['p1', 'p2'])
          vitest
            .expect(await standins.isReady(cell.getDaemon(name)))
            .toBe(false);
        await standins.waitMs(150);
      }
      cell.platform.log.setFaults({});
      for (const name of ['p1', 'p2']) {
        await cell.waitFor(`${name} ready`, () =>
          standins.isReady(cell.getDaemon(name)),
        );
        vitest
          .expect(await standins.hasRelease(cell.getDaemon(name), 'r2'))
          .toBe(true);
      }
    });
  },
);
