/**
 * Stand-in for a backend server: it works on whatever arrives, for as long as the
 * request says, and counts busy slots, connections and executions.
 */
import type * as http from 'node:http';
import * as serving from './serve.js';

/** What the request asks of the backend server; in the JSON body, the query or `x-standin-*` headers. */
export interface Behaviour {
  /** Time until the answer, in ms. */
  readonly workMs: number;
  /** Size of the answer's padding. */
  readonly responseBytes: number;
  /** `status`: answer 500; `close`: close the connection after the work; `silent`: never answer. */
  readonly fail: string;
  /** Send the answer's head and this many bytes, then close the connection; below 0 for a whole answer. */
  readonly truncate: number;
  /** Identifies the request in the audit and is repeated in the answer. */
  readonly token: string;
}

/** What a backend server counted. */
export interface BackendAudit {
  readonly id: string;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly maxBusy: number;
  readonly maxConnections: number;
  /** Executions for each token. */
  readonly executions: Readonly<Record<string, number>>;
}

/** What a backend server is. */
export interface BackendOptions {
  readonly id: string;
  readonly slots?: number;
  readonly connections?: number;
}

/** One backend server. */
export class BackendStandin {
  readonly #id: string;
  readonly #slots: number;
  readonly #connectionLimit: number;
  readonly #executions = new Map<string, number>();
  #server: serving.Server | undefined;
  #busy = 0;
  #maxBusy = 0;
  #maxConnections = 0;

  constructor(options: BackendOptions) {
    this.#id = options.id;
    this.#slots = options.slots ?? 8;
    this.#connectionLimit = options.connections ?? 64;
  }

  /** Starts to serve and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(
      host,
      port,
      (incoming, response) => {
        this.handle(incoming, response);
      },
      (connections) => {
        this.#maxConnections = Math.max(this.#maxConnections, connections);
      },
    );
    return this.#server.address;
  }

  /** Stops serving and closes all connections. */
  async stop(): Promise<void> {
    await this.#server?.stop();
  }

  /** Returns what was counted. */
  readAudit(): BackendAudit {
    return {
      id: this.#id,
      slots: this.#slots,
      connectionLimit: this.#connectionLimit,
      maxBusy: this.#maxBusy,
      maxConnections: this.#maxConnections,
      executions: Object.fromEntries(this.#executions),
    };
  }

  /** Answers one request. */
  handle(incoming: serving.Incoming, response: http.ServerResponse): void {
    if (incoming.path === '/-/status') {
      serving.respondJson(response, 200, {
        slots: this.#slots,
        busy: this.#busy,
        connections: this.#server?.sockets.size ?? 0,
      });
      return;
    }
    if (incoming.path === '/-/audit') {
      serving.respondJson(response, 200, this.readAudit());
      return;
    }
    this.#execute(readBehaviour(incoming), response);
  }

  #execute(behaviour: Behaviour, response: http.ServerResponse): void {
    const executions = (this.#executions.get(behaviour.token) ?? 0) + 1;
    this.#executions.set(behaviour.token, executions);
    this.#busy += 1;
    this.#maxBusy = Math.max(this.#maxBusy, this.#busy);
    let working = true;
    // The slot is free before the answer leaves, so that the next request, which the
    // answer lets through, doesn't find it busy.
    const endWork = () => {
      if (working) this.#busy -= 1;
      working = false;
    };
    const timer =
      behaviour.fail === 'silent'
        ? undefined
        : setTimeout(() => {
            endWork();
            this.#respond(behaviour, executions, response);
          }, behaviour.workMs);
    // A caller that goes away ends the work.
    response.on('close', () => {
      clearTimeout(timer);
      endWork();
    });
  }

  #respond(
    behaviour: Behaviour,
    executions: number,
    response: http.ServerResponse,
  ): void {
    if (behaviour.fail === 'close') {
      response.destroy();
      return;
    }
    const status = behaviour.fail === 'status' ? 500 : 200;
    const body = {
      server: this.#id,
      token: behaviour.token,
      executions,
      workMs: behaviour.workMs,
      padding: 'x'.repeat(behaviour.responseBytes),
    };
    if (behaviour.truncate < 0) {
      serving.respondJson(response, status, body);
      return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.write(text.slice(0, behaviour.truncate), () => {
      response.destroy();
    });
  }
}

function readBehaviour(incoming: serving.Incoming): Behaviour {
  const body = parseFields(incoming);
  const find = (name: string): string | undefined => {
    const value =
      body[name] ??
      incoming.query.get(name) ??
      incoming.headers[`x-standin-${name.toLowerCase()}`];
    return typeof value === 'string' || typeof value === 'number'
      ? String(value)
      : undefined;
  };
  return {
    workMs: Number(find('workMs') ?? 5),
    responseBytes: Number(find('responseBytes') ?? 0),
    fail: find('fail') ?? 'no',
    truncate: Number(find('truncate') ?? -1),
    token: find('token') ?? readKey(incoming.headers),
  };
}

function readKey(headers: http.IncomingHttpHeaders): string {
  const key = headers['idempotency-key'] ?? headers['x-request-id'];
  return typeof key === 'string' ? key : 'none';
}

/** A body that isn't a JSON object sets nothing. */
function parseFields(incoming: serving.Incoming): Record<string, unknown> {
  try {
    const body = serving.parseBody(incoming);
    return typeof body === 'object' && body !== null ? { ...body } : {};
  } catch {
    return {};
  }
}
