/** The callers' HTTP server over real connections: limits, complete answers and planned stops. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as callers from '../src/callers/server.js';
import type * as requests from '../src/requests/types.js';
import type * as types from '../src/types.js';
import * as contexts from './context.fakes.js';

const { expect, test } = vitest;

type Handle = requests.RequestPath['handle'];

function createOptions(handle: Handle) {
  const timers = core.createSystemTimers();
  const submitted: core.jobs.JobSpec[] = [];
  const job: core.jobs.Job = {
    id: 'j1',
    spec: {} as core.jobs.JobSpec,
    urgency: 'normal',
    shard: 'workers/muscat',
    release: 'r1',
    acceptedMs: 0,
    acceptedAt: 0,
    state: 'accepted',
    cancelRequested: false,
  };
  const options: callers.CallersServerOptions = {
    context: contexts.createQuietContext(timers, 'p'),
    path: {
      handle,
      readKey: () => Promise.resolve({ state: 'unreadable' }),
      drain: () => undefined,
      close: () => undefined,
      listServers: () => [],
      dump: () => undefined,
    },
    jobs: {
      submit: (spec: core.jobs.JobSpec) => {
        submitted.push(spec);
        return Promise.resolve({ result: 'accepted', job: 'j1' });
      },
      find: (id: string) => {
        const lookup = id === 'unread' ? 'unreadable' : 'none';
        const isStale = id === 'stale';
        const found = { lookup: 'found', job, isStale };
        return Promise.resolve(id === 'j1' || isStale ? found : { lookup });
      },
      fetchTasks: () =>
        Promise.resolve([
          {
            state: 'waiting',
            sinceMs: 0,
            reason: { reason: 'fair-share', ahead: 2 },
          },
          { state: 'ended', result: 'done' },
        ]),
    } as unknown as types.Jobs,
    releases: {
      isReady: () => true,
      getState: () => ({ teams: new Map([['roof', {}]]) }),
    } as unknown as types.Releases,
    listen: '127.0.0.1:0',
    maxBodyBytes: 1_000,
    bodyTimeoutMs: 200,
    machine: { memoryMb: 250, maxDescriptors: 4_096 },
  };
  return { options, submitted };
}

async function withServer(
  handle: Handle,
  run: (
    port: number,
    server: callers.CallersServer,
    submitted: core.jobs.JobSpec[],
  ) => Promise<void>,
  changed: Partial<callers.CallersServerOptions> = {},
): Promise<void> {
  const { options, submitted } = createOptions(handle);
  const server = callers.createCallersServer({ ...options, ...changed });
  const address = await server.start();
  try {
    await run(Number(address.split(':')[1]), server, submitted);
  } finally {
    await server.close(0);
  }
}

/** Answers with the request's body after the delay in ms that its path states. */
const echo: Handle = async (request) => {
  const delayMs = Number(request.path.slice(1));
  await new Promise((resolve) => setTimeout(resolve, delayMs));
  return {
    answer: 'done',
    status: 200,
    headers: {
      'content-type': 'text/plain',
      'transfer-encoding': 'chunked',
      'content-length': '3',
      connection: 'x-hop',
      'x-hop': '1',
      'x-own': String(request.headers['x-flamingoward-role'] ?? 'none'),
    },
    body: request.body,
  };
};

interface Reply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
}

function call(
  port: number,
  method: string,
  path: string,
  body = '',
  headers: http.OutgoingHttpHeaders = {},
  agent?: http.Agent,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const request = http.request(
      { port, method, path, headers, ...(agent ? { agent } : {}) },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          const { headers: fields, statusCode = 0 } = response;
          resolve({ status: statusCode, headers: fields, text });
        });
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

/** Sends raw bytes and returns all that arrives until the server closes the connection. */
function callRaw(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => {
      resolve(Buffer.concat(chunks).toString());
    });
    socket.on('error', reject);
  });
}

test('returns to each of 60 concurrent requests its own complete answer, without hop-by-hop or reserved headers (guards P3)', async () => {
  await withServer(echo, async (port) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 6 });
    const bodies = Array.from({ length: 60 }, (_, index) =>
      `${index}-`.repeat(150).slice(0, 900),
    );
    const replies = await Promise.all(
      bodies.map((body, index) =>
        call(
          port,
          'POST',
          `/services/desk/${(index * 7) % 20}`,
          body,
          { 'x-flamingoward-role': 'owner', 'x-request-id': `id-${index}` },
          agent,
        ),
      ),
    );
    agent.destroy();
    for (const [index, reply] of replies.entries()) {
      expect(reply.text).toBe(bodies[index]);
      expect(reply.headers).toMatchObject({
        'content-length': String(bodies[index]!.length),
        'flamingoward-answer': 'done',
        'x-request-id': `id-${index}`,
        'x-own': 'none',
      });
      expect(reply.headers['x-hop']).toBeUndefined();
    }
  });
});

test('answers pipelined requests in order and never answers one of them with the refusal of malformed bytes that follow (guards P3)', async () => {
  await withServer(echo, async (port) => {
    const post = (delayMs: number, body: string) =>
      `POST /services/desk/${delayMs} HTTP/1.1\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    const text = await callRaw(
      port,
      `${post(60, 'first')}${post(0, 'second')}\u0001nonsense\r\n\r\n`,
    );
    expect(text.match(/HTTP\/1\.1 \d+/g)).toEqual([
      'HTTP/1.1 200',
      'HTTP/1.1 200',
    ]);
    expect(text.indexOf('first')).toBeLessThan(text.indexOf('second'));
    const alone = await callRaw(port, 'nonsense\r\n\r\n');
    expect(alone).toContain('HTTP/1.1 400 Bad Request');
    expect(alone).toContain('"answer":"not-run"');
    const badChunk = await callRaw(
      port,
      'POST /services/desk/0 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
    );
    expect(badChunk).toContain('not valid HTTP');
  });
});

test('refuses oversized, slow and incomplete bodies and oversized headers without running the request', async () => {
  let handled = 0;
  const count: Handle = (request) => {
    handled += 1;
    return echo(request);
  };
  await withServer(count, async (port) => {
    const declared = await call(
      port,
      'POST',
      '/services/desk/0',
      'x'.repeat(500_000),
    );
    const chunked = await call(
      port,
      'POST',
      '/services/desk/0',
      'x'.repeat(500_000),
      { 'transfer-encoding': 'chunked' },
    );
    for (const reply of [declared, chunked]) {
      expect(reply.status).toBe(413);
      expect(reply.headers['flamingoward-answer']).toBe('not-run');
    }
    const slow = await callRaw(
      port,
      'POST /services/desk/0 HTTP/1.1\r\ncontent-length: 50\r\n\r\npart',
    );
    expect(slow).toContain('HTTP/1.1 408');
    const incomplete = net.connect(port, '127.0.0.1', () =>
      incomplete.end(
        'POST /services/desk/0 HTTP/1.1\r\ncontent-length: 50\r\n\r\npart',
      ),
    );
    await new Promise((resolve) => incomplete.resume().on('close', resolve));
    const large = await callRaw(
      port,
      `GET /healthz HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
    );
    expect(large).toContain('HTTP/1.1 431');
    expect(handled).toBe(0);
  });
});

test('cancels the request of a caller that disconnects, and on a stop answers not-run to waiting and unknown to sent requests (guards P4, P7)', async () => {
  const abortedPaths: string[] = [];
  const hold: Handle = (request) =>
    new Promise((resolve) => {
      request.signal.addEventListener('abort', () => {
        abortedPaths.push(request.path);
        if (request.path !== '/sent')
          resolve({ answer: 'not-run', status: 503, reason: 'cancelled' });
      });
    });
  await withServer(hold, async (port, server) => {
    const socket = net.connect(port, '127.0.0.1', () =>
      socket.write('GET /services/desk/gone HTTP/1.1\r\n\r\n'),
    );
    await vitest.vi.waitFor(() => {
      expect(server.dump()).toMatchObject({ inHand: 1 });
    });
    socket.destroy();
    await vitest.vi.waitFor(() => {
      expect(abortedPaths).toEqual(['/gone']);
    });
    const waiting = call(port, 'GET', '/services/desk/waiting');
    const sent = call(port, 'GET', '/services/desk/sent');
    await vitest.vi.waitFor(() => {
      expect(server.dump()).toMatchObject({ inHand: 2 });
    });
    server.drain();
    expect((await call(port, 'GET', '/readyz')).status).toBe(503);
    const refused = await call(port, 'POST', '/jobs', '{}');
    expect([refused.status, refused.text]).toEqual([
      503,
      expect.stringContaining('stopping'),
    ]);
    await server.close(20);
    expect((await waiting).headers['flamingoward-answer']).toBe('not-run');
    expect((await sent).status).toBe(504);
  });
});

test('handles pipelined requests one after the other, and none of a caller that has disconnected (guards against requests that stay in hand, so that a stop waits for them)', async () => {
  let begun = 0;
  let aborted = 0;
  const hold: Handle = (request) =>
    new Promise((resolve) => {
      begun += 1;
      request.signal.addEventListener('abort', () => {
        aborted += 1;
        resolve({ answer: 'not-run', status: 503, reason: 'cancelled' });
      });
    });
  await withServer(hold, async (port, server) => {
    const socket = net.connect(port, '127.0.0.1', () =>
      socket.write('GET /services/desk/x HTTP/1.1\r\n\r\n'.repeat(3)),
    );
    await vitest.vi.waitFor(() => {
      expect(begun).toBe(1);
    });
    socket.destroy();
    await vitest.vi.waitFor(() => {
      expect(aborted).toBe(1);
      expect(server.dump()).toMatchObject({ inHand: 0 });
    });
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(begun).toBe(1);
  });
});

test('answers health checks while it refuses requests beyond its limit (guards against a load balancer that takes a busy process out)', async () => {
  const hold: Handle = () => new Promise(() => undefined);
  // A quarter of the descriptors but 200 makes 14 connections; two are for the calls below.
  const machine = { memoryMb: 250, maxDescriptors: 256 };
  await withServer(
    hold,
    async (port, server) => {
      const sockets = Array.from({ length: 7 }, () =>
        net.connect(port, '127.0.0.1'),
      );
      for (const socket of sockets)
        socket.write('GET /services/desk/x HTTP/1.1\r\n\r\n'.repeat(2));
      await vitest.vi.waitFor(() => {
        expect(server.dump()).toMatchObject({ inHand: 7 });
      });
      const refused = await call(port, 'GET', '/services/desk/x');
      expect(refused.status).toBe(429);
      expect(refused.headers).toMatchObject({
        'flamingoward-answer': 'not-run',
        'retry-after': '1',
      });
      expect((await call(port, 'GET', '/readyz')).status).toBe(200);
      expect((await call(port, 'GET', '/healthz')).status).toBe(200);
      for (const socket of sockets) socket.destroy();
    },
    { machine },
  );
});

test('lists every fault of a job, refuses unknown teams, and reports task counts and the reason for waiting', async () => {
  await withServer(echo, async (port, _, submitted) => {
    const bad = await call(
      port,
      'POST',
      '/jobs',
      '{"kind":"batch","name":"n","jobClass":"c","count":0,"size":{"cores":-1,"memoryMb":5},"colour":1}',
    );
    expect(bad.status).toBe(400);
    for (const place of ['count: ', 'size.cores: ', 'colour'])
      expect(bad.text).toContain(place);
    expect((await call(port, 'POST', '/jobs', '{"kind":')).text).toContain(
      'not valid JSON',
    );
    const spec =
      '{"kind":"batch","name":"n","jobClass":"c","count":2,"declaredMs":5,"size":{"cores":1,"memoryMb":5}}';
    const unknown = await call(port, 'POST', '/jobs', spec, {
      'flamingoward-team': 'nobody',
    });
    expect(unknown.status).toBe(400);
    const accepted = await call(port, 'POST', '/jobs', spec, {
      'flamingoward-team': 'roof',
    });
    expect([accepted.status, accepted.text]).toEqual([202, '{"id":"j1"}\n']);
    expect(submitted).toMatchObject([{ team: 'roof', size: { gpus: 0 } }]);
    expect(JSON.parse((await call(port, 'GET', '/jobs/j1')).text)).toEqual({
      id: 'j1',
      state: 'accepted',
      tasks: {
        waiting: 1,
        held: 0,
        starting: 0,
        running: 0,
        stopping: 0,
        ended: 1,
      },
      reason: expect.stringContaining('2 tasks wait in all') as string,
    });
    const stale = await call(port, 'GET', '/jobs/stale');
    expect(JSON.parse(stale.text)).toMatchObject({ stale: true });
    expect((await call(port, 'GET', '/jobs/j2')).status).toBe(404);
    const unread = await call(port, 'GET', '/jobs/unread');
    expect([unread.status, unread.headers['flamingoward-answer']]).toEqual([
      503,
      'not-run',
    ]);
    expect((await call(port, 'GET', '/keys/k')).status).toBe(503);
    expect((await call(port, 'GET', '/readyz')).status).toBe(200);
  });
});

test('a process that has not read the release in force does not refuse a team as unknown', async () => {
  const releases = {
    isReady: () => false,
    getState: () => ({ teams: new Map() }),
  } as unknown as types.Releases;
  await withServer(
    echo,
    async (port) => {
      const answer = await call(port, 'POST', '/jobs', '{}', {
        'flamingoward-team': 'roof',
      });
      expect(answer.status).toBe(503);
      expect(answer.text).toContain("doesn't know the release in force");
    },
    { releases },
  );
});
