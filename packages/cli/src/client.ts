/** HTTP client of the operators' API of one process. */
import * as undici from 'undici';

/** Longest time until a process responds; a publication takes up to 15 s. */
export const RESPONSE_TIMEOUT_MS = 30_000;

const CONNECT_TIMEOUT_MS = 5_000;

/** Response of a process, with a JSON object or text as its body. */
export interface Answer {
  readonly status: number;
  /** Empty when the response isn't a JSON object. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/** A request to a process. */
export interface ClientRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Client of one process. */
export interface Client {
  readonly origin: string;
  /** Rejects with `UnreachableError`. */
  ask(request: ClientRequest): Promise<Answer>;
  close(): Promise<void>;
}

/** No process responded. `isUnsent` is true when the request certainly didn't reach one. */
export class UnreachableError extends Error {
  readonly isUnsent: boolean;

  constructor(message: string, isUnsent: boolean) {
    super(message);
    this.name = 'UnreachableError';
    this.isUnsent = isUnsent;
  }
}

/** Parses `ip:port` or a URL without a path into an origin; returns undefined for anything else. */
export function parseOrigin(address: string): string | undefined {
  const text = address.includes('://') ? address : `http://${address}`;
  if (!URL.canParse(text)) return undefined;
  const url = new URL(text);
  const isPlain = url.pathname === '/' && url.search === '';
  return /^https?:$/.test(url.protocol) && isPlain ? url.origin : undefined;
}

/** Creates the client of one process. */
export function createClient(origin: string, key: string): Client {
  const dispatcher = new undici.Client(origin, {
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });
  return {
    origin,
    ask: (request) => sendRequest(dispatcher, key, request, origin),
    close: () => dispatcher.close(),
  };
}

async function sendRequest(
  dispatcher: undici.Client,
  key: string,
  request: ClientRequest,
  origin: string,
): Promise<Answer> {
  const headers: Record<string, string> = {
    ...request.headers,
    authorization: `Bearer ${key}`,
  };
  if (request.body !== undefined) headers['content-type'] = 'application/json';
  try {
    const response = await dispatcher.request({
      method: request.method,
      path: request.path,
      headers,
      body: request.body === undefined ? null : JSON.stringify(request.body),
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: parseBody(text), text };
  } catch (error) {
    throw toUnreachableError(error, origin);
  }
}

function parseBody(text: string): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Readonly<Record<string, unknown>>)
      : {};
  } catch {
    return {};
  }
}

// Codes of errors while connecting. Only these show that the process didn't receive the request.
const connectErrorCodes = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
];

function toUnreachableError(error: unknown, origin: string): UnreachableError {
  const { code = '', message } = error as NodeJS.ErrnoException;
  const isUnsent = connectErrorCodes.includes(code);
  const detail = message === '' ? code : message;
  return new UnreachableError(`no answer from ${origin}: ${detail}`, isUnsent);
}
