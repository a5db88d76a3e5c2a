/**
 * Selects the header fields that are forwarded from callers to backend servers and
 * back. Hop-by-hop fields and fields reserved for this process are dropped.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as requests from '../requests/types.js';

/** Fields that apply to a single connection and are never forwarded. */
const hopByHopFields: ReadonlySet<string> = new Set([
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
/** Request fields that the next hop sets itself or that are meant for this process only. */
const droppedRequestFields: ReadonlySet<string> = new Set([
  'content-length',
  'expect',
  'host',
  'flamingoward-team',
  'x-request-id',
]);
/** Answer fields of a backend server that this process replaces by its own. */
const droppedAnswerFields: ReadonlySet<string> = new Set([
  'content-length',
  'flamingoward-answer',
  'x-request-id',
]);
const RESERVED_PREFIX = 'x-flamingoward-';
const requestIdPattern = /^[\w.:-]{1,128}$/;

/** Returns the caller's request id, or a new random one when it is missing or invalid. */
export function chooseRequestId(headers: http.IncomingHttpHeaders): string {
  const given = headers['x-request-id'];
  return typeof given === 'string' && requestIdPattern.test(given)
    ? given
    : crypto.randomUUID();
}

/** Selects the fields of a caller's request that are sent to a backend server. */
export function selectRequestHeaders(
  headers: http.IncomingHttpHeaders,
): requests.HeaderFields {
  return selectHeaders(headers, droppedRequestFields);
}

/** Selects the fields of a backend server's answer that are sent to the caller. */
export function selectAnswerHeaders(
  headers: requests.HeaderFields,
): requests.HeaderFields {
  return selectHeaders(headers, droppedAnswerFields);
}

function selectHeaders(
  headers: requests.HeaderFields,
  dropped: ReadonlySet<string>,
): requests.HeaderFields {
  const connectionOptions = parseConnectionOptions(headers.connection);
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name, value]) =>
        value !== undefined &&
        !hopByHopFields.has(name) &&
        !dropped.has(name) &&
        !connectionOptions.has(name) &&
        !name.startsWith(RESERVED_PREFIX),
    ),
  );
}

/** Parses the `Connection` field: the fields that it lists are hop-by-hop as well. */
function parseConnectionOptions(
  connection: string | string[] | undefined,
): ReadonlySet<string> {
  const text = [connection ?? []].flat().join(',');
  return new Set(text.split(',').map((option) => option.trim().toLowerCase()));
}
