/**
 * The first two messages of a connection: `hello` identifies the process, `proof` is
 * an HMAC over the peer's nonce that proves possession of the shared key from the
 * settings. The key itself is never sent.
 */
import * as crypto from 'node:crypto';
import * as core from '@flamingoward/core';

/** Identity that a process sends in `hello`. */
export interface LinkIdentity {
  readonly name: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly region: core.ids.RegionName;
  readonly availabilityZone: core.ids.AvailabilityZone;
}

const NONCE_BYTES = 16;
/** Longest message that is read before the peer is authenticated, in bytes; a `hello` takes a few hundred. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4_096;

/** Builds the `hello` of this process with a fresh nonce. */
export function buildHello(identity: LinkIdentity): core.messages.Hello {
  return {
    kind: 'hello',
    version: core.messages.linkVersion,
    nonce: crypto.randomBytes(NONCE_BYTES).toString('hex'),
    name: identity.name,
    instance: identity.instance,
    region: identity.region,
    availabilityZone: identity.availabilityZone,
  };
}

/**
 * Builds the proof for the peer's nonce. It covers the sender's instance id, so that it
 * isn't valid for another process.
 */
export function buildProof(
  key: string,
  peerNonce: string,
  ownInstance: string,
): core.messages.Proof {
  return { kind: 'proof', proof: computeProof(key, peerNonce, ownInstance) };
}

/** Validates the peer's `hello`; throws `bad-frame` or `version-mismatch`. */
export function checkHello(
  message: unknown,
  peer: string,
): core.messages.Hello {
  if (!isHello(message))
    throw core.createFault(
      'bad-frame',
      { step: 'links.hello', peer },
      'expected hello as the first message',
    );
  if (message.version !== core.messages.linkVersion)
    throw core.createFault(
      'version-mismatch',
      { step: 'links.hello', peer },
      String(message.version),
      String(core.messages.linkVersion),
    );
  return message;
}

/** Verifies the peer's proof; throws `key-mismatch`. */
export function checkProof(
  message: unknown,
  key: string,
  ownNonce: string,
  peerHello: core.messages.Hello,
): void {
  const expected = computeProof(key, ownNonce, peerHello.instance);
  if (!isProof(message) || !isEqualInConstantTime(message.proof, expected))
    throw core.createFault('key-mismatch', {
      step: 'links.proof',
      peer: peerHello.name,
    });
}

function computeProof(key: string, nonce: string, instance: string): string {
  return crypto
    .createHmac('sha256', key)
    .update(`${nonce}:${instance}`)
    .digest('hex');
}

function isEqualInConstantTime(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && crypto.timingSafeEqual(left, right);
}

function isHello(message: unknown): message is core.messages.Hello {
  if (typeof message !== 'object' || message === null) return false;
  const hello = message as Partial<Record<string, unknown>>;
  return (
    hello.kind === 'hello' &&
    typeof hello.version === 'number' &&
    typeof hello.nonce === 'string' &&
    typeof hello.name === 'string' &&
    typeof hello.instance === 'string' &&
    typeof hello.region === 'string' &&
    typeof hello.availabilityZone === 'string'
  );
}

function isProof(message: unknown): message is core.messages.Proof {
  if (typeof message !== 'object' || message === null) return false;
  const proof = message as Partial<Record<string, unknown>>;
  return proof.kind === 'proof' && typeof proof.proof === 'string';
}
