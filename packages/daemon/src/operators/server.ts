/**
 * HTTP server on the operators' address: shows the state of the cluster and carries out
 * operators' commands. Every request needs the key, including those that only read.
 */
import * as nodeHttp from 'node:http';
import type * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as intake from '@flamingoward/intake';
import type * as types from '../types.js';
import * as http from './http.js';
import * as jobs from './jobs.js';
import * as releases from './releases.js';
import * as views from './views.js';

/** Time for open requests to finish when the server closes; then their connections are destroyed. */
export const CLOSE_TIMEOUT_MS = 1_000;
/** Connections of operators and of the programs that read the metrics; a cell has a few of them. */
const MAX_CONNECTIONS = 64;
const HEADER_TIMEOUT_MS = 10_000;
/** Time in which a body must arrive, in ms; operators may sit behind slow links. */
const BODY_TIMEOUT_MS = 30_000;
/** Time for which an idle connection is kept, in ms. */
const IDLE_TIMEOUT_MS = 5_000;

/** Dependencies and limits of the operators' server. */
export interface OperatorsOptions {
  readonly context: types.PartContext;
  readonly listen: core.ids.Address;
  readonly key: string;
  readonly maxBodyBytes: number;
  /** What the process may use of its machine. */
  readonly machine: core.settings.MachineSettings;
  readonly releases: types.Releases;
  readonly jobs: types.Jobs;
  readonly membership: types.Membership;
  readonly streams: Pick<types.Streams, 'getUnreachableSinceMs'>;
  readonly requests: jobs.RequestExplainer;
  /** Returns the heartbeat that this process sends to its peers. */
  getHeartbeat(): core.messages.Heartbeat;
  /** Lists the workers whose shards this process owns. */
  listWorkers(): readonly views.WorkerDetail[];
  listBackends(): readonly views.BackendDetail[];
  /** Components by the key under which `GET /dump` shows their state. */
  readonly dumps: Readonly<Record<string, types.Dumpable>>;
  /** Starts the planned stop of this process; called at most once. */
  drain(): void;
}

/** The running server. */
export interface OperatorsServer {
  /** Bound address. */
  readonly address: core.ids.Address;
  /** Stops listening; resolves when open requests are answered, after CLOSE_TIMEOUT_MS at the latest. */
  close(): Promise<void>;
}

/** Starts the server; rejects with `port-in-use`. */
export async function startOperatorsServer(
  options: OperatorsOptions,
): Promise<OperatorsServer> {
  const { server, guard } = createOperatorsServer(options);
  const { host, port } = core.parseAddress(options.listen, 'operators.listen');
  await new Promise<void>((resolve, reject) => {
    server.once('error', (cause: NodeJS.ErrnoException) => {
      const origin = { step: 'operators.listen', peer: options.listen, cause };
      reject(
        cause.code === 'EADDRINUSE'
          ? core.createFault('port-in-use', origin, options.listen)
          : cause,
      );
    });
    server.listen(port, host, resolve);
  });
  const bound = server.address() as net.AddressInfo;
  return {
    address: `${host.includes(':') ? `[${host}]` : host}:${bound.port}`,
    async close() {
      await closeServer(server, options.context.timers);
      guard.close();
    },
  };
}

/** Creates the server; it doesn't listen yet. */
function createOperatorsServer(options: OperatorsOptions): {
  readonly server: nodeHttp.Server;
  readonly guard: intake.ConnectionGuard;
} {
  const { timers, metrics } = options.context;
  const routes = buildRoutes(options);
  const isAuthorized = http.createKeyCheck(options.key);
  const server = nodeHttp.createServer({
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    // The guard has deadlines of its own, and refuses requests without a host.
    headersTimeout: 0,
    requestTimeout: 0,
    requireHostHeader: false,
  });
  const guard = intake.createConnectionGuard(server, {
    timers,
    limits: {
      ...intake.computeIntakeLimits(options.machine, options.maxBodyBytes),
      maxConnections: MAX_CONNECTIONS,
      bodyTimeoutMs: BODY_TIMEOUT_MS,
    },
    requiresHost: true,
    getTimeouts: () => ({
      headerMs: HEADER_TIMEOUT_MS,
      idleMs: IDLE_TIMEOUT_MS,
    }),
    recordShed(reason) {
      metrics.count('operators_shed_total', { reason });
    },
    handle: respond,
    encodeRefusal: ({ why }) => ({
      headers: {},
      body: `${JSON.stringify({ error: why })}\n`,
    }),
  });

  async function respond(guarded: intake.GuardedRequest): Promise<void> {
    const { request, response } = guarded;
    const [path = '/', search = ''] = (request.url ?? '/').split('?', 2);
    try {
      const reply = await buildReply(guarded, path, search);
      if (reply === undefined) return;
      // The unread rest of a refused body would be parsed as the next request.
      if (!request.complete || !server.listening)
        response.setHeader('connection', 'close');
      http.sendReply(response, reply);
      logRequest(request.method ?? '', path, reply.status);
    } catch (error) {
      failRequest(response, path, error);
    }
  }

  /** Returns undefined when there is no one left to reply to. */
  async function buildReply(
    { request, readBody }: intake.GuardedRequest,
    path: string,
    search: string,
  ): Promise<http.Reply | undefined> {
    if (!isAuthorized(request.headers.authorization))
      return http.refuse(
        401,
        'expected "Authorization: Bearer <key>" with the key of [operators] in the settings',
      );
    const match = findRoute(request.method ?? '', path);
    if (match.match === 'bad-path')
      return http.refuse(400, 'the path is not encoded correctly');
    if (match.match === 'none')
      return http.refuse(
        404,
        `no such path: ${path}; expected one of ${listPaths()}`,
      );
    if (match.match === 'other-method')
      return {
        status: 405,
        body: { error: `${path} allows ${match.allowed.join(', ')}` },
        headers: { allow: match.allowed.join(', ') },
      };
    const received = await readBody(options.maxBodyBytes);
    switch (received.outcome) {
      case 'complete':
        return match.route.handle({
          params: match.params,
          query: new URLSearchParams(search),
          headers: request.headers,
          body: received.body.toString('utf8'),
        });
      case 'too-large':
        return http.refuse(
          413,
          `the body is larger than ${options.maxBodyBytes} bytes`,
        );
      case 'too-slow':
        return http.refuse(408, 'the body did not arrive in time');
      case 'malformed':
        return http.refuse(400, 'the bytes of the body are not valid HTTP');
      case 'ended':
        return undefined;
    }
  }

  function findRoute(
    method: string,
    path: string,
  ): http.RouteMatch | { readonly match: 'bad-path' } {
    try {
      return http.findRoute(routes, method, path);
    } catch {
      return { match: 'bad-path' };
    }
  }

  function listPaths(): string {
    return [...new Set(routes.map((route) => route.path))].join(' ');
  }

  function logRequest(method: string, path: string, status: number): void {
    const level = method === 'GET' ? 'debug' : 'info';
    options.context.log.write(level, 'operators.request', {
      method,
      path,
      status,
    });
  }

  function failRequest(
    response: nodeHttp.ServerResponse,
    path: string,
    error: unknown,
  ): void {
    const message = core.describeError(error);
    options.context.log.write('error', 'operators.failed', {
      path,
      error: message,
    });
    if (response.headersSent || response.destroyed) return;
    http.sendReply(
      response,
      http.refuse(
        500,
        `an internal error occurred while handling the request: ${message}`,
      ),
    );
  }

  return { server, guard };
}

function buildRoutes(options: OperatorsOptions): readonly http.Route[] {
  return [
    ...releases.buildReleaseRoutes(options.releases, options.context.timers),
    ...jobs.buildJobRoutes(options.jobs),
    ...jobs.buildRequestRoutes(options.requests),
    ...buildViewRoutes(options),
    {
      method: 'GET',
      path: '/metrics',
      handle: () => ({ status: 200, text: options.context.metrics.render() }),
    },
    { method: 'POST', path: '/drain', handle: createDrainHandler(options) },
  ];
}

function buildViewRoutes(options: OperatorsOptions): readonly http.Route[] {
  const { membership } = options;
  const reply = (body: unknown): http.Reply => ({ status: 200, body });
  const paths: Readonly<Record<string, () => unknown>> = {
    '/workers': () => ({
      workers: views.listVms(membership, 'worker', options.listWorkers()),
    }),
    '/backends': () => ({
      backends: views.listVms(membership, 'backend', options.listBackends()),
    }),
    '/processes': () => describeProcesses(options),
    '/dump': () => collectDumps(options.dumps),
  };
  return Object.entries(paths).map(([path, buildView]) => ({
    method: 'GET',
    path,
    handle: () => reply(buildView()),
  }));
}

function describeProcesses(options: OperatorsOptions): unknown {
  const { context, membership } = options;
  const state = options.releases.getState();
  const awaySinceMs = options.streams.getUnreachableSinceMs();
  return {
    answeredBy: context.identity.name,
    release: state.current,
    releaseOffset: state.offset,
    ready: options.releases.isReady(),
    ...(awaySinceMs !== undefined && {
      logAwayMs: Math.round(context.timers.getNow() - awaySinceMs),
    }),
    processes: views.listProcesses(
      context,
      membership,
      options.getHeartbeat(),
      state,
    ),
  };
}

// A component whose dump throws must not prevent the diagnosis of the others.
function collectDumps(
  dumps: Readonly<Record<string, types.Dumpable>>,
): Readonly<Record<string, unknown>> {
  return Object.fromEntries(
    Object.entries(dumps).map(([name, part]) => {
      try {
        return [name, part.dump()];
      } catch (error) {
        return [name, { error: core.describeError(error) }];
      }
    }),
  );
}

function createDrainHandler(options: OperatorsOptions): http.Route['handle'] {
  let isDraining = false;
  return () => {
    if (!isDraining) options.drain();
    isDraining = true;
    const process = options.context.identity.name;
    return { status: 202, body: { process, draining: true } };
  };
}

function closeServer(
  server: nodeHttp.Server,
  timers: core.TimerService,
): Promise<void> {
  return new Promise((resolve) => {
    const timeout = timers.subscribe(
      { name: 'operators.close', delayMs: CLOSE_TIMEOUT_MS, repeat: 'once' },
      () => {
        server.closeAllConnections();
      },
    );
    server.close(() => {
      timeout.end();
      resolve();
    });
    server.closeIdleConnections();
  });
}
