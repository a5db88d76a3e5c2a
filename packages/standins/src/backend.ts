/**
 * Stand-in for a backend server. Each request names its own service time, response size
 * and fault; the server counts busy slots, connections and executions, from which tests
 * detect overload and requests that ran twice.
 */
import type * as http from 'node:http';
import * as serving from './serve.js';

/** Processing that a request asks for, in its JSON body, its query or `x-standin-*` headers. */
export interface Behaviour {
  /** Service time in ms. */
  readonly workMs: number;
  /** Length of the response's padding in bytes. */
  readonly responseBytes: number;
  /** `status`: answer 500; `close`: close the connection after the service time; `silent`: never answer. */
  readonly fail: string;
  /** Send the response head and this many bytes of the body, then close the connection; negative for a whole response. */
  readonly truncate: number;
  /** Identifies the request in the audit; the response repeats it. */
  readonly token: string;
}

/** Counts of one backend server since its start. */
export interface BackendAudit {
  readonly id: string;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly maxBusy: number;
  readonly maxConnections: number;
  /** Number of executions by request token. */
  readonly executions: Readonly<Record<string, number>>;
}

/** Identity and limits of one backend server. */
export interface BackendOptions {
  readonly id: string;
  readonly slots?: number;
  readonly connections?: number;
}

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

  /** Starts listening and returns the address. */
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

  /** Returns the counts since the start. */
  getAudit(): BackendAudit {
    return {
      id: this.#id,
      slots: this.#slots,
      connectionLimit: this.#connectionLimit,
      maxBusy: this.#maxBusy,
      maxConnections: this.#maxConnections,
      executions: Object.fromEntries(this.#executions),
    };
  }

  /** Answers status and audit requests; any other request is executed. */
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
      serving.respondJson(response, 200, this.getAudit());
      return;
    }
    this.#execute(parseBehaviour(incoming), response);
  }

  #execute(behaviour: Behaviour, response: http.ServerResponse): void {
    const executions = (this.#executions.get(behaviour.token) ?? 0) + 1;
    this.#executions.set(behaviour.token, executions);
    this.#busy += 1;
    this.#maxBusy = Math.max(this.#maxBusy, this.#busy);
    let occupiesSlot = true;
    // Frees the slot before the response is sent: the response lets the daemon send the
    // next request, which must not find the slot still busy.
    const releaseSlot = () => {
      if (occupiesSlot) this.#busy -= 1;
      occupiesSlot = false;
    };
    const timer =
      behaviour.fail === 'silent'
        ? undefined
        : setTimeout(() => {
            releaseSlot();
            this.#respond(behaviour, executions, response);
          }, behaviour.workMs);
    // A closed connection cancels the request.
    response.on('close', () => {
      clearTimeout(timer);
      releaseSlot();
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

function parseBehaviour(incoming: serving.Incoming): Behaviour {
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
    token: find('token') ?? getRequestKey(incoming.headers),
  };
}

function getRequestKey(headers: http.IncomingHttpHeaders): string {
  const key = headers['idempotency-key'] ?? headers['x-request-id'];
  return typeof key === 'string' ? key : 'none';
}

/** Returns the fields of a JSON object body; any other body has no fields. */
function parseFields(incoming: serving.Incoming): Record<string, unknown> {
  try {
    const body = serving.parseBody(incoming);
    return typeof body === 'object' && body !== null ? { ...body } : {};
  } catch {
    return {};
  }
}
