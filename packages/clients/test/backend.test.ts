/** The result that the backend client returns for a request agrees with what the backend server received. */
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';

const timers = core.createSystemTimers();
const cleanups: (() => unknown)[] = [];

vitest.afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Starts a TCP server that handles the n-th request, on any connection, with the n-th handler; further requests get the last one. */
async function startServer(
  ...handlers: ((socket: net.Socket) => void)[]
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
      const handlerIndex = Math.min(received.length, handlers.length) - 1;
      handlers[handlerIndex]!(socket);
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
const completeResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello';

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
  [
    'a body without a length or chunks, ended by the close',
    'Connection: close\r\n\r\nhello',
  ],
])(
  'reports a truncated response as uncertain, never as answered: %s',
  async (_, response) => {
    const server = await startServer((socket) =>
      socket.end(`HTTP/1.1 200 OK\r\n${response}`),
    );
    const result = await createClient().send(server.address, request, limits);
    vitest.expect(result.result).toBe('uncertain');
    vitest.expect(server.received).toHaveLength(1);
  },
);

vitest.test.each([
  ['a length', 'Content-Length: 5\r\n\r\nhello'],
  [
    'chunks on a closing connection',
    'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
  ],
])('reports a complete response as answered: %s', async (_, response) => {
  const server = await startServer((socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n${response}`),
  );
  const result = await createClient().send(server.address, request, limits);
  vitest.expect(result).toMatchObject({ result: 'answered', status: 200 });
});

vitest.test(
  'reports a request as not-sent only if no byte of it was written, and never repeats one that may have run',
  async () => {
    const client = createClient();
    const closing = await startServer((socket) => socket.destroy());
    const server = await startServer((socket) =>
      socket.write(completeResponse),
    );
    const refused = await client.send('127.0.0.1:1', request, limits);
    const disallowed = await client.send(server.address, request, {
      ...limits,
      canSend: () => false,
    });
    vitest
      .expect([refused.result, disallowed.result])
      .toEqual(['not-sent', 'not-sent']);
    vitest.expect(server.received).toEqual([]);
    const reset = await client.send(closing.address, request, limits);
    vitest.expect(reset.result).toBe('uncertain');
    // The HTTP library must not repeat a request that may have run.
    vitest.expect(closing.received).toHaveLength(1);
    const reused = await startServer(
      (socket) => socket.write(completeResponse),
      (socket) => socket.destroy(),
      (socket) => socket.write(completeResponse),
    );
    await client.send(reused.address, request, limits);
    const broken = await client.send(reused.address, request, limits);
    vitest.expect(broken.result).toBe('uncertain');
    vitest.expect(reused.received).toHaveLength(2);
  },
);

vitest.test(
  'ends the request and closes its connection when the response exceeds the size limit',
  async () => {
    const server = await startServer((socket) =>
      socket.write(completeResponse),
    );
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
  'destroys the connection of a timed-out or cancelled request (guards against a late response that is taken for the one of the next request)',
  async () => {
    const neverRespond = () => undefined;
    const server = await startServer(neverRespond, neverRespond, (socket) =>
      socket.write(completeResponse),
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
  'opens no more connections than the limit and runs one request at a time on each',
  async () => {
    let open = 0;
    let maxOpen = 0;
    const server = await startServer((socket) => {
      open += 1;
      maxOpen = Math.max(maxOpen, open);
      setTimeout(() => {
        open -= 1;
        socket.write(completeResponse);
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
    vitest.expect(maxOpen).toBe(3);
    vitest.expect(server.count.connections).toBe(3);
  },
);

vitest.test.each(['127.0.0.\ufffd:80', '127.0.0.1:70000', ':1', 'a/b:80'])(
  'tells requests to a server whose address no connection can be opened to as not sent, %j (guards against requests that reject, and a pool that counts connections that it never had)',
  async (address) => {
    const virtualTimers = core.createVirtualTimers();
    const client = clients.createBackendClient({
      timers: virtualTimers,
      connections: 2,
    });
    for (let count = 0; count < 5; count += 1)
      vitest
        .expect((await client.send(address, request, limits)).result)
        .toBe('not-sent');
    vitest.expect(virtualTimers.getNextDueMs()).toBeUndefined();
    client.drop(address);
    await client.close();
  },
);
