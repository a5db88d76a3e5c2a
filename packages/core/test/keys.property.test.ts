/**
 * Idempotency keys under random interleavings: several processes, lost replies,
 * late and repeated records, restarts. Each process folds the log by itself.
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
    ...(['try', 'try', 'land', 'land', 'land', 'repeat', 'read'] as const),
    ...(['read', 'act', 'act', 'act', 'give up', 'restart'] as const),
  ),
  process: fc.integer({ min: 0, max: 2 }),
  key: fc.integer({ min: 0, max: 1 }),
  pick: fc.nat(100),
});

interface Attempt {
  readonly key: string;
  readonly id: string;
  state: 'trying' | 'sent' | 'gone';
}

interface Process {
  table: core.KeyTable;
  next: number;
  run: number;
  attempts: Attempt[];
}

function createWorld() {
  const log: core.records.LogRecord<KeyRecord>[] = [];
  // Appends whose reply was lost and that may still reach the log.
  const inFlight: KeyRecord[] = [];
  const sends = new Map<string, string[]>();
  const withdrawn = new Set<string>();
  const processes: Process[] = [0, 1, 2].map(() => ({
    table: flamingoward.createKeyTable(options),
    next: 0,
    run: 0,
    attempts: [],
  }));
  let nextAttempt = 0;

  function land(body: KeyRecord) {
    const offset = log.length;
    log.push({ offset, id: String(offset), body });
  }

  function read(process: Process, upTo: number) {
    while (process.next < upTo) {
      process.table.applyKeyRecord(log[process.next]!, 0);
      process.next += 1;
    }
  }

  function start(process: Process, index: number, key: string) {
    nextAttempt += 1;
    const id = `a${nextAttempt}`;
    process.attempts.push({ key, id, state: 'trying' });
    const instance = `p${index}.${process.run}`;
    inFlight.push(createIntent(key, id, instance));
  }

  /** The winner sends once and records; only a process that reads itself as winner sends. */
  function act(process: Process, pick: number) {
    const trying = process.attempts.filter((one) => one.state === 'trying');
    const attempt = trying[pick % Math.max(1, trying.length)];
    if (attempt === undefined) return;
    const { key, id } = attempt;
    const state = process.table.readKey(key);
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

  function giveUp(process: Process, pick: number) {
    const trying = process.attempts.filter((one) => one.state === 'trying');
    const attempt = trying[pick % Math.max(1, trying.length)];
    if (attempt === undefined) return;
    attempt.state = 'gone';
    withdrawn.add(attempt.id);
    inFlight.push(
      createOutcome(attempt.key, attempt.id, { outcome: 'not-run' }),
    );
  }

  function check() {
    for (const process of processes)
      for (const key of ['k0', 'k1']) {
        const sent = sends.get(key) ?? [];
        vitest.expect(sent.length, `sends of ${key}`).toBeLessThan(2);
        const state = process.table.readKey(key);
        if (state.state !== 'ended') continue;
        vitest.expect(state.attempt).toBe(sent[0]);
        if (state.outcome.outcome === 'done')
          vitest.expect(state.outcome.body).toBe(sent[0]);
      }
  }

  function step({ do: what, process: index, key, pick }: Action) {
    const process = processes[index]!;
    switch (what) {
      case 'try':
        start(process, index, `k${key}`);
        break;
      case 'land': {
        const [body] = inFlight.splice(pick % Math.max(1, inFlight.length), 1);
        if (body !== undefined) land(body);
        break;
      }
      case 'repeat': {
        const record = log[pick % Math.max(1, log.length)];
        if (record !== undefined) land(record.body);
        break;
      }
      case 'read':
        read(process, Math.min(log.length, process.next + 1 + (pick % 4)));
        break;
      case 'act':
        act(process, pick);
        break;
      case 'give up':
        giveUp(process, pick);
        break;
      case 'restart':
        process.table = flamingoward.createKeyTable(options);
        process.next = 0;
        process.run += 1;
        process.attempts = [];
        break;
    }
    check();
  }

  /** All processes read everything; then they have to agree. */
  function compare() {
    for (const body of inFlight) land(body);
    for (const process of processes) read(process, log.length);
    check();
    const [first, ...others] = processes.map((process) =>
      ['k0', 'k1'].map((key) => process.table.readKey(key)),
    );
    for (const other of others) vitest.expect(other).toEqual(first);
    // A key whose winner withdrew would stay open for good.
    for (const state of first ?? [])
      if (state.state === 'open')
        vitest.expect(withdrawn.has(state.attempt)).toBe(false);
  }

  return { step, compare };
}

type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

vitest.test(
  'a key is sent at most once whatever the order of records and restarts (guards P5)',
  () => {
    fc.assert(
      fc.property(
        fc.array(action, { minLength: 1, maxLength: 80, size: 'max' }),
        (actions) => {
          const world = createWorld();
          for (const one of actions) world.step(one);
          world.compare();
        },
      ),
      { seed: 20261204, numRuns: 800 },
    );
  },
);

vitest.test(
  'a withdrawn intent frees the key and bodies and keys stay bounded (guards memory)',
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
      .expect(table.readKey('x'))
      .toMatchObject({ outcome: { outcome: 'done', status: 201 } });
    vitest.expect(JSON.stringify(table.readKey('x'))).not.toContain('body-0');
    vitest.expect(JSON.stringify(table.readKey('y'))).toContain('body-1');
    vitest.expect(table.isFull()).toBe(true);
    table.sweep(1_200);
    vitest.expect(table.readKey('k')).toEqual({ state: 'free' });
    vitest.expect(table.readSize()).toBe(2);
  },
);
