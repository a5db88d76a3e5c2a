/** A TCP relay that counts the bytes it carries in each direction. */
import * as net from 'node:net';

/** A running relay. */
export interface Forwarder {
  /** `ip:port` to connect to instead of the target. */
  readonly address: string;
  /** Bytes carried to the target and back. */
  readBytes(): { readonly towards: number; readonly back: number };
  stop(): Promise<void>;
}

/** Starts a relay to `target`. */
export async function startForwarder(target: string): Promise<Forwarder> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<net.Socket>();
  const bytes = { towards: 0, back: 0 };
  const server = net.createServer({ noDelay: true }, (near) => {
    const far = net.connect({ host, port: Number(port), noDelay: true });
    near.on('data', (chunk) => (bytes.towards += chunk.length));
    far.on('data', (chunk) => (bytes.back += chunk.length));
    connect(near, far);
    connect(far, near);
  });

  function connect(from: net.Socket, to: net.Socket): void {
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
    readBytes: () => ({ ...bytes }),
    stop: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const socket of sockets) socket.destroy();
      }),
  };
}
