/** What the client says about a request agrees with what the backend server received. */
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';

const timers = core.createSystemTimers();
const cleanups: (() => unknown)[] = [];

vitest.afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Serves raw bytes: the n-th request on any connection gets the n-th reaction, the last one repeatedly. */
async function startServer(
  ...reactions: ((socket: net.Socket) => void)[]
): Promise<{
  address: string;
  received: string[];
  sockets: Set<net.Socket>;
  count: { connections: number };
}> {
  const received: string[] = [];
  const sockets = new Set<net.Socket>();
  const count = { connections: 0 };
  const server = net.createServer((socket) => {
    count.connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (data) => {
      received.push(data.toString());
      const at = Math.min(received.length, reactions.length) - 1;
      reactions[at]!(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { address: `127.0.0.1:${port}`, received, sockets, count };
}

function createClient(connections = 7) {
  const client = clients.createBackendClient({ timers, connections });
  cleanups.push(() => client.close());
  return client;
}

const request = { method: 'GET', path: '/x', headers: {} };
const limits = { timeoutMs: 2_000, maxResponseBytes: 1_000 };
const complete = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello';

vitest.test.each([
  ['a short body', 'Content-Length: 10\r\n\r\nhello'],
  [
    'a short body on a closing connection',
    'Content-Length: 10\r\nConnection: close\r\n\r\nhello',
  ],
  ['chunks without an end', 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'],
  [
    'chunks without an end on a closing connection',
    'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n',
  ],
  ['a body that only the close ends', 'Connection: close\r\n\r\nhello'],
])('a truncated answer is uncertain, never answered: %s', async (_, answer) => {
  const server = await startServer((socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n${answer}`),
  );
  const result = await createClient().send(server.address, request, limits);
  vitest.expect(result.result).toBe('uncertain');
  vitest.expect(server.received).toHaveLength(1);
});

vitest.test.each([
  ['a length', 'Content-Length: 5\r\n\r\nhello'],
  [
    'chunks on a closing connection',
    'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
  ],
])('a complete answer is answered: %s', async (_, answer) => {
  const server = await startServer((socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n${answer}`),
  );
  const result = await createClient().send(server.address, request, limits);
  vitest.expect(result).toMatchObject({ result: 'answered', status: 200 });
});

vitest.test('only a request without a written byte is not-sent', async () => {
  const client = createClient();
  const closing = await startServer((socket) => socket.destroy());
  const server = await startServer((socket) => socket.write(complete));
  const refused = await client.send('127.0.0.1:1', request, limits);
  const held = await client.send(server.address, request, {
    ...limits,
    canSend: () => false,
  });
  vitest
    .expect([refused.result, held.result])
    .toEqual(['not-sent', 'not-sent']);
  vitest.expect(server.received).toEqual([]);
  const reset = await client.send(closing.address, request, limits);
  vitest.expect(reset.result).toBe('uncertain');
  // A request that may have run must not be repeated by the client library.
  vitest.expect(closing.received).toHaveLength(1);
  const reused = await startServer(
    (socket) => socket.write(complete),
    (socket) => socket.destroy(),
    (socket) => socket.write(complete),
  );
  await client.send(reused.address, request, limits);
  const broken = await client.send(reused.address, request, limits);
  vitest.expect(broken.result).toBe('uncertain');
  vitest.expect(reused.received).toHaveLength(2);
});

vitest.test(
  'an answer over the limit ends the request and its connection',
  async () => {
    const server = await startServer((socket) => socket.write(complete));
    const result = await createClient().send(server.address, request, {
      ...limits,
      maxResponseBytes: 4,
    });
    vitest.expect(result.result).toBe('uncertain');
    await vitest.vi.waitFor(() => {
      vitest.expect(server.sockets.size).toBe(0);
    });
  },
);

vitest.test(
  'a late answer never reaches the next request: silent and cancelled connections are destroyed',
  async () => {
    const silent = () => undefined;
    const server = await startServer(silent, silent, (socket) =>
      socket.write(complete),
    );
    const client = createClient(1);
    const timedOut = await client.send(server.address, request, {
      ...limits,
      timeoutMs: 50,
    });
    const cancel = new AbortController();
    const pending = client.send(server.address, request, {
      ...limits,
      signal: cancel.signal,
    });
    await vitest.vi.waitFor(() => {
      vitest.expect(server.received).toHaveLength(2);
    });
    cancel.abort();
    const cancelled = await pending;
    vitest
      .expect([timedOut.result, cancelled.result])
      .toEqual(['uncertain', 'uncertain']);
    const next = await client.send(server.address, request, limits);
    vitest.expect(next.result).toBe('answered');
    vitest.expect(server.count.connections).toBe(3);
    vitest.expect(server.sockets.size).toBe(1);
  },
);

vitest.test(
  'connections stay within the limit and one request uses one connection at a time',
  async () => {
    let open = 0;
    let most = 0;
    const server = await startServer((socket) => {
      open += 1;
      most = Math.max(most, open);
      setTimeout(() => {
        open -= 1;
        socket.write(complete);
      }, 5);
    });
    const client = createClient(3);
    const results = await Promise.all(
      Array.from({ length: 20 }, () =>
        client.send(server.address, request, limits),
      ),
    );
    vitest
      .expect(results.map((each) => each.result))
      .not.toContain('uncertain');
    vitest.expect(most).toBe(3);
    vitest.expect(server.count.connections).toBe(3);
  },
);
