/** Requests and answers of the operators' address: bodies, keys, JSON and routes. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';

/** An answer; `text` is sent as it is, `body` as JSON. */
export type Reply =
  | {
      readonly status: number;
      readonly body: unknown;
      readonly headers?: http.OutgoingHttpHeaders;
    }
  | { readonly status: number; readonly text: string };

/** A request whose path fits a route. */
export interface RouteRequest {
  /** The parts of the path that the route names with a colon, decoded. */
  readonly params: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** One method and path. */
export interface Route {
  readonly method: string;
  /** Segments that begin with a colon match anything. */
  readonly path: string;
  readonly handle: (request: RouteRequest) => Promise<Reply> | Reply;
}

/** What fits a method and path. */
export type RouteMatch =
  | {
      readonly match: 'route';
      readonly route: Route;
      readonly params: readonly string[];
    }
  | { readonly match: 'other-method'; readonly allowed: readonly string[] }
  | { readonly match: 'none' };

/** Builds an answer that refuses, with what to do. */
export function refuse(status: number, error: string): Reply {
  return { status, body: { error } };
}

/** Finds the route of a request. Throws on a path that isn't encoded correctly. */
export function findRoute(
  routes: readonly Route[],
  method: string,
  path: string,
): RouteMatch {
  const fitting = routes.flatMap((route) => {
    const params = findParams(route.path, path);
    return params === undefined ? [] : [{ route, params }];
  });
  const found = fitting.find((one) => one.route.method === method);
  if (found !== undefined) return { match: 'route', ...found };
  if (fitting.length === 0) return { match: 'none' };
  return {
    match: 'other-method',
    allowed: fitting.map((one) => one.route.method),
  };
}

function findParams(
  pattern: string,
  path: string,
): readonly string[] | undefined {
  const wanted = pattern.split('/');
  const given = path.split('/');
  if (wanted.length !== given.length) return undefined;
  const params: string[] = [];
  for (const [index, part] of wanted.entries()) {
    const value = given[index] ?? '';
    if (part.startsWith(':') && value !== '')
      params.push(decodeURIComponent(value));
    else if (part !== value) return undefined;
  }
  return params;
}

/** Creates the check of `Authorization` headers; it takes the same time for every key. */
export function createKeyCheck(
  key: string,
): (header: string | undefined) => boolean {
  const expected = computeDigest(`Bearer ${key}`);
  return (header) =>
    crypto.timingSafeEqual(computeDigest(header ?? ''), expected);
}

// Digests have one length, which the comparison needs.
function computeDigest(text: string): Buffer {
  return crypto.createHash('sha256').update(text).digest();
}

/** Reads a body; undefined when it is larger than the limit. Rejects when the request breaks off. */
export async function readBody(
  request: http.IncomingMessage,
  limitBytes: number,
): Promise<string | undefined> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes)
    return undefined;
  const chunks: Buffer[] = [];
  let bytes = 0;
  // Destroying the request would also keep the refusal from being sent.
  const parts = request.iterator({ destroyOnReturn: false });
  for await (const chunk of parts as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends an answer and ends the response. */
export function sendReply(response: http.ServerResponse, reply: Reply): void {
  if ('text' in reply) {
    response.writeHead(reply.status, {
      'content-type': 'text/plain; version=0.0.4; charset=utf-8',
      'content-length': Buffer.byteLength(reply.text),
    });
    response.end(reply.text);
    return;
  }
  const text = `${JSON.stringify(reply.body)}\n`;
  response.writeHead(reply.status, {
    'content-type': 'application/json; charset=utf-8',
    'content-length': Buffer.byteLength(text),
    ...reply.headers,
  });
  response.end(text);
}

/** Parses a JSON object; undefined for anything else. */
export function parseObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null && !Array.isArray(value)
      ? (value as Readonly<Record<string, unknown>>)
      : undefined;
  } catch {
    return undefined;
  }
}
