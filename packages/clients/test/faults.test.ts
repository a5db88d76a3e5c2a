/**
 * Random faults of the log service with two writers and one reader, in virtual time. Checks
 * that append outcomes are correct for any order of lost, refused and slow requests.
 */
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';

type Random = (max: number) => number;

function createRandom(seed: number): Random {
  const generator = generators.xoroshiro128plus(seed);
  return (max) => uniform.uniformInt(generator, 0, max);
}

/** Creates an in-memory log that randomly delays or refuses requests or loses their replies. */
function createLog(timers: core.TimerService, random: Random) {
  const stored: core.records.LogRecord<unknown>[] = [];
  const state = { faulty: true };
  const createClient = (): clients.LogClient => {
    let inFlight = 0;
    return {
      async append(_, records, timeoutMs) {
        inFlight += 1;
        vitest.expect(inFlight).toBe(1);
        const fault = state.faulty ? random(6) : 0;
        await core.waitFor(timers, 'append', random(fault === 5 ? 500 : 10));
        inFlight -= 1;
        const cause = new Error('fault');
        if (fault === 1) return { reply: 'not-appended', cause };
        if (fault === 2) return { reply: 'lost', cause };
        const first = stored.length;
        records.forEach(({ id, body }, at) => {
          stored.push({ offset: first + at, id, body });
        });
        if (fault === 3) return { reply: 'lost', cause };
        if (fault === 4) {
          inFlight += 1;
          await core.waitFor(timers, 'lost', timeoutMs);
          inFlight -= 1;
          return { reply: 'lost', cause };
        }
        return { reply: 'appended', first };
      },
      async readPage(_, from, max, waitMs) {
        const delayMs = stored.length > from ? random(20) : waitMs;
        await core.waitFor(timers, 'read', Math.min(delayMs, 50));
        if (state.faulty && random(3) === 0) throw new Error('fault');
        const records = stored.slice(from, from + max);
        return { oldest: 0, next: stored.length, records };
      },
      close: () => Promise.resolve(),
    };
  };
  return { stored, state, createClient };
}

async function advance(timers: core.VirtualTimers, byMs: number) {
  timers.advance(byMs);
  await new Promise((resolve) => setImmediate(resolve));
}

interface SentRecord {
  readonly body: number;
  readonly writer: number;
  outcome?: clients.AppendOutcome;
}

async function runWithFaults(seed: number) {
  const random = createRandom(seed);
  const timers = core.createVirtualTimers(1_000);
  const log = createLog(timers, random);
  const writers = [0, 1].map(() =>
    clients.createStreams({
      log: log.createClient(),
      timers,
      bufferRecords: 20,
      random: () => random(1_000) / 1_000,
    }),
  );
  const reads = writers.map((streams) => {
    const read: core.records.LogRecord<number>[] = [];
    // Only the first process reads, so that confirmation by reading and by reply are both covered.
    if (streams === writers[0])
      void streams
        .open<number>('jobs')
        .records.observe((record) => read.push(record));
    return read;
  });
  const sent: SentRecord[] = [];
  for (let step = 0; step < 600; step += 1) {
    const record: SentRecord = { body: step, writer: random(1) };
    sent.push(record);
    void writers[record.writer]!.append('jobs', step, {
      flush: random(1) === 0 ? 'now' : 'grouped',
      ...(random(2) === 0 ? { giveUpMs: random(400) } : {}),
    }).then((outcome) => (record.outcome = outcome));
    await advance(timers, random(40));
  }
  log.state.faulty = false;
  for (let turn = 0; turn < 2_000; turn += 1) await advance(timers, 50);
  return { sent, read: reads[0]!, stored: log.stored };
}

vitest.test.each([1, 2, 3, 4, 5, 6, 7, 8])(
  'reports append outcomes that agree with the records read, with random faults of the log, seed %i',
  async (seed) => {
    const { sent, read, stored } = await runWithFaults(seed);
    const offsets = new Map(read.map((each) => [each.body, each.offset]));
    // A duplicate record delivered to observers would run a job twice.
    vitest.expect(offsets.size).toBe(read.length);
    vitest
      .expect(new Set(stored.map((each) => each.body)))
      .toEqual(new Set(offsets.keys()));
    const counts = { appended: 0, 'not-appended': 0, unknown: 0 };
    for (const { body, writer, outcome } of sent) {
      vitest.expect(outcome, `record ${body}`).toBeDefined();
      counts[outcome!.outcome] += 1;
      if (outcome!.outcome === 'appended')
        vitest.expect(offsets.has(body), `record ${body}`).toBe(true);
      if (outcome!.outcome === 'not-appended')
        vitest.expect(offsets.has(body), `record ${body}`).toBe(false);
      // The writer whose process also reads gets the offset at which all readers see the record.
      if (outcome!.outcome === 'appended' && writer === 0)
        vitest.expect(outcome!.offset).toBe(offsets.get(body));
    }
    // Without each kind of outcome, the run wouldn't cover what it is meant to check.
    vitest.expect(Object.values(counts).every((count) => count > 0)).toBe(true);
  },
);
