/**
 * The errors of all packages. One table defines their codes and messages. Each error
 * also carries the step that failed and the peer that it concerns.
 */
import * as verror from 'verror';

const messages = {
  'bad-setting': (what: string) => what,
  'bad-note': (what: string) => `the release note is refused: ${what}`,
  'bad-request': (what: string) => `bad request: ${what}`,
  'bad-frame': (what: string) => `bad frame: ${what}`,
  'version-mismatch': (theirs: string, ours: string) =>
    `the peer uses link version ${theirs} and this process link version ${ours}; run the same release on both`,
  'key-mismatch': () =>
    'the peer has another key; set the same [links] key in both settings files',
  'link-silent': (forMs: string) =>
    `the connection made no progress for ${forMs} ms`,
  'link-closed': () => 'the connection was closed',
  'log-away': (what: string) => `the log service does not answer: ${what}`,
  'peer-away': (what: string) => `the peer does not answer: ${what}`,
  'log-below-oldest': (oldest: string) =>
    `the log keeps records from offset ${oldest} on`,
  'buffer-full': (limit: string) =>
    `${limit} records are waiting for the log service`,
  timeout: (afterMs: string) => `no answer after ${afterMs} ms`,
  'port-in-use': (address: string) =>
    `${address} is in use by another process; change the listen key or stop that process`,
  'too-large': (limit: string) => `larger than the limit of ${limit} bytes`,
  'not-owner': (shard: string) => `this process does not own ${shard}`,
  invariant: (what: string) => `invariant violated: ${what}`,
} as const;

/** Every error code. */
export type FaultCode = keyof typeof messages;

/** Where an error occurred. */
export interface FaultOrigin {
  /** The step that failed, such as `links.open`. */
  readonly step: string;
  /** The other side: a process name, VM id or address; `self` when there is none. */
  readonly peer: string;
  readonly cause?: unknown;
}

/** Code and origin of an error made by `createFault`. */
export interface FaultInfo {
  readonly code: FaultCode;
  readonly step: string;
  readonly peer: string;
}

/** Creates an error with the code's message and the origin. */
export function createFault<Code extends FaultCode>(
  code: Code,
  origin: FaultOrigin,
  ...args: Parameters<(typeof messages)[Code]>
): Error {
  const format: (...values: string[]) => string = messages[code];
  const info: FaultInfo = { code, step: origin.step, peer: origin.peer };
  const options: verror.Options = { name: 'Fault', info: { ...info } };
  if (origin.cause instanceof Error) options.cause = origin.cause;
  return new verror.default.VError(options, '%s', format(...args));
}

/**
 * Returns code, step and peer of an error made by `createFault`, also when such an error
 * is only a cause; undefined for other errors.
 */
export function getFaultInfo(error: unknown): FaultInfo | undefined {
  if (!(error instanceof Error)) return undefined;
  const info = verror.default.VError.info(error) as Partial<FaultInfo>;
  if (info.code === undefined) return undefined;
  return {
    code: info.code,
    step: info.step ?? 'unknown',
    peer: info.peer ?? 'unknown',
  };
}

/** Returns the message of any thrown value. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
