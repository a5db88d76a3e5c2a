/** The operators' HTTP server: authorization, routes, body limits and the answers to commands. */
import * as http from 'node:http';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as fakes from './fakes.releases.js';
import * as operatorsHttp from '../src/operators/http.js';
import * as releaseRoutes from '../src/operators/releases.js';
import * as operators from '../src/operators/server.js';
import * as releases from '../src/releases/releases.js';
import type * as types from '../src/types.js';

const key = 'operators-key-0123456789';
const timers = core.createVirtualTimers();
const log = fakes.createFakeLog(timers);
let drainCount = 0;
let isLogAway = false;
let base = '';
let server: operators.OperatorsServer;
let releasesPart: releases.ReleasesPart;

const job = {
  kind: 'batch',
  name: 'cut',
  team: 'roof',
  jobClass: 'cutting',
  count: 1,
  size: { cores: 1, memoryMb: 512, gpus: 0 },
  declaredMs: 1000,
  work: { run: 'cut' },
} as const;

function createFakeJobs(): types.Jobs {
  const known = new Map<string, core.jobs.Job>();
  return {
    submit: (spec, jobKey) => {
      if (spec.team !== 'roof')
        return Promise.resolve({
          result: 'refused',
          status: 400,
          reason: `team ${spec.team} does not exist`,
        });
      const id = jobKey ?? 'j1';
      known.set(id, {
        id,
        spec,
        urgency: 'normal',
        shard: 'workers/muscat',
        release: '1',
        acceptedMs: 0,
        acceptedAt: known.size,
        state: 'accepted',
        cancelRequested: false,
      });
      return Promise.resolve({ result: 'accepted', job: id });
    },
    cancel: (id) =>
      Promise.resolve(
        known.has(id)
          ? { outcome: 'not-appended', reason: 'log-away' }
          : { outcome: 'unknown-job' },
      ),
    get: (id) => known.get(id),
    find: (id) => {
      const found = known.get(id);
      return Promise.resolve(
        found === undefined
          ? { lookup: id === 'unread' ? 'unreadable' : 'none' }
          : { lookup: 'found', job: found, isStale: isLogAway },
      );
    },
    readList: () =>
      Promise.resolve({ jobs: [...known.values()], isIncomplete: isLogAway }),
    fetchTasks: () => Promise.resolve([{ state: 'waiting', sinceMs: 0 }]),
    explain: () => Promise.resolve(['waits for a free core']),
  };
}

vitest.beforeAll(async () => {
  const context = fakes.buildContext(timers, 'a');
  const membership = fakes.createFakeMembership();
  const peer = fakes.buildPeer('b', 0, -1);
  const dead = { ...peer, instance: 'b#0', health: 'dead' } as const;
  membership.peers = [dead, peer];
  const links = new fakes.FakeNetwork().buildLinks('a#1');
  releasesPart = releases.createReleases({
    context,
    streams: log,
    membership,
    links,
    peers: [],
  });
  log.deliver();
  server = await operators.startOperatorsServer({
    context,
    listen: '127.0.0.1:0',
    key,
    maxBodyBytes: 4_096,
    machine: { memoryMb: 250, maxDescriptors: 4_096 },
    releases: releasesPart,
    jobs: createFakeJobs(),
    membership,
    streams: log,
    requests: {
      explain: (id) =>
        id === 'r1' ? ['refused: the queue was too long'] : undefined,
    },
    getHeartbeat: () => ({
      ...fakes.buildPeer('a', 0, 0).heartbeat,
      shards: [
        { shard: 'workers/muscat', epoch: { offset: 4, provisional: 0 } },
      ],
    }),
    listWorkers: () => [],
    listBackends: () => [],
    dumps: {
      releases: releasesPart,
      broken: {
        dump: () => {
          throw new Error('no state');
        },
      },
    },
    drain: () => {
      drainCount += 1;
    },
  });
  base = `http://${server.address}`;
});

vitest.afterAll(() => {
  releasesPart.close();
});

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

async function ask(
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<Answer> {
  const answer = await fetch(base + path, {
    method,
    headers: { authorization: `Bearer ${key}`, ...headers },
    ...(body !== undefined && {
      body: typeof body === 'string' ? body : JSON.stringify(body),
    }),
  });
  const text = await answer.text();
  return {
    status: answer.status,
    body: text.startsWith('{')
      ? (JSON.parse(text) as Record<string, unknown>)
      : { text },
  };
}

function buildNote(id: string, on: string): string {
  return `[release]\nid = ${id}\nbase = ${on}\ntitle = t\n[added team t${id}]\nquota_cores = 1\nquota_memory_mb = 1\n`;
}

async function publish(
  id: string,
  on: string,
  publisher = 'nadia',
): Promise<Answer> {
  const answer = ask('POST', '/releases', {
    text: buildNote(id, on),
    publisher,
  });
  const before = log.records.length;
  while (log.records.length === before)
    await new Promise((resolve) => setImmediate(resolve));
  log.deliver();
  return answer;
}

vitest.test('refuses every path without the exact key', async () => {
  for (const authorization of [
    '',
    `Bearer ${key}x`,
    `Bearer ${key.slice(1)}`,
    key,
  ])
    for (const path of ['/processes', '/metrics', '/nothing'])
      vitest
        .expect((await ask('GET', path, undefined, { authorization })).status)
        .toBe(401);
  vitest
    .expect(
      (await ask('POST', '/drain', undefined, { authorization: 'x' })).status,
    )
    .toBe(401);
  vitest.expect(drainCount).toBe(0);
});

vitest.test(
  'refuses unknown paths, wrong methods and invalid bodies, and says what is expected',
  async () => {
    vitest.expect((await ask('GET', '/job')).status).toBe(404);
    vitest.expect((await ask('GET', '/jobs/%E0%A4%A')).status).toBe(400);
    vitest
      .expect(await ask('PUT', '/releases'))
      .toEqual({ status: 405, body: { error: '/releases allows GET, POST' } });
    vitest
      .expect((await ask('POST', '/releases', '{')).body.error)
      .toContain('expected the text of a release note');
    vitest
      .expect(
        (await ask('POST', '/releases', { text: 'x', publisher: 'a b' }))
          .status,
      )
      .toBe(400);
    vitest.expect((await ask('GET', '/jobs?limit=0')).status).toBe(400);
    const faults = await ask('POST', '/jobs', {
      ...job,
      count: 0,
      size: { cores: -1 },
      maxRacks: 2,
      shell: 'x',
    });
    vitest.expect(faults.body.faults).toHaveLength(5);
    vitest
      .expect(await ask('POST', '/jobs', { ...job, team: 'sea' }))
      .toMatchObject({ status: 400, body: { answer: 'not-run' } });
  },
);

vitest.test(
  'refuses a body over the limit, with and without a content-length',
  async () => {
    vitest
      .expect((await ask('POST', '/jobs', 'x'.repeat(5_000))).status)
      .toBe(413);
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const headers = { authorization: `Bearer ${key}` };
      const request = http.request(
        `${base}/jobs`,
        { method: 'POST', headers },
        (answer) => {
          resolve(answer.statusCode);
          request.destroy();
        },
      );
      request.on('error', reject);
      request.write('x'.repeat(5_000));
    });
    vitest.expect(status).toBe(413);
  },
);

vitest.test(
  'reports to the loser of two concurrent publications which release was adopted, and counts a repeated one once',
  async () => {
    vitest.expect(await publish('1', 'none')).toMatchObject({
      status: 200,
      body: { offset: 0, acceptance: { accepted: false, waitingFor: ['b'] } },
    });
    vitest.expect(await publish('1b', 'none', 'omar')).toMatchObject({
      status: 409,
      body: { verdict: { verdict: 'conflict', lostTo: '1' } },
    });
    vitest.expect(await publish('1', 'none')).toMatchObject({
      status: 200,
      body: { offset: 0, verdict: { verdict: 'repeat', of: 0 } },
    });
    const shown = await ask('GET', '/releases/current');
    vitest
      .expect(shown.body)
      .toMatchObject({ id: '1', inForce: true, text: buildNote('1', 'none') });
    vitest.expect((await ask('GET', '/releases/9')).status).toBe(404);
    const history = await ask('GET', '/releases');
    vitest.expect(history.body.history).toHaveLength(3);
  },
);

vitest.test(
  'lists the faults of a checked release note without publishing it',
  async () => {
    const records = log.records.length;
    const bad = await ask('POST', '/releases/check', {
      text: buildNote('1', 'none'),
    });
    vitest.expect(bad.body).toMatchObject({
      ok: false,
      current: '1',
      faults: [{ key: 'id' }, { key: 'base' }, { section: 'added team t1' }],
    });
    const good = await ask('POST', '/releases/check', {
      text: buildNote('2', '1'),
    });
    vitest.expect(good.body).toMatchObject({
      ok: true,
      lines: vitest.expect.arrayContaining(['+ team t2']) as unknown,
    });
    vitest.expect(log.records).toHaveLength(records);
  },
);

// Guards against "no such release" and "expected base = none" from a process that hasn't read the log.
vitest.test(
  'a process that does not know the release in force neither denies a release nor checks a note',
  async () => {
    const context = fakes.buildContext(timers, 'c');
    const unread = releases.createReleases({
      context,
      streams: log,
      membership: fakes.createFakeMembership(),
      links: new fakes.FakeNetwork().buildLinks('c#1'),
      peers: [],
    });
    const routes = releaseRoutes.buildReleaseRoutes(unread, timers);
    const answer = async (method: string, path: string, body = '') => {
      const match = operatorsHttp.findRoute(routes, method, path);
      if (match.match !== 'route') throw new Error(`no route ${path}`);
      const query = new URLSearchParams();
      const { params } = match;
      return await match.route.handle({ params, query, headers: {}, body });
    };
    for (const id of ['1', 'current'])
      vitest
        .expect(await answer('GET', `/releases/${id}`))
        .toMatchObject({ status: 503 });
    vitest
      .expect(await answer('POST', '/releases/check', buildNote('2', '1')))
      .toMatchObject({ status: 503 });
    vitest
      .expect(await answer('GET', '/releases'))
      .toMatchObject({ status: 200, body: { ready: false } });
    log.deliver();
    vitest
      .expect(await answer('GET', '/releases/1'))
      .toMatchObject({ status: 200 });
    unread.close();
  },
);

vitest.test(
  'answers not-run to a publication while the log does not answer',
  async () => {
    log.mode = 'away';
    const answer = await ask('POST', '/releases', {
      text: buildNote('2', '1'),
      publisher: 'nadia',
    });
    vitest
      .expect(answer)
      .toMatchObject({ status: 503, body: { answer: 'not-run' } });
    const processes = await ask('GET', '/processes');
    vitest.expect(processes.body).toMatchObject({
      release: '1',
      logAwayMs: 0,
      processes: [
        {
          name: 'a',
          health: 'self',
          release: '1',
          shards: [{ shard: 'workers/muscat', epoch: { offset: 4 } }],
        },
        { name: 'b', health: 'live', release: 'none' },
      ],
    });
    log.mode = 'answers';
  },
);

vitest.test('shows, cancels and explains jobs and requests', async () => {
  vitest
    .expect(await ask('POST', '/jobs', job, { 'idempotency-key': 'k1' }))
    .toMatchObject({ status: 202, body: { id: 'k1' } });
  const short = { ...job, team: undefined, size: { cores: 1, memoryMb: 1 } };
  vitest
    .expect((await ask('POST', '/jobs', short)).body.error)
    .toBe('team default does not exist');
  vitest
    .expect((await ask('GET', '/jobs?team=roof')).body)
    .toMatchObject({ total: 1 });
  vitest
    .expect((await ask('GET', '/jobs')).body)
    .not.toHaveProperty('incomplete');
  isLogAway = true;
  vitest
    .expect((await ask('GET', '/jobs')).body)
    .toMatchObject({ total: 1, incomplete: true });
  vitest
    .expect((await ask('GET', '/jobs/k1')).body)
    .toMatchObject({ job: { state: 'accepted' }, stale: true });
  isLogAway = false;
  vitest
    .expect((await ask('GET', '/jobs/k1')).body)
    .toMatchObject({ counts: { waiting: 1 } });
  vitest
    .expect((await ask('GET', '/jobs/k1/explain')).body.lines)
    .toEqual(['waits for a free core']);
  vitest
    .expect(await ask('DELETE', '/jobs/k1'))
    .toMatchObject({ status: 503, body: { answer: 'not-run' } });
  for (const path of ['/jobs/x', '/jobs/x/explain', '/requests/x/explain'])
    vitest.expect((await ask('GET', path)).status).toBe(404);
  vitest.expect((await ask('DELETE', '/jobs/x')).status).toBe(404);
  for (const path of ['/jobs/unread', '/jobs/unread/explain'])
    vitest.expect((await ask('GET', path)).status).toBe(503);
  vitest.expect((await ask('GET', '/requests/r1/explain')).status).toBe(200);
});

vitest.test(
  'dumps the other components when one throws, and starts the planned stop only once',
  async () => {
    vitest.expect((await ask('GET', '/dump')).body).toMatchObject({
      releases: { current: '1' },
      broken: { error: 'no state' },
    });
    vitest
      .expect((await ask('GET', '/metrics')).body)
      .toEqual({ text: 'releases 1\n' });
    for (let time = 0; time < 2; time += 1)
      vitest
        .expect(await ask('POST', '/drain'))
        .toEqual({ status: 202, body: { process: 'a', draining: true } });
    vitest.expect(drainCount).toBe(1);
  },
);

vitest.test(
  'closes without waiting for requests that wait for the acceptance of a release',
  async () => {
    const waiting = ask('GET', '/releases/1?wait_ms=10000');
    const ended = vitest.expect(waiting).rejects.toThrow();
    while ((await ask('GET', '/nothing')).status !== 404) continue;
    const closed = server.close();
    timers.advance(operators.CLOSE_TIMEOUT_MS);
    await closed;
    await ended;
  },
);
