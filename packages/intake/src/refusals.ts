/** Answers to requests that haven't run and never will, and to bytes that aren't a request. */
import * as http from 'node:http';

/** Time after which what is refused for load may be sent again, in s. */
const RETRY_AFTER_S = 1;

/** Why a request isn't handled. */
export interface Refusal {
  readonly status: 400 | 408 | 417 | 429 | 431 | 503;
  readonly why: string;
  /** Set when the same request may be accepted later. */
  readonly retryAfterS?: number;
}

/** Header fields and body of a refusal, besides those that every refusal has. */
export interface EncodedRefusal {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

export const tooManyConnections: Refusal = {
  status: 503,
  why: 'too many connections',
  retryAfterS: RETRY_AFTER_S,
};
export const tooManyRequests: Refusal = {
  status: 429,
  why: 'too many requests are being handled',
  retryAfterS: RETRY_AFTER_S,
};
export const tooManyBodies: Refusal = {
  status: 429,
  why: 'too many bodies are being received',
  retryAfterS: RETRY_AFTER_S,
};
export const slowBody: Refusal = {
  status: 429,
  why: 'the body did not arrive in time',
  retryAfterS: RETRY_AFTER_S,
};
export const slowHeader: Refusal = {
  status: 408,
  why: 'the header did not arrive in time',
};
export const missingHost: Refusal = {
  status: 400,
  why: 'the header Host is missing',
};
export const unknownExpectation: Refusal = {
  status: 417,
  why: 'only Expect: 100-continue is supported',
};

/** Returns the refusal of bytes that the parser has rejected. */
export function describeParseError(code: string | undefined): Refusal {
  return code === 'HPE_HEADER_OVERFLOW'
    ? { status: 431, why: 'the header is too large' }
    : { status: 400, why: 'the bytes sent are not a valid HTTP request' };
}

/** Sends a refusal as the last answer on its connection. */
export function sendRefusal(
  response: http.ServerResponse,
  refusal: Refusal,
  encoded: EncodedRefusal,
): void {
  response
    .writeHead(refusal.status, buildHeaders(refusal, encoded))
    .end(encoded.body);
}

/** Builds a refusal as the text of a complete HTTP answer. */
export function formatRefusal(
  refusal: Refusal,
  encoded: EncodedRefusal,
): string {
  const fields = Object.entries(buildHeaders(refusal, encoded)).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [
    `HTTP/1.1 ${refusal.status} ${http.STATUS_CODES[refusal.status] ?? ''}`,
    ...fields,
    '',
    encoded.body,
  ].join('\r\n');
}

function buildHeaders(
  { retryAfterS }: Refusal,
  { headers, body }: EncodedRefusal,
): Record<string, string> {
  return {
    'content-type': 'application/json',
    ...headers,
    ...(retryAfterS === undefined ? {} : { 'retry-after': `${retryAfterS}` }),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
}
