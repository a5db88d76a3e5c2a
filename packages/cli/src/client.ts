/** The operators' address as the command sees it. */
import * as undici from 'undici';

/** Longest time until a process answers, in ms; a publication takes up to 15 s. */
export const ANSWER_MS = 30_000;

const connectMs = 5_000;

/** An answer with a JSON object or text. */
export interface Answer {
  readonly status: number;
  /** Empty when the answer is text. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/** One request. */
export interface Ask {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A connection to one process. */
export interface Client {
  readonly origin: string;
  /** Rejects with `UnreachableError`. */
  ask(ask: Ask): Promise<Answer>;
  close(): Promise<void>;
}

/** No process answered; `isCertain` says that the request wasn't carried out. */
export class UnreachableError extends Error {
  readonly isCertain: boolean;

  constructor(message: string, isCertain: boolean) {
    super(message);
    this.name = 'UnreachableError';
    this.isCertain = isCertain;
  }
}

/** Turns `ip:port` or a URL into an origin; undefined when it is neither. */
export function parseOrigin(address: string): string | undefined {
  const text = address.includes('://') ? address : `http://${address}`;
  if (!URL.canParse(text)) return undefined;
  const url = new URL(text);
  const isPlain = url.pathname === '/' && url.search === '';
  return /^https?:$/.test(url.protocol) && isPlain ? url.origin : undefined;
}

/** Creates a client of one process. */
export function createClient(origin: string, key: string): Client {
  const dispatcher = new undici.Client(origin, {
    connect: { timeout: connectMs },
    headersTimeout: ANSWER_MS,
    bodyTimeout: ANSWER_MS,
  });
  return {
    origin,
    ask: (ask) => sendAsk(dispatcher, key, ask, origin),
    close: () => dispatcher.close(),
  };
}

async function sendAsk(
  dispatcher: undici.Client,
  key: string,
  ask: Ask,
  origin: string,
): Promise<Answer> {
  const headers: Record<string, string> = {
    ...ask.headers,
    authorization: `Bearer ${key}`,
  };
  if (ask.body !== undefined) headers['content-type'] = 'application/json';
  try {
    const answer = await dispatcher.request({
      method: ask.method,
      path: ask.path,
      headers,
      body: ask.body === undefined ? null : JSON.stringify(ask.body),
    });
    const text = await answer.body.text();
    return { status: answer.statusCode, body: parseBody(text), text };
  } catch (error) {
    throw describeFailure(error, origin);
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

// Only while connecting is it certain that the process has seen nothing.
const connectCodes = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
];

function describeFailure(error: unknown, origin: string): UnreachableError {
  const { code = '', message } = error as NodeJS.ErrnoException;
  const isCertain = connectCodes.includes(code);
  const what = message === '' ? code : message;
  return new UnreachableError(`no answer from ${origin}: ${what}`, isCertain);
}
