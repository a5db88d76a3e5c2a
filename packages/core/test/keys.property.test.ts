/**
 * Property test of the idempotency key table: three processes, each with its own table
 * folded from one log, under lost replies, late and repeated records and restarts.
 * Guards against a request being sent twice and against processes that disagree.
 */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as flamingoward from '@flamingoward/core';

type KeyRecord = core.records.KeyRecord;

const createIntent = (
  key: string,
  attempt: string,
  instance = 'p',
): KeyRecord => ({ type: 'intent', key, service: 'desk', attempt, instance });

const createOutcome = (
  key: string,
  attempt: string,
  outcome: core.records.KeyOutcome,
): KeyRecord => ({ type: 'outcome', key, attempt, outcome });

const options: core.KeyTableOptions = {
  retentionMs: 60_000,
  maxKeys: 100,
  maxBodyBytes: 1_000,
};

const action = fc.record({
  do: fc.constantFrom(
    ...([
      'start',
      'start',
      'append',
      'append',
      'append',
      'repeat',
      'read',
    ] as const),
    ...(['read', 'send', 'send', 'send', 'withdraw', 'restart'] as const),
  ),
  process: fc.integer({ min: 0, max: 2 }),
  key: fc.integer({ min: 0, max: 1 }),
  pick: fc.nat(100),
});

interface Attempt {
  readonly key: string;
  readonly id: string;
  state: 'pending' | 'sent' | 'withdrawn';
}

interface Process {
  table: core.KeyTable;
  nextOffset: number;
  incarnation: number;
  attempts: Attempt[];
}

function createSimulation() {
  const log: core.records.LogRecord<KeyRecord>[] = [];
  // Appends without a reply; each may still reach the log, late and in any order.
  const inFlight: KeyRecord[] = [];
  const sends = new Map<string, string[]>();
  const withdrawn = new Set<string>();
  const processes: Process[] = [0, 1, 2].map(() => ({
    table: flamingoward.createKeyTable(options),
    nextOffset: 0,
    incarnation: 0,
    attempts: [],
  }));
  let nextAttempt = 0;

  function append(body: KeyRecord) {
    const offset = log.length;
    log.push({ offset, id: String(offset), body });
  }

  function applyUpTo(process: Process, upTo: number) {
    while (process.nextOffset < upTo) {
      process.table.applyKeyRecord(log[process.nextOffset]!, 0);
      process.nextOffset += 1;
    }
  }

  function startAttempt(process: Process, index: number, key: string) {
    nextAttempt += 1;
    const id = `a${nextAttempt}`;
    process.attempts.push({ key, id, state: 'pending' });
    const instance = `p${index}.${process.incarnation}`;
    inFlight.push(createIntent(key, id, instance));
  }

  /** Sends the request and records the outcome if the process's own table has its attempt as the winner. */
  function sendAsWinner(process: Process, pick: number) {
    const pending = process.attempts.filter((one) => one.state === 'pending');
    const attempt = pending[pick % Math.max(1, pending.length)];
    if (attempt === undefined) return;
    const { key, id } = attempt;
    const state = process.table.getKeyState(key);
    if (!process.table.isWinner(key, id) || state.state !== 'open') return;
    attempt.state = 'sent';
    vitest.expect(withdrawn.has(id)).toBe(false);
    sends.set(key, [...(sends.get(key) ?? []), id]);
    const outcome: core.records.KeyOutcome =
      pick % 3 === 0
        ? { outcome: 'unknown' }
        : { outcome: 'done', status: 200, contentType: 'text/plain', body: id };
    inFlight.push(createOutcome(key, id, outcome));
  }

  function withdrawAttempt(process: Process, pick: number) {
    const pending = process.attempts.filter((one) => one.state === 'pending');
    const attempt = pending[pick % Math.max(1, pending.length)];
    if (attempt === undefined) return;
    attempt.state = 'withdrawn';
    withdrawn.add(attempt.id);
    inFlight.push(
      createOutcome(attempt.key, attempt.id, { outcome: 'not-run' }),
    );
  }

  function checkInvariants() {
    for (const process of processes)
      for (const key of ['k0', 'k1']) {
        const sent = sends.get(key) ?? [];
        vitest.expect(sent.length, `sends of ${key}`).toBeLessThan(2);
        const state = process.table.getKeyState(key);
        if (state.state !== 'ended') continue;
        vitest.expect(state.attempt).toBe(sent[0]);
        if (state.outcome.outcome === 'done')
          vitest.expect(state.outcome.body).toBe(sent[0]);
      }
  }

  function step({ do: what, process: index, key, pick }: Action) {
    const process = processes[index]!;
    switch (what) {
      case 'start':
        startAttempt(process, index, `k${key}`);
        break;
      case 'append': {
        const [body] = inFlight.splice(pick % Math.max(1, inFlight.length), 1);
        if (body !== undefined) append(body);
        break;
      }
      case 'repeat': {
        const record = log[pick % Math.max(1, log.length)];
        if (record !== undefined) append(record.body);
        break;
      }
      case 'read':
        applyUpTo(
          process,
          Math.min(log.length, process.nextOffset + 1 + (pick % 4)),
        );
        break;
      case 'send':
        sendAsWinner(process, pick);
        break;
      case 'withdraw':
        withdrawAttempt(process, pick);
        break;
      case 'restart':
        process.table = flamingoward.createKeyTable(options);
        process.nextOffset = 0;
        process.incarnation += 1;
        process.attempts = [];
        break;
    }
    checkInvariants();
  }

  /** Lets all processes read the whole log, and checks that their tables agree. */
  function compareTables() {
    for (const body of inFlight) append(body);
    for (const process of processes) applyUpTo(process, log.length);
    checkInvariants();
    const [first, ...others] = processes.map((process) =>
      ['k0', 'k1'].map((key) => process.table.getKeyState(key)),
    );
    for (const other of others) vitest.expect(other).toEqual(first);
    // A key whose winner has withdrawn would stay open forever.
    for (const state of first ?? [])
      if (state.state === 'open')
        vitest.expect(withdrawn.has(state.attempt)).toBe(false);
  }

  return { step, compareTables };
}

type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

vitest.test(
  'sends a request at most once per key whatever the order of records and restarts (guards P5)',
  () => {
    fc.assert(
      fc.property(
        fc.array(action, { minLength: 1, maxLength: 80, size: 'max' }),
        (actions) => {
          const simulation = createSimulation();
          for (const one of actions) simulation.step(one);
          simulation.compareTables();
        },
      ),
      { seed: 20261204, numRuns: 800 },
    );
  },
);

vitest.test(
  'a withdrawn intent frees its key, and the memory for keys and bodies stays bounded (guards memory)',
  () => {
    const table = flamingoward.createKeyTable({
      retentionMs: 1_000,
      maxKeys: 3,
      maxBodyBytes: 10,
    });
    const put = (body: KeyRecord, nowMs: number) => {
      table.applyKeyRecord({ offset: 0, id: '', body }, nowMs);
    };
    put(createIntent('k', 'a'), 0);
    put(createIntent('k', 'b'), 0);
    put(createOutcome('k', 'a', { outcome: 'not-run' }), 0);
    vitest.expect(table.isWinner('k', 'b')).toBe(true);
    for (const [index, key] of ['x', 'y'].entries()) {
      put(createIntent(key, key), 500);
      const outcome = {
        outcome: 'done',
        status: 201,
        contentType: 'a/b',
        body: `body-${index}`,
      } as const;
      put(createOutcome(key, key, outcome), 500);
    }
    vitest
      .expect(table.getKeyState('x'))
      .toMatchObject({ outcome: { outcome: 'done', status: 201 } });
    vitest
      .expect(JSON.stringify(table.getKeyState('x')))
      .not.toContain('body-0');
    vitest.expect(JSON.stringify(table.getKeyState('y'))).toContain('body-1');
    vitest.expect(table.isFull()).toBe(true);
    table.sweep(1_200);
    vitest.expect(table.getKeyState('k')).toEqual({ state: 'free' });
    vitest.expect(table.getSize()).toBe(2);
  },
);
