/** HTTP server of the stand-ins; it collects whole request bodies and counts connections and bytes. */
import * as http from 'node:http';
import type * as net from 'node:net';

/** One request with its complete body. */
export interface Incoming {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Answers one request; the promise resolves when the response is written. */
export type Handler = (
  incoming: Incoming,
  response: http.ServerResponse,
) => void | Promise<void>;

/** Bytes received and sent on a server's connections, including HTTP heads. */
export interface Traffic {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** A running server. */
export interface Server {
  /** `ip:port`. */
  readonly address: string;
  readonly sockets: ReadonlySet<net.Socket>;
  /** Returns the bytes of all connections since the start, including closed ones. */
  getTraffic(): Traffic;
  stop(): Promise<void>;
}

/** Listens on `host`; port 0 chooses a free port. `observeConnections` gets the number of open connections after each new one. */
export async function serve(
  host: string,
  port: number,
  handler: Handler,
  observeConnections?: (connections: number) => void,
): Promise<Server> {
  const sockets = new Set<net.Socket>();
  const closedTraffic = { receivedBytes: 0, sentBytes: 0 };
  const server = http.createServer((request, response) => {
    handleRequest(request, response, handler);
  });
  server.keepAliveTimeout = 60_000;
  server.requestTimeout = 0;
  server.on('connection', (socket) => {
    sockets.add(socket);
    observeConnections?.(sockets.size);
    socket.on('close', () => {
      sockets.delete(socket);
      closedTraffic.receivedBytes += socket.bytesRead;
      closedTraffic.sentBytes += socket.bytesWritten;
    });
    socket.on('error', () => undefined);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, 1_024, resolve);
  });
  const bound = server.address() as net.AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    sockets,
    getTraffic: () => {
      let { receivedBytes, sentBytes } = closedTraffic;
      for (const socket of sockets) {
        receivedBytes += socket.bytesRead;
        sentBytes += socket.bytesWritten;
      }
      return { receivedBytes, sentBytes };
    },
    stop: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const socket of sockets) socket.destroy();
      }),
  };
}

function handleRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  handler: Handler,
): void {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('error', () => undefined);
  request.on('end', () => {
    const url = new URL(request.url ?? '/', 'http://standin');
    const incoming: Incoming = {
      method: request.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: request.headers,
      body: Buffer.concat(chunks),
    };
    Promise.resolve(handler(incoming, response)).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else respondJson(response, 500, { error: String(error) });
    });
  });
}

/** Sends a JSON response. */
export function respondJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Parses a JSON body; an empty body gives an empty object. */
export function parseBody(incoming: Incoming): unknown {
  if (incoming.body.length === 0) return {};
  return JSON.parse(incoming.body.toString('utf8')) as unknown;
}
