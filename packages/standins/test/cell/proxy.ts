/** TCP proxy between two endpoints that shows the faults of a network. */
import * as net from 'node:net';

interface Pair {
  readonly near: net.Socket;
  readonly far: net.Socket;
}

/** Forwards connections to one target. */
export class Proxy {
  readonly #pairs = new Set<Pair>();
  readonly #held = new Set<net.Socket>();
  readonly #target: { readonly host: string; readonly port: number };
  #server: net.Server | undefined;
  #isCut = false;

  constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#target = { host, port: Number(port) };
  }

  /** Starts to listen and returns the address. */
  async start(): Promise<string> {
    const server = net.createServer((near) => {
      this.#connect(near);
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  }

  /** Open connections deliver nothing any more and stay open; new ones work. Returns how many. */
  silence(): number {
    const count = this.#pairs.size;
    for (const { near, far } of this.#pairs) {
      near.unpipe(far);
      far.unpipe(near);
      // The bytes are read and dropped, so that the senders notice nothing.
      near.resume();
      far.resume();
      this.#held.add(near).add(far);
    }
    this.#pairs.clear();
    return count;
  }

  /** Neither open nor new connections deliver anything, as behind a network partition. */
  cut(): void {
    this.#isCut = true;
    this.silence();
  }

  /** Ends all connections that delivered nothing; new ones work again. */
  heal(): void {
    this.#isCut = false;
    for (const socket of this.#held) socket.destroy();
    this.#held.clear();
  }

  async stop(): Promise<void> {
    this.heal();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    await new Promise((resolve) => this.#server?.close(resolve));
  }

  #connect(near: net.Socket): void {
    near.on('error', () => undefined);
    if (this.#isCut) {
      near.resume();
      this.#held.add(near);
      return;
    }
    const far = net.connect(this.#target);
    const pair = { near, far };
    this.#pairs.add(pair);
    far.on('error', () => near.destroy());
    const end = () => {
      // A silent connection doesn't tell the other side that it ended either.
      if (!this.#pairs.delete(pair)) return;
      near.destroy();
      far.destroy();
    };
    near.on('close', end);
    far.on('close', end);
    near.pipe(far);
    far.pipe(near);
  }
}
