/** The request path: tickets across processes, retries, keys, and what answers say. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as fakes from './requests.fakes.js';

const { expect, test } = vitest;

/** Collects answers as they come. */
function collect<Value>(promises: readonly Promise<Value>[]): Value[] {
  const values: Value[] = [];
  for (const promise of promises)
    void promise.then((value) => values.push(value));
  return values;
}

test('three processes share the slots of two servers and each caller gets its own answer (guards P1, P3)', async () => {
  const world = fakes.createWorld(3, 2);
  world.setOwner(0);
  await world.run(5);
  const bodies = Array.from({ length: 24 }, (_, index) => `q${index}`);
  const answers = collect(
    bodies.map(async (body, index) => {
      const answer = await world.ask(index % 3, body);
      return [`re:${body}`, fakes.readText(answer)] as const;
    }),
  );
  await world.run(400);
  expect(answers).toHaveLength(24);
  for (const [wanted, got] of answers) expect(got).toBe(wanted);
  for (const server of world.servers) expect(server.maxBusy).toBe(2);
});

test('a new owner counts the slots of its predecessor, whose waiting asks move over (guards P1)', async () => {
  const world = fakes.createWorld(3, 2);
  world.setOwner(0);
  for (const server of world.servers) server.takesMs = 150;
  await world.run(5);
  const before = collect(
    ['a', 'b', 'c', 'd', 'e', 'f'].map((body) => world.ask(1, body)),
  );
  await world.run(20);
  // The old owner dies with requests of its own on the servers.
  world.stop(0);
  world.setOwner(2);
  const after = collect(['g', 'h'].map((body) => world.ask(1, body)));
  await world.run(700);
  expect([...before, ...after].map(fakes.readText).sort()).toEqual(
    'a b c d e f g h'.split(' ').map((body) => `re:${body}`),
  );
  for (const server of world.servers) expect(server.maxBusy).toBe(2);
});

test('a ticket of the old owner that arrives after the report to the new one is void (guards P1)', async () => {
  const world = fakes.createWorld(3, 1);
  world.setOwner(0);
  for (const server of world.servers) server.takesMs = 450;
  await world.run(20);
  world.state.answerMs = 300;
  void world.ask(1, 'a');
  await world.run(5);
  world.state.answerMs = 3;
  world.setOwner(2);
  for (const body of ['b', 'c']) void world.ask(2, body);
  await world.run(1_500);
  for (const server of world.servers) {
    expect(server.runs.length).toBeGreaterThan(0);
    expect(server.maxBusy).toBe(1);
  }
});

test('an idempotent request goes to another server after a connection error, within a budget', async () => {
  const world = fakes.createWorld(1, 8);
  world.setOwner(0);
  await world.run(5);
  const [first, second] = world.servers;
  first!.mode = 'refuse';
  const [moved] = await runOne(world, 'a');
  expect(moved).toBe('re:a');
  first!.mode = 'reset';
  const [again] = await runOne(world, 'b');
  expect(again).toBe('re:b');
  // The budget is used up now, and a byte was sent, so the answer can't be not run.
  second!.mode = 'reset';
  const [spent] = await runOne(world, 'c');
  expect(spent).toBe('unknown');
});

async function runOne(
  world: ReturnType<typeof fakes.createWorld>,
  body: string,
  key?: string,
): Promise<string[]> {
  const answers = collect([world.ask(0, body, key)]);
  await world.run(5_000);
  return answers.map(fakes.readText);
}

test('an answer over the limit is not fetched again and leaves the server in use', async () => {
  const world = fakes.createWorld(1, 2);
  world.setOwner(0);
  await world.run(5);
  for (const server of world.servers) server.mode = 'large';
  for (const body of ['a', 'b', 'c', 'd'])
    expect(await runOne(world, body)).toEqual(['unknown']);
  expect(world.servers.flatMap((server) => server.runs)).toHaveLength(4);
  for (const server of world.servers) server.mode = 'ok';
  const answers = collect(
    ['e', 'f', 'g', 'h'].map((body) => world.ask(0, body)),
  );
  await world.run(30);
  expect(answers).toHaveLength(4);
});

test('a ticket whose term ran out at the owner is not used (guards P1, P4)', async () => {
  const world = fakes.createWorld(2, 1);
  world.setOwner(1);
  await world.run(20);
  for (const server of world.servers) server.mode = 'late';
  // The term is 1,000 ms from the grant; the write would follow 1,100 ms after it.
  world.state.answerMs = 500;
  world.state.lateMs = 600;
  expect(await runOne(world, 'a')).toEqual(['not-run']);
  expect(world.servers.flatMap((server) => server.runs)).toEqual([]);
  expect(world.entryOf(0).journal.explain('r1')?.join()).toContain('not-sent');
});

test('a caller that leaves while its request waits never has it sent (guards P4)', async () => {
  const world = fakes.createWorld(2, 1);
  world.setOwner(0);
  await world.run(5);
  const caller = new AbortController();
  collect(['a', 'b'].map((body) => world.ask(1, body)));
  const answers = collect([world.ask(1, 'c', undefined, caller.signal)]);
  await world.run(10);
  caller.abort();
  await world.run(200);
  expect(answers[0]).toMatchObject({ answer: 'not-run' });
  expect(world.servers.flatMap((server) => server.runs).sort()).toEqual([
    'a',
    'b',
  ]);
});

test('the same key at two processes runs once and both callers get that answer (guards P5)', async () => {
  const world = fakes.createWorld(2, 2);
  world.state.once = true;
  world.setOwner(0);
  await world.run(5);
  const answers = collect([world.ask(0, 'a', 'k'), world.ask(1, 'b', 'k')]);
  await world.run(200);
  const runs = world.servers.flatMap((server) => server.runs);
  expect(runs).toHaveLength(1);
  expect(answers.map(fakes.readText)).toEqual([
    `re:${runs[0]}`,
    `re:${runs[0]}`,
  ]);
  const views = collect([world.entryOf(1).path.readKey('k')]);
  await world.run(5);
  expect(views[0]).toMatchObject({ state: 'done', body: `re:${runs[0]}` });
});

test('without the log nothing runs; a winner that gives up frees the key (guards P4, P5)', async () => {
  const world = fakes.createWorld(1, 2);
  world.state.once = true;
  world.state.logMode = 'away';
  world.setOwner(0);
  const away = collect([world.ask(0, 'a', 'k')]);
  await world.run(2_000);
  expect(away[0]).toMatchObject({ answer: 'not-run', status: 503 });
  expect(JSON.stringify(away[0])).toContain('earlier attempts');
  world.state.logMode = 'ok';
  world.setOwner(undefined);
  expect(await runOne(world, 'b', 'k')).toEqual(['not-run']);
  world.setOwner(0);
  expect(await runOne(world, 'c', 'k')).toEqual(['re:c']);
  world.servers[0]!.mode = 'hang';
  world.servers[1]!.mode = 'hang';
  const unsure = collect([world.ask(0, 'd', 'k2')]);
  await world.run(2_000);
  expect(unsure[0]).toMatchObject({ answer: 'unknown', ask: '/keys/k2' });
  expect(world.servers.flatMap((server) => server.runs)).toEqual(['c', 'd']);
});

const action = fc.record({
  do: fc.constantFrom(
    ...(['ask', 'ask', 'ask', 'ask', 'wait', 'wait', 'wait'] as const),
    ...(['log', 'server', 'owner'] as const),
  ),
  process: fc.nat(2),
  key: fc.nat(2),
  patient: fc.boolean(),
  log: fc.constantFrom('ok', 'ok', 'away', 'lost', 'delayed'),
  server: fc.nat(1),
  mode: fc.constantFrom('ok', 'ok', 'refuse', 'reset', 'hang', 'late'),
  ms: fc.integer({ min: 1, max: 60 }),
});

test('random faults of the log, the servers and the owner: one run per key, true answers (guards P4, P5)', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(action, { minLength: 5, maxLength: 40, size: 'max' }),
      async (actions) => {
        const world = fakes.createWorld(3, 1);
        world.state.once = true;
        world.setOwner(0);
        const asked: { body: string; key: string; text: string }[] = [];
        for (const [index, one] of actions.entries()) {
          if (one.do === 'log') world.state.logMode = one.log;
          else if (one.do === 'server')
            world.servers[one.server]!.mode = one.mode;
          else if (one.do === 'owner')
            world.setOwner(one.patient ? one.process : undefined);
          else if (one.do === 'wait') await world.run(one.ms);
          else {
            const entry = { body: `q${index}`, key: `k${one.key}`, text: '' };
            asked.push(entry);
            const caller = new AbortController();
            if (!one.patient)
              void world.run(0).then(() => {
                caller.abort();
              });
            void world
              .ask(one.process, entry.body, entry.key, caller.signal)
              .then((answer) => (entry.text = fakes.readText(answer)));
          }
        }
        world.state.logMode = 'ok';
        await world.run(6_000);
        const runs = world.servers.flatMap((server) => server.runs);
        for (const key of ['k0', 'k1', 'k2']) {
          const own = asked.filter((entry) => entry.key === key);
          const ran = own.filter((entry) => runs.includes(entry.body));
          expect(ran.length, `runs of ${key}`).toBeLessThan(2);
          for (const { text } of own)
            if (text.startsWith('re:')) expect(text).toBe(`re:${ran[0]?.body}`);
        }
        // A key that never ran must not stay taken by an attempt that gave up.
        for (const server of world.servers) server.mode = 'ok';
        world.setOwner(0);
        for (const key of ['k0', 'k1', 'k2']) {
          if (asked.some((one) => one.key === key && runs.includes(one.body)))
            continue;
          expect(await runOne(world, key, key)).toEqual([`re:${key}`]);
        }
        for (const { body, text } of asked) {
          expect(text, `answer to ${body}`).not.toBe('');
          if (text === 'not-run') expect(runs).not.toContain(body);
        }
        expect(runs.length).toBe(new Set(runs).size);
        for (const server of world.servers)
          expect(server.maxBusy).toBeLessThan(2);
      },
    ),
    { seed: 20261204, numRuns: 250 },
  );
});
