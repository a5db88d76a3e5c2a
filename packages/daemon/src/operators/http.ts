/** HTTP helpers of the operators' address: route matching, authorization, bodies and replies. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';

/** A reply; `text` is sent as plain text, `body` as JSON. */
export type Reply =
  | {
      readonly status: number;
      readonly body: unknown;
      readonly headers?: http.OutgoingHttpHeaders;
    }
  | { readonly status: number; readonly text: string };

/** A request that matched a route. */
export interface RouteRequest {
  /** Decoded values of the path's parameters, in order. */
  readonly params: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A handler for one method and path. */
export interface Route {
  readonly method: string;
  /** Segments that begin with a colon are parameters and match any value. */
  readonly path: string;
  readonly handle: (request: RouteRequest) => Promise<Reply> | Reply;
}

/** Result of looking up a method and path. */
export type RouteMatch =
  | {
      readonly match: 'route';
      readonly route: Route;
      readonly params: readonly string[];
    }
  | { readonly match: 'other-method'; readonly allowed: readonly string[] }
  | { readonly match: 'none' };

/** Builds a reply that refuses a request; `error` says why and what is expected. */
export function refuse(status: number, error: string): Reply {
  return { status, body: { error } };
}

/** Finds the route of a request. Throws on a path with invalid percent-encoding. */
export function findRoute(
  routes: readonly Route[],
  method: string,
  path: string,
): RouteMatch {
  const matching = routes.flatMap((route) => {
    const params = parsePathParams(route.path, path);
    return params === undefined ? [] : [{ route, params }];
  });
  const match = matching.find((candidate) => candidate.route.method === method);
  if (match !== undefined) return { match: 'route', ...match };
  if (matching.length === 0) return { match: 'none' };
  return {
    match: 'other-method',
    allowed: matching.map((candidate) => candidate.route.method),
  };
}

function parsePathParams(
  pattern: string,
  path: string,
): readonly string[] | undefined {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  if (patternSegments.length !== pathSegments.length) return undefined;
  const params: string[] = [];
  for (const [index, segment] of patternSegments.entries()) {
    const value = pathSegments[index] ?? '';
    if (segment.startsWith(':') && value !== '')
      params.push(decodeURIComponent(value));
    else if (segment !== value) return undefined;
  }
  return params;
}

/** Creates the check of `Authorization` headers. It compares in constant time, so that timing doesn't reveal the key. */
export function createKeyCheck(
  key: string,
): (header: string | undefined) => boolean {
  const expected = computeDigest(`Bearer ${key}`);
  return (header) =>
    crypto.timingSafeEqual(computeDigest(header ?? ''), expected);
}

// The constant-time comparison needs inputs of equal length.
function computeDigest(text: string): Buffer {
  return crypto.createHash('sha256').update(text).digest();
}

/** Sends a reply and ends the response. */
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

/** Parses a JSON object; returns undefined for any other text. */
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
