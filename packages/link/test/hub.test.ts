/** Links between processes: authentication, matching of answers, unresponsive connections and invalid frames. */
import * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as link from '@flamingoward/link';

const MAX_FRAME_BYTES = 65_536;

interface Node {
  readonly hub: link.Hub;
  readonly address: string;
  readonly opened: string[];
  readonly closed: link.LinkClosed[];
}

const cleanups: (() => Promise<void>)[] = [];

vitest.afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function startNode(
  name: string,
  timers: core.TimerService,
  options: { key?: string; onQuestion?: link.QuestionHandler } = {},
): Promise<Node> {
  const address = `127.0.0.1:${String(await findFreePort())}`;
  const opened: string[] = [];
  const closed: link.LinkClosed[] = [];
  const hub = link.createHub({
    identity: {
      name,
      instance: `${name}-i`,
      region: 'r',
      availabilityZone: 'r-a',
    },
    listen: address,
    key: options.key ?? 'shared',
    maxFrameBytes: MAX_FRAME_BYTES,
    timers,
    getRandom: () => 0.5,
    onQuestion:
      options.onQuestion ??
      (() => Promise.resolve({ kind: 'job.explain.answer', lines: [name] })),
    onNotice: () => undefined,
    onOpen: (peer) => opened.push(peer.name),
    onClose: (event) => closed.push(event),
  });
  await hub.open();
  cleanups.push(() => hub.close());
  return { hub, address, opened, closed };
}

/** Advances virtual time in 20 ms steps, with real I/O between them, until the condition holds. */
async function advanceUntil(
  timers: core.VirtualTimers,
  isDone: () => boolean,
): Promise<void> {
  for (let step = 0; step < 2_000 && !isDone(); step += 1) {
    timers.advance(20);
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  vitest.expect(isDone()).toBe(true);
}

vitest.test(
  'matches answers that arrive out of order with their questions by id',
  async () => {
    const timers = core.createVirtualTimers();
    const answerByJob = new Map<string, () => void>();
    const server = await startNode('server', timers, {
      onQuestion: (question) =>
        new Promise((resolve) => {
          const job = question.kind === 'job.detail' ? question.job : '?';
          answerByJob.set(job, () => {
            resolve({ kind: 'job.explain.answer', lines: [job] });
          });
        }),
    });
    const client = await startNode('client', timers);
    client.hub.setPeers([server.address]);
    await advanceUntil(timers, () => client.opened.length === 1);
    const first = client.hub.ask(
      'server-i',
      { kind: 'job.detail', job: 'a' },
      60_000,
    );
    const second = client.hub.ask(
      'server-i',
      { kind: 'job.detail', job: 'b' },
      60_000,
    );
    await advanceUntil(timers, () => answerByJob.size === 2);
    answerByJob.get('b')!();
    answerByJob.get('a')!();
    vitest
      .expect(await second)
      .toEqual({ kind: 'job.explain.answer', lines: ['b'] });
    vitest
      .expect(await first)
      .toEqual({ kind: 'job.explain.answer', lines: ['a'] });
  },
);

vitest.test(
  'rejects a process with another key, with a key-mismatch error',
  async () => {
    const timers = core.createVirtualTimers();
    const server = await startNode('server', timers);
    const client = await startNode('client', timers, { key: 'other' });
    client.hub.setPeers([server.address]);
    await advanceUntil(timers, () => server.closed.length > 0);
    vitest
      .expect(core.getFaultInfo(server.closed[0]!.cause)?.code)
      .toBe('key-mismatch');
    vitest.expect(client.opened).toEqual([]);
  },
);

vitest.test.each([
  [
    'a hello of another protocol version',
    link.encodeFrame(
      {
        kind: 'hello',
        version: 99,
        nonce: 'n',
        name: 'x',
        instance: 'x',
        region: 'r',
        availabilityZone: 'a',
      },
      MAX_FRAME_BYTES,
    ),
    'version-mismatch',
  ],
  ['an oversized frame', Buffer.from([0x7f, 0xff, 0xff, 0xff]), 'too-large'],
  [
    'bytes that are not CBOR',
    Buffer.from([0, 0, 0, 2, 0xff, 0xff]),
    'bad-frame',
  ],
  ['an HTTP request', Buffer.from('GET / HTTP/1.1\r\n\r\n'), 'too-large'],
] as const)(
  'closes the connection on %s, with a specific error code',
  async (_input, bytes, code) => {
    const timers = core.createVirtualTimers();
    const server = await startNode('server', timers);
    const socket = net.connect(
      Number(server.address.split(':')[1]),
      '127.0.0.1',
    );
    socket.on('error', () => undefined);
    socket.write(bytes);
    await advanceUntil(timers, () => server.closed.length > 0);
    vitest.expect(core.getFaultInfo(server.closed[0]!.cause)?.code).toBe(code);
    socket.destroy();
  },
);

vitest.test(
  'closes an unresponsive connection and reconnects, when new connections work',
  async () => {
    const timers = core.createVirtualTimers();
    const server = await startNode('server', timers);
    const client = await startNode('client', timers);
    let isFrozen = false;
    const proxySockets: net.Socket[] = [];
    const proxy = net.createServer((inner) => {
      const outer = net.connect(
        Number(server.address.split(':')[1]),
        '127.0.0.1',
      );
      const affectedPair = isFrozen ? undefined : { dropped: false };
      proxySockets.push(inner, outer);
      for (const socket of [inner, outer]) socket.on('error', () => undefined);
      // After the freeze, only connections made before it lose their bytes.
      inner.on('data', (bytes) => {
        if (!(isFrozen && affectedPair)) outer.write(bytes);
      });
      outer.on('data', (bytes) => {
        if (!(isFrozen && affectedPair)) inner.write(bytes);
      });
    });
    await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => {
      for (const socket of proxySockets) socket.destroy();
      return new Promise((resolve) =>
        proxy.close(() => {
          resolve();
        }),
      );
    });
    const port = (proxy.address() as net.AddressInfo).port;
    client.hub.setPeers([`127.0.0.1:${String(port)}`]);
    await advanceUntil(timers, () => client.opened.length === 1);
    isFrozen = true;
    await advanceUntil(timers, () => client.opened.length === 2);
    const cause = client.closed.find(
      (event) => event.direction === 'dialled',
    )?.cause;
    vitest.expect(core.getFaultInfo(cause)?.code).toBe('link-silent');
    const answer = await client.hub.ask(
      'server-i',
      { kind: 'release.state' },
      60_000,
    );
    vitest
      .expect(answer)
      .toEqual({ kind: 'job.explain.answer', lines: ['server'] });
  },
);

vitest.test(
  'names the address in the error when its port is in use',
  async () => {
    const timers = core.createVirtualTimers();
    const first = await startNode('first', timers);
    const second = link.createHub({
      identity: {
        name: 'b',
        instance: 'b',
        region: 'r',
        availabilityZone: 'a',
      },
      listen: first.address,
      key: 'k',
      maxFrameBytes: MAX_FRAME_BYTES,
      timers,
      getRandom: () => 0.5,
      onQuestion: () => Promise.reject(new Error('unused')),
      onNotice: () => undefined,
      onOpen: () => undefined,
      onClose: () => undefined,
    });
    await vitest.expect(second.open()).rejects.toThrow(first.address);
  },
);

vitest.test(
  'lets a dialled process ask questions over that connection before its own dial succeeds',
  async () => {
    const timers = core.createVirtualTimers();
    const old = await startNode('old', timers);
    const restarted = await startNode('fresh', timers);
    // Only the restarted process dials; the old one still waits for its reconnect backoff.
    restarted.hub.setPeers([old.address]);
    await advanceUntil(timers, () => old.opened.length === 1);
    const answer = await old.hub.ask(
      'fresh-i',
      { kind: 'release.state' },
      60_000,
    );
    vitest
      .expect(answer)
      .toEqual({ kind: 'job.explain.answer', lines: ['fresh'] });
  },
);

vitest.test.each(['127.0.0.1:70000', '127.0.0.1:', '', 'a b:1', '[::1:1'])(
  'reports a peer address that no connection can be opened to, %j, and links the other peers (guards against a record of another process that ends this one)',
  async (address) => {
    const timers = core.createVirtualTimers();
    const peer = await startNode('peer', timers);
    const node = await startNode('node', timers);
    node.hub.setPeers([address, peer.address]);
    await advanceUntil(
      timers,
      () => node.opened.includes('peer') && node.closed.length >= 2,
    );
    vitest.expect(node.closed[0]).toMatchObject({
      address,
      direction: 'dialled',
      peer: undefined,
    });
    node.hub.setPeers([peer.address]);
    const countReports = () =>
      node.closed.filter((event) => event.address === address).length;
    const before = countReports();
    timers.advance(10_000);
    vitest.expect(countReports()).toBe(before);
  },
);
