/** Connections to the address for links from clients that aren't peers. */
import * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as link from '@flamingoward/link';
import * as standins from '@flamingoward/standins';
import * as vitest from 'vitest';

const MAX_HANDSHAKES = 4;
const SETTLE_MS = 50;

interface Server {
  readonly hub: link.Hub;
  readonly port: number;
  readonly opened: string[];
  readonly shed: string[];
}

async function startHub(
  name: string,
  timers: core.TimerService,
): Promise<Server> {
  const [port = 0] = await standins.findPorts(1);
  const opened: string[] = [];
  const shed: string[] = [];
  const hub = link.createHub({
    identity: { name, instance: name, region: 'r', availabilityZone: 'r-a' },
    listen: `127.0.0.1:${port}`,
    key: 'shared',
    maxFrameBytes: 1_048_576,
    maxHandshakes: MAX_HANDSHAKES,
    timers,
    getRandom: () => 0.5,
    onQuestion: () => Promise.reject(new Error('unused')),
    onNotice: () => undefined,
    onOpen: (peer) => opened.push(peer.name),
    onClose: () => undefined,
    onShed: (reason) => shed.push(reason),
  });
  await hub.open();
  vitest.onTestFinished(() => hub.close());
  return { hub, port, opened, shed };
}

/** Opens a connection that sends nothing by itself. */
async function openSilent(port: number): Promise<net.Socket> {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  vitest.onTestFinished(() => {
    socket.destroy();
  });
  await new Promise((resolve) => socket.once('connect', resolve));
  return socket;
}

function buildFrameHeader(bytes: number): Buffer {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(bytes);
  return header;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

vitest.describe('links of clients that are no peers', () => {
  vitest.it(
    'are closed when there are too many, and a peer still gets through (guards against descriptors that anyone can take)',
    async () => {
      const timers = core.createSystemTimers();
      const server = await startHub('server', timers);
      const silent: net.Socket[] = [];
      for (let count = 0; count < 3 * MAX_HANDSHAKES; count += 1)
        silent.push(await openSilent(server.port));
      await vitest.vi.waitUntil(
        () =>
          silent.filter((socket) => !socket.destroyed).length <= MAX_HANDSHAKES,
      );
      vitest
        .expect(server.shed)
        .toEqual(Array(2 * MAX_HANDSHAKES).fill('handshake'));
      const peer = await startHub('peer', timers);
      peer.hub.setPeers([`127.0.0.1:${server.port}`]);
      await vitest.vi.waitUntil(() => server.opened.includes('peer'));
      // Peers with a proof no longer count.
      for (let count = 0; count < 2 * MAX_HANDSHAKES; count += 1)
        await openSilent(server.port);
      await wait(SETTLE_MS);
      vitest.expect(server.hub.listConnected()).toHaveLength(1);
    },
  );

  vitest.it(
    'are closed when the handshake isn’t complete in time, however often they send a byte (guards against links that stay open for good)',
    async () => {
      const timers = core.createVirtualTimers();
      const server = await startHub('server', timers);
      const socket = await openSilent(server.port);
      socket.write(buildFrameHeader(4_000));
      for (let step = 0; step < 60 && !socket.destroyed; step += 1) {
        socket.write(Buffer.alloc(1));
        await wait(5);
        timers.advance(100);
      }
      await vitest.vi.waitUntil(() => socket.destroyed);
      vitest.expect(server.shed).toEqual(['handshake-timeout']);
    },
  );

  vitest.it(
    'are closed when their first message is longer than a handshake (guards against megabytes that are kept for unknown peers)',
    async () => {
      const server = await startHub('server', core.createSystemTimers());
      const socket = await openSilent(server.port);
      socket.write(buildFrameHeader(5_000));
      await vitest.vi.waitUntil(() => socket.destroyed);
      vitest.expect(server.shed).toEqual(['handshake-frame']);
    },
  );
});
