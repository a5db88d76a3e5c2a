/** Header fields between callers, this process and backend servers. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as requests from '../requests/types.js';

/** Fields that belong to one connection, not to the message. */
const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/** Fields of a request that the next hop sets anew or that only this process reads. */
const requestOnly: ReadonlySet<string> = new Set([
  'content-length',
  'expect',
  'host',
  'flamingoward-team',
  'x-request-id',
]);
/** Fields of an answer that this process sets. */
const answerOnly: ReadonlySet<string> = new Set([
  'content-length',
  'flamingoward-answer',
  'x-request-id',
]);
const RESERVED_PREFIX = 'x-flamingoward-';
const requestIdPattern = /^[\w.:-]{1,128}$/;

/** Reads the caller's request id, or makes one when it is missing or unusable. */
export function readRequestId(headers: http.IncomingHttpHeaders): string {
  const given = headers['x-request-id'];
  return typeof given === 'string' && requestIdPattern.test(given)
    ? given
    : crypto.randomUUID();
}

/** Selects the fields of a caller's request that a backend server gets. */
export function selectRequestHeaders(
  headers: http.IncomingHttpHeaders,
): requests.HeaderFields {
  return selectHeaders(headers, requestOnly);
}

/** Selects the fields of a backend server's answer that the caller gets. */
export function selectAnswerHeaders(
  headers: requests.HeaderFields,
): requests.HeaderFields {
  return selectHeaders(headers, answerOnly);
}

function selectHeaders(
  headers: requests.HeaderFields,
  without: ReadonlySet<string>,
): requests.HeaderFields {
  const named = readConnectionOptions(headers.connection);
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name, value]) =>
        value !== undefined &&
        !hopByHop.has(name) &&
        !without.has(name) &&
        !named.has(name) &&
        !name.startsWith(RESERVED_PREFIX),
    ),
  );
}

/** Fields that the sender's `Connection` field names belong to the connection too. */
function readConnectionOptions(
  connection: string | string[] | undefined,
): ReadonlySet<string> {
  const text = [connection ?? []].flat().join(',');
  return new Set(text.split(',').map((option) => option.trim().toLowerCase()));
}
