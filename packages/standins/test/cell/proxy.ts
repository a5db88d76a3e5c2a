/** TCP proxy that simulates network faults: stalled connections and partitions. */
import * as net from 'node:net';

interface Connection {
  readonly downstream: net.Socket;
  readonly upstream: net.Socket;
}

/** Forwards connections to one target. */
export class Proxy {
  readonly #connections = new Set<Connection>();
  readonly #stalled = new Set<net.Socket>();
  readonly #target: { readonly host: string; readonly port: number };
  #server: net.Server | undefined;
  #isPartitioned = false;

  constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#target = { host, port: Number(port) };
  }

  /** Starts to listen and returns the address. */
  async start(): Promise<string> {
    const server = net.createServer((downstream) => {
      this.#connect(downstream);
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  }

  /** Drops all further traffic of the open connections without closing them; new ones work. Returns their number. */
  dropOpenTraffic(): number {
    const count = this.#connections.size;
    for (const { downstream, upstream } of this.#connections) {
      downstream.unpipe(upstream);
      upstream.unpipe(downstream);
      // Reads and drops the bytes, so that the senders see no backpressure.
      downstream.resume();
      upstream.resume();
      this.#stalled.add(downstream).add(upstream);
    }
    this.#connections.clear();
    return count;
  }

  /** Drops the traffic of open and new connections without closing them, as a network partition does. */
  startPartition(): void {
    this.#isPartitioned = true;
    this.dropOpenTraffic();
  }

  /** Closes all stalled connections; new ones work again. */
  endPartition(): void {
    this.#isPartitioned = false;
    for (const socket of this.#stalled) socket.destroy();
    this.#stalled.clear();
  }

  async stop(): Promise<void> {
    this.endPartition();
    for (const { downstream, upstream } of this.#connections) {
      downstream.destroy();
      upstream.destroy();
    }
    await new Promise((resolve) => this.#server?.close(resolve));
  }

  #connect(downstream: net.Socket): void {
    downstream.on('error', () => undefined);
    if (this.#isPartitioned) {
      downstream.resume();
      this.#stalled.add(downstream);
      return;
    }
    const upstream = net.connect(this.#target);
    const connection = { downstream, upstream };
    this.#connections.add(connection);
    upstream.on('error', () => downstream.destroy());
    const closeBoth = () => {
      // A stalled connection is no longer in the set: its end must not reach the other side.
      if (!this.#connections.delete(connection)) return;
      downstream.destroy();
      upstream.destroy();
    };
    downstream.on('close', closeBoth);
    upstream.on('close', closeBoth);
    downstream.pipe(upstream);
    upstream.pipe(downstream);
  }
}
