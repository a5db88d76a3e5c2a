/** What is closed or refused when connections, requests or bodies exceed their limits. */
import * as vitest from 'vitest';
import * as intake from '../src/intake.js';
import * as machineLimits from '../src/limits.js';

const limits: machineLimits.IntakeLimits = {
  maxConnections: 3,
  maxRequests: 2,
  maxPipelined: 2,
  maxBodiesBytes: 100,
  maxUnreadBytes: 1_000,
  bodyTimeoutMs: 1_000,
};
const timeouts = { headerMs: 300, idleMs: 2_000 };

/** Creates an intake with connections a, b and c, opened at 0, 1 and 2 ms. */
function createFull(chosen: Partial<machineLimits.IntakeLimits> = {}) {
  const readBytes = new Map<string, number>();
  const tables = intake.createIntake<string>(
    { ...limits, ...chosen },
    (connection) => readBytes.get(connection) ?? 0,
  );
  for (const [at, connection] of ['a', 'b', 'c'].entries())
    tables.openConnection(connection, at);
  function begin(connection: string, nowMs: number) {
    const request = tables.beginRequest(connection, nowMs);
    if (typeof request === 'string') throw new Error(request);
    return request;
  }
  return { tables, readBytes, begin };
}

vitest.describe('a new connection beyond the limit', () => {
  vitest.it(
    'takes the place of the longest idle one, then of the oldest incomplete body, and is refused after that',
    () => {
      const { tables, begin } = createFull({ maxRequests: 10 });
      begin('a', 10);
      const handled = begin('c', 11);
      tables.completeBody(handled);
      vitest.expect(tables.openConnection('d', 12)).toEqual({
        accepted: true,
        closing: [{ connection: 'b', reason: 'idle' }],
      });
      tables.completeBody(begin('d', 13));
      vitest.expect(tables.openConnection('e', 14)).toEqual({
        accepted: true,
        closing: [{ connection: 'a', reason: 'body' }],
      });
      tables.completeBody(begin('e', 15));
      vitest
        .expect(tables.openConnection('f', 16))
        .toEqual({ accepted: false, closing: [] });
      tables.endRequest(handled, 17);
      vitest
        .expect(tables.openConnection('g', 18).closing)
        .toEqual([{ connection: 'c', reason: 'idle' }]);
    },
  );
});

vitest.describe('a body beyond the limit', () => {
  vitest.it(
    'takes the place of the oldest incomplete ones, and is refused when the others are being handled',
    () => {
      const { tables, begin } = createFull({ maxRequests: 10 });
      const first = begin('a', 10);
      const second = begin('b', 11);
      const third = begin('c', 12);
      tables.reserveBody(first, 40);
      tables.reserveBody(second, 40);
      vitest.expect(tables.reserveBody(third, 60)).toEqual({
        granted: true,
        closing: [{ connection: 'a', reason: 'body' }],
      });
      tables.completeBody(third);
      vitest
        .expect(tables.reserveBody(second, 41))
        .toEqual({ granted: false, closing: [] });
      tables.closeConnection('c');
      vitest.expect(tables.count().bodiesBytes).toBe(100);
      tables.endRequest(third, 13);
      vitest.expect(tables.reserveBody(second, 41).granted).toBe(true);
    },
  );
});

vitest.describe('requests', () => {
  vitest.it(
    'are refused beyond the limit of all connections, and close their own beyond its limit',
    () => {
      const { tables, begin } = createFull();
      begin('a', 10);
      begin('a', 11);
      vitest.expect(tables.beginRequest('a', 12)).toBe('pipelined');
      vitest.expect(tables.beginRequest('b', 13)).toBe('overloaded');
      tables.closeConnection('a');
      vitest.expect(tables.count().requests).toBe(0);
      vitest.expect(tables.beginRequest('b', 14)).not.toBeTypeOf('string');
    },
  );

  vitest.it(
    'still count for their connection while their answers are unread (guards against answers that fill the memory)',
    () => {
      const { tables, begin } = createFull();
      for (let count = 0; count < 2; count += 1) {
        const request = begin('a', 10);
        tables.completeBody(request);
        tables.endRequest(request, 10);
      }
      vitest.expect(tables.beginRequest('a', 11)).toBe('pipelined');
      tables.recordWritten('a', 0);
      vitest.expect(tables.beginRequest('a', 12)).not.toBe('pipelined');
    },
  );
});

vitest.describe('a connection whose time is over', () => {
  vitest.it(
    'isn’t one that has sent an empty line after its body (guards against keep-alive connections that are closed while their next request is on its way)',
    () => {
      const { tables, readBytes, begin } = createFull();
      const request = begin('a', 10);
      tables.completeBody(request);
      tables.endRequest(request, 20);
      // RFC 9112, section 2.2: some old clients do so, and servers should ignore it.
      readBytes.set('a', 2);
      vitest.expect(tables.listExpired(500, timeouts)).toEqual([]);
      vitest.expect(tables.listExpired(1_900, timeouts)).toEqual([]);
      vitest
        .expect(tables.listExpired(2_020, timeouts))
        .toContainEqual({ connection: 'a', reason: 'idle-timeout' });
    },
  );

  vitest.it(
    'is closed: without a request, with an incomplete header or an incomplete body',
    () => {
      const { tables, readBytes, begin } = createFull();
      begin('a', 10);
      vitest.expect(tables.listExpired(500, timeouts)).toEqual([]);
      readBytes.set('b', 5);
      vitest.expect(tables.listExpired(600, timeouts)).toEqual([]);
      vitest
        .expect(tables.listExpired(900, timeouts))
        .toEqual([{ connection: 'b', reason: 'header-timeout' }]);
      tables.closeConnection('b');
      vitest
        .expect(tables.listExpired(1_010, timeouts))
        .toEqual([{ connection: 'a', reason: 'body-timeout' }]);
      tables.closeConnection('a');
      vitest
        .expect(tables.listExpired(2_002, timeouts))
        .toEqual([{ connection: 'c', reason: 'idle-timeout' }]);
    },
  );
});

vitest.describe('answers that clients do not read', () => {
  vitest.it(
    'cost the connection with the oldest of them its place, never the one that got the last (guards against memory that grows with the answers)',
    () => {
      const { tables } = createFull();
      vitest.expect(tables.addUnread('b', 600)).toEqual([]);
      vitest.expect(tables.addUnread('a', 400)).toEqual([]);
      vitest
        .expect(tables.addUnread('c', 300))
        .toEqual([{ connection: 'b', reason: 'unread' }]);
      tables.recordWritten('a', 400);
      vitest.expect(tables.addUnread('c', 700)).toEqual([]);
      vitest.expect(tables.addUnread('c', 5_000)).toEqual([]);
      tables.recordWritten('c', 6_000);
      vitest.expect(tables.addUnread('a', 1_000)).toEqual([]);
    },
  );
});

vitest.describe('a request that waits for the one before it', () => {
  vitest.it(
    'is shed neither for its body nor in time, counts as a request, and goes with its connection (guards against answers that are lost with it)',
    () => {
      const { tables } = createFull();
      const first = tables.beginRequest('a', 10);
      const second = tables.beginRequest('a', 10);
      if (typeof first === 'string' || typeof second === 'string')
        throw new Error('the requests were not accepted');
      tables.completeBody(first);
      tables.queueRequest(second);
      vitest.expect(tables.listExpired(1_500, timeouts)).toEqual([]);
      vitest.expect(tables.count()).toMatchObject({ requests: 2 });
      tables.resumeRequest(second, 1_500);
      vitest.expect(tables.listExpired(2_000, timeouts)).toEqual([]);
      tables.queueRequest(second);
      tables.closeConnection('a');
      vitest.expect(tables.count()).toMatchObject({ requests: 1 });
      tables.endRequest(first, 2_000);
      vitest.expect(tables.count()).toMatchObject({ requests: 0 });
    },
  );
});

vitest.describe('the limits of a machine', () => {
  vitest.it(
    'leave most descriptors to outgoing connections, and room for some hundred callers',
    () => {
      for (const [memoryMb, maxDescriptors, maxConnections] of [
        [250, 4_100, 975],
        [602, 8_192, 1_998],
        [250, 8_192, 1_600],
      ] as const)
        vitest
          .expect(
            machineLimits.computeIntakeLimits({ memoryMb, maxDescriptors })
              .maxConnections,
          )
          .toBe(maxConnections);
    },
  );
});
