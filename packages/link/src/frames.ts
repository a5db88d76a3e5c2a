/**
 * Framing of the links: each frame is a 4-byte big-endian length and a body in
 * CBOR. The reader takes bytes in any portions and refuses oversized frames
 * before it buffers them.
 */
import * as cbor from 'cbor-x';
import * as core from '@flamingoward/core';

/** Bytes of the length in front of each frame. */
const HEADER_BYTES = 4;

// Plain maps: record structures would tie the decoder to the order of earlier frames.
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one message as a frame. Throws `too-large` above the limit. */
export function encodeFrame(message: unknown, maxBytes: number): Buffer {
  const body = codec.encode(message);
  if (body.length > maxBytes)
    throw core.createFault(
      'too-large',
      { step: 'links.encode', peer: 'self' },
      String(maxBytes),
    );
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Collects bytes and decodes whole frames. */
export interface FrameReader {
  /** Takes bytes and returns the messages that are complete. Throws `bad-frame` or `too-large`. */
  read(bytes: Buffer): unknown[];
}

/** Creates a reader for one connection. */
export function createFrameReader(maxBytes: number, peer: string): FrameReader {
  let pending: Buffer = Buffer.alloc(0);

  function readLength(): number | undefined {
    if (pending.length < HEADER_BYTES) return undefined;
    const length = pending.readUInt32BE(0);
    if (length > maxBytes)
      throw core.createFault(
        'too-large',
        { step: 'links.read', peer },
        String(maxBytes),
      );
    return pending.length < HEADER_BYTES + length ? undefined : length;
  }

  function read(bytes: Buffer): unknown[] {
    pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
    const messages: unknown[] = [];
    for (;;) {
      const length = readLength();
      if (length === undefined) return messages;
      const end = HEADER_BYTES + length;
      messages.push(decodeBody(pending.subarray(HEADER_BYTES, end), peer));
      pending = pending.subarray(end);
    }
  }

  return { read };
}

function decodeBody(body: Buffer, peer: string): unknown {
  try {
    return codec.decode(body);
  } catch (cause) {
    throw core.createFault(
      'bad-frame',
      { step: 'links.read', peer, cause },
      'the body is not valid CBOR',
    );
  }
}
