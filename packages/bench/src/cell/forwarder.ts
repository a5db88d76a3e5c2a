/** A TCP forwarder that counts the bytes in each direction. */
import * as net from 'node:net';

/** A running forwarder. */
export interface Forwarder {
  /** `ip:port` to connect to instead of the target. */
  readonly address: string;
  /** Returns the bytes forwarded to the target and from it, since the start. */
  getBytes(): { readonly toTarget: number; readonly fromTarget: number };
  /** Closes the server and all connections. */
  stop(): Promise<void>;
}

/** Starts a forwarder on a free loopback port to `target`, an `ip:port`. */
export async function startForwarder(target: string): Promise<Forwarder> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<net.Socket>();
  const bytes = { toTarget: 0, fromTarget: 0 };
  const server = net.createServer({ noDelay: true }, (callerSocket) => {
    const targetSocket = net.connect({
      host,
      port: Number(port),
      noDelay: true,
    });
    callerSocket.on('data', (chunk) => (bytes.toTarget += chunk.length));
    targetSocket.on('data', (chunk) => (bytes.fromTarget += chunk.length));
    attachSocket(callerSocket, targetSocket);
    attachSocket(targetSocket, callerSocket);
  });

  function attachSocket(from: net.Socket, to: net.Socket): void {
    sockets.add(from);
    from.pipe(to);
    from.on('error', () => undefined);
    from.on('close', () => {
      sockets.delete(from);
      to.destroy();
    });
  }

  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address() as net.AddressInfo;
  return {
    address: `127.0.0.1:${bound.port}`,
    getBytes: () => ({ ...bytes }),
    stop: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const socket of sockets) socket.destroy();
      }),
  };
}
