/** Tests of the request path: tickets across processes, retries, idempotency keys and answers. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as fakes from './requests.fakes.js';

const { expect, test } = vitest;

/** Collects the values of promises in the order in which they resolve. */
function collect<Value>(promises: readonly Promise<Value>[]): Value[] {
  const values: Value[] = [];
  for (const promise of promises)
    void promise.then((value) => values.push(value));
  return values;
}

test('three processes share the slots of two servers and each caller gets its own answer (guards P1, P3)', async () => {
  const harness = fakes.createHarness(3, 2);
  harness.setOwner(0);
  await harness.run(5);
  const bodies = Array.from({ length: 24 }, (_, index) => `q${index}`);
  const answers = collect(
    bodies.map(async (body, index) => {
      const answer = await harness.ask(index % 3, body);
      return [`re:${body}`, fakes.getText(answer)] as const;
    }),
  );
  await harness.run(400);
  expect(answers).toHaveLength(24);
  for (const [expected, actual] of answers) expect(actual).toBe(expected);
  for (const server of harness.servers) expect(server.maxBusy).toBe(2);
});

test('a new owner counts the slots that its predecessor granted, and answers the asks that waited there (guards P1)', async () => {
  const harness = fakes.createHarness(3, 2);
  harness.setOwner(0);
  for (const server of harness.servers) server.takesMs = 150;
  await harness.run(5);
  const before = collect(
    ['a', 'b', 'c', 'd', 'e', 'f'].map((body) => harness.ask(1, body)),
  );
  await harness.run(20);
  // The old owner dies with requests of its own on the servers.
  harness.stop(0);
  harness.setOwner(2);
  const after = collect(['g', 'h'].map((body) => harness.ask(1, body)));
  await harness.run(700);
  expect([...before, ...after].map(fakes.getText).sort()).toEqual(
    'a b c d e f g h'.split(' ').map((body) => `re:${body}`),
  );
  for (const server of harness.servers) expect(server.maxBusy).toBe(2);
});

test('a ticket of the old owner that arrives after its holder reported to the new owner is void (guards P1)', async () => {
  const harness = fakes.createHarness(3, 1);
  harness.setOwner(0);
  for (const server of harness.servers) server.takesMs = 450;
  await harness.run(20);
  harness.state.answerMs = 300;
  void harness.ask(1, 'a');
  await harness.run(5);
  harness.state.answerMs = 3;
  harness.setOwner(2);
  for (const body of ['b', 'c']) void harness.ask(2, body);
  await harness.run(1_500);
  for (const server of harness.servers) {
    expect(server.runs.length).toBeGreaterThan(0);
    expect(server.maxBusy).toBe(1);
  }
});

// Guards against a status that doesn't show the held, unsent tickets of a process that is only silent.
test.each([100, 900])(
  'the slots of a silent owner that sends late are not granted again, and are free after its report (%i ms)',
  async (silentMs) => {
    const harness = fakes.createHarness(3, 1);
    harness.setOwner(0);
    await harness.run(20);
    harness.state.lateMs = 60;
    for (const server of harness.servers)
      Object.assign(server, { mode: 'late', takesMs: 150 });
    for (const body of ['a', 'b']) void harness.ask(0, body);
    await harness.run(5);
    for (const server of harness.servers) server.mode = 'ok';
    harness.setSilent(0, true);
    harness.setOwner(2);
    for (const body of ['c', 'd']) void harness.ask(2, body);
    await harness.run(silentMs);
    harness.setSilent(0, false);
    const later = collect(['e', 'f'].map((body) => harness.ask(2, body)));
    await harness.run(700);
    for (const server of harness.servers) expect(server.maxBusy).toBe(1);
    expect(later.map(fakes.getText).sort()).toEqual(['re:e', 're:f']);
  },
);

test('the slots of a silent owner that never reports are free once its last tickets have ended', async () => {
  const harness = fakes.createHarness(3, 1);
  harness.setOwner(0);
  await harness.run(20);
  harness.setSilent(0, true);
  harness.setOwner(2);
  await harness.run(3_500);
  const answers = collect([harness.ask(2, 'a')]);
  await harness.run(450);
  expect(harness.servers.map((server) => server.runs)).toEqual([[], []]);
  await harness.run(150);
  expect(answers.map(fakes.getText)).toEqual(['re:a']);
});

// Guards against 404 for a known service from a process that has just started (P3 of the planned stops).
test('a process that has not read the release in force answers not-run with 503 and when to try again', async () => {
  const harness = fakes.createHarness(1, 1);
  harness.setOwner(0);
  await harness.run(5);
  harness.state.releaseKnown = false;
  const answer = collect([harness.ask(0, 'a')]);
  await harness.run(100);
  expect(answer).toMatchObject([
    { answer: 'not-run', status: 503, retryAfterMs: 1_000 },
  ]);
  harness.state.releaseKnown = true;
  expect(await runOne(harness, 'a')).toEqual(['re:a']);
});

test('an idempotent request is retried on another server after a connection error, within the retry budget', async () => {
  const harness = fakes.createHarness(1, 8);
  harness.setOwner(0);
  await harness.run(5);
  const [first, second] = harness.servers;
  first!.mode = 'refuse';
  const [afterRefusal] = await runOne(harness, 'a');
  expect(afterRefusal).toBe('re:a');
  first!.mode = 'reset';
  const [afterReset] = await runOne(harness, 'b');
  expect(afterReset).toBe('re:b');
  // The budget is used up now, and a byte was sent, so the answer must not be `not-run`.
  second!.mode = 'reset';
  const [withoutBudget] = await runOne(harness, 'c');
  expect(withoutBudget).toBe('unknown');
});

async function runOne(
  harness: ReturnType<typeof fakes.createHarness>,
  body: string,
  key?: string,
): Promise<string[]> {
  const answers = collect([harness.ask(0, body, key)]);
  await harness.run(5_000);
  return answers.map(fakes.getText);
}

test('an answer over the size limit is not requested again, and its server stays in use', async () => {
  const harness = fakes.createHarness(1, 2);
  harness.setOwner(0);
  await harness.run(5);
  for (const server of harness.servers) server.mode = 'large';
  for (const body of ['a', 'b', 'c', 'd'])
    expect(await runOne(harness, body)).toEqual(['unknown']);
  expect(harness.servers.flatMap((server) => server.runs)).toHaveLength(4);
  for (const server of harness.servers) server.mode = 'ok';
  const answers = collect(
    ['e', 'f', 'g', 'h'].map((body) => harness.ask(0, body)),
  );
  await harness.run(30);
  expect(answers).toHaveLength(4);
});

test('a ticket whose term has ended at the owner is not used (guards P1, P4)', async () => {
  const harness = fakes.createHarness(2, 1);
  harness.setOwner(1);
  await harness.run(20);
  for (const server of harness.servers) server.mode = 'late';
  // The term is 1,000 ms from the grant; the write would follow 1,100 ms after it.
  harness.state.answerMs = 500;
  harness.state.lateMs = 600;
  expect(await runOne(harness, 'a')).toEqual(['not-run']);
  expect(harness.servers.flatMap((server) => server.runs)).toEqual([]);
  expect(harness.getProcess(0).journal.explain('r1')?.join()).toContain(
    'not-sent',
  );
});

test('the request of a caller that disconnects while it waits is never sent (guards P4)', async () => {
  const harness = fakes.createHarness(2, 1);
  harness.setOwner(0);
  await harness.run(5);
  const caller = new AbortController();
  collect(['a', 'b'].map((body) => harness.ask(1, body)));
  const answers = collect([harness.ask(1, 'c', undefined, caller.signal)]);
  await harness.run(10);
  caller.abort();
  await harness.run(200);
  expect(answers[0]).toMatchObject({ answer: 'not-run' });
  expect(harness.servers.flatMap((server) => server.runs).sort()).toEqual([
    'a',
    'b',
  ]);
});

test('requests with the same key at two processes run once, and both callers get that answer (guards P5)', async () => {
  const harness = fakes.createHarness(2, 2);
  harness.state.once = true;
  harness.setOwner(0);
  await harness.run(5);
  const answers = collect([harness.ask(0, 'a', 'k'), harness.ask(1, 'b', 'k')]);
  await harness.run(200);
  const runs = harness.servers.flatMap((server) => server.runs);
  expect(runs).toHaveLength(1);
  expect(answers.map(fakes.getText)).toEqual([
    `re:${runs[0]}`,
    `re:${runs[0]}`,
  ]);
  const views = collect([harness.getProcess(1).path.readKey('k')]);
  await harness.run(5);
  expect(views[0]).toMatchObject({ state: 'done', body: `re:${runs[0]}` });
});

test('a request with a key does not run without the log, and an attempt that gives up frees its key (guards P4, P5)', async () => {
  const harness = fakes.createHarness(1, 2);
  harness.state.once = true;
  harness.state.logMode = 'unreachable';
  harness.setOwner(0);
  const withoutLog = collect([harness.ask(0, 'a', 'k')]);
  await harness.run(2_000);
  expect(withoutLog[0]).toMatchObject({ answer: 'not-run', status: 503 });
  expect(JSON.stringify(withoutLog[0])).toContain('earlier attempts');
  harness.state.logMode = 'ok';
  harness.setOwner(undefined);
  expect(await runOne(harness, 'b', 'k')).toEqual(['not-run']);
  harness.setOwner(0);
  expect(await runOne(harness, 'c', 'k')).toEqual(['re:c']);
  harness.servers[0]!.mode = 'hang';
  harness.servers[1]!.mode = 'hang';
  const unknown = collect([harness.ask(0, 'd', 'k2')]);
  await harness.run(2_000);
  expect(unknown[0]).toMatchObject({ answer: 'unknown', ask: '/keys/k2' });
  expect(harness.servers.flatMap((server) => server.runs)).toEqual(['c', 'd']);
});

const action = fc.record({
  do: fc.constantFrom(
    ...(['ask', 'ask', 'ask', 'ask', 'wait', 'wait', 'wait'] as const),
    ...(['log', 'server', 'owner'] as const),
  ),
  process: fc.nat(2),
  key: fc.nat(2),
  isPresent: fc.boolean(),
  log: fc.constantFrom('ok', 'ok', 'unreachable', 'lost-replies', 'delayed'),
  server: fc.nat(1),
  mode: fc.constantFrom('ok', 'ok', 'refuse', 'reset', 'hang', 'late'),
  ms: fc.integer({ min: 1, max: 60 }),
});

test('under random faults of the log, the servers and the owner each key runs at most once and answers match what ran (guards P4, P5)', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(action, { minLength: 5, maxLength: 40, size: 'max' }),
      async (actions) => {
        const harness = fakes.createHarness(3, 1);
        harness.state.once = true;
        harness.setOwner(0);
        const asked: { body: string; key: string; text: string }[] = [];
        for (const [index, one] of actions.entries()) {
          if (one.do === 'log') harness.state.logMode = one.log;
          else if (one.do === 'server')
            harness.servers[one.server]!.mode = one.mode;
          else if (one.do === 'owner')
            harness.setOwner(one.isPresent ? one.process : undefined);
          else if (one.do === 'wait') await harness.run(one.ms);
          else {
            const entry = { body: `q${index}`, key: `k${one.key}`, text: '' };
            asked.push(entry);
            const caller = new AbortController();
            if (!one.isPresent)
              void harness.run(0).then(() => {
                caller.abort();
              });
            void harness
              .ask(one.process, entry.body, entry.key, caller.signal)
              .then((answer) => (entry.text = fakes.getText(answer)));
          }
        }
        harness.state.logMode = 'ok';
        await harness.run(6_000);
        const runs = harness.servers.flatMap((server) => server.runs);
        for (const key of ['k0', 'k1', 'k2']) {
          const own = asked.filter((entry) => entry.key === key);
          const ran = own.filter((entry) => runs.includes(entry.body));
          expect(ran.length, `runs of ${key}`).toBeLessThan(2);
          for (const { text } of own)
            if (text.startsWith('re:')) expect(text).toBe(`re:${ran[0]?.body}`);
        }
        // A key whose request never ran must not stay taken by an attempt that gave up.
        for (const server of harness.servers) server.mode = 'ok';
        harness.setOwner(0);
        for (const key of ['k0', 'k1', 'k2']) {
          if (asked.some((one) => one.key === key && runs.includes(one.body)))
            continue;
          expect(await runOne(harness, key, key)).toEqual([`re:${key}`]);
        }
        for (const { body, text } of asked) {
          expect(text, `answer to ${body}`).not.toBe('');
          if (text === 'not-run') expect(runs).not.toContain(body);
        }
        expect(runs.length).toBe(new Set(runs).size);
        for (const server of harness.servers)
          expect(server.maxBusy).toBeLessThan(2);
      },
    ),
    { seed: 20261204, numRuns: 250 },
  );
});
