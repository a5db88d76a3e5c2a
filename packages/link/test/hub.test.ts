/** Links between processes: who gets in, crossed answers, silent connections, bad frames. */
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
    readRandom: () => 0.5,
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

/** Moves virtual time in small steps, with real I/O between them, until the condition holds. */
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
  'answers that arrive out of order reach their own question',
  async () => {
    const timers = core.createVirtualTimers();
    const release = new Map<string, () => void>();
    const server = await startNode('server', timers, {
      onQuestion: (question) =>
        new Promise((resolve) => {
          const job = question.kind === 'job.detail' ? question.job : '?';
          release.set(job, () => {
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
    await advanceUntil(timers, () => release.size === 2);
    release.get('b')!();
    release.get('a')!();
    vitest
      .expect(await second)
      .toEqual({ kind: 'job.explain.answer', lines: ['b'] });
    vitest
      .expect(await first)
      .toEqual({ kind: 'job.explain.answer', lines: ['a'] });
  },
);

vitest.test(
  'a process with another key gets no link, and the error says so',
  async () => {
    const timers = core.createVirtualTimers();
    const server = await startNode('server', timers);
    const client = await startNode('client', timers, { key: 'other' });
    client.hub.setPeers([server.address]);
    await advanceUntil(timers, () => server.closed.length > 0);
    vitest
      .expect(core.readFault(server.closed[0]!.cause)?.code)
      .toBe('key-mismatch');
    vitest.expect(client.opened).toEqual([]);
  },
);

vitest.test.each([
  [
    'another version',
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
  ['HTTP', Buffer.from('GET / HTTP/1.1\r\n\r\n'), 'too-large'],
] as const)(
  '%s ends the connection with a clear cause',
  async (_what, bytes, code) => {
    const timers = core.createVirtualTimers();
    const server = await startNode('server', timers);
    const socket = net.connect(
      Number(server.address.split(':')[1]),
      '127.0.0.1',
    );
    socket.on('error', () => undefined);
    socket.write(bytes);
    await advanceUntil(timers, () => server.closed.length > 0);
    vitest.expect(core.readFault(server.closed[0]!.cause)?.code).toBe(code);
    socket.destroy();
  },
);

vitest.test(
  'a connection that goes silent is replaced while a new one works',
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
      const frozenPair = isFrozen ? undefined : { dropped: false };
      proxySockets.push(inner, outer);
      for (const socket of [inner, outer]) socket.on('error', () => undefined);
      // Only connections made before the freeze lose their bytes.
      inner.on('data', (bytes) => {
        if (!(isFrozen && frozenPair)) outer.write(bytes);
      });
      outer.on('data', (bytes) => {
        if (!(isFrozen && frozenPair)) inner.write(bytes);
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
    vitest.expect(core.readFault(cause)?.code).toBe('link-silent');
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

vitest.test('a port in use is named in the error', async () => {
  const timers = core.createVirtualTimers();
  const first = await startNode('first', timers);
  const second = link.createHub({
    identity: { name: 'b', instance: 'b', region: 'r', availabilityZone: 'a' },
    listen: first.address,
    key: 'k',
    maxFrameBytes: MAX_FRAME_BYTES,
    timers,
    readRandom: () => 0.5,
    onQuestion: () => Promise.reject(new Error('unused')),
    onNotice: () => undefined,
    onOpen: () => undefined,
    onClose: () => undefined,
  });
  await vitest.expect(second.open()).rejects.toThrow(first.address);
});

vitest.test(
  'a process that was dialled can ask back before its own dial succeeds',
  async () => {
    const timers = core.createVirtualTimers();
    const old = await startNode('old', timers);
    const fresh = await startNode('fresh', timers);
    // Only the fresh process dials, as after a restart while the old one backs off.
    fresh.hub.setPeers([old.address]);
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
