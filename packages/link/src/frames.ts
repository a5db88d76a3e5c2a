/**
 * Frames of the links between processes: a 4-byte big-endian length followed by a
 * CBOR body. The reader accepts chunks of any size and rejects an oversized frame
 * by its length, before buffering its body.
 */
import * as cbor from 'cbor-x';
import * as core from '@flamingoward/core';

/** Size of the length field that precedes each body. */
const HEADER_BYTES = 4;

// Record structures would make decoding a frame depend on the frames before it.
const codec = new cbor.Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one message as a frame; throws `too-large` when its body exceeds `maxBytes`. */
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

/** Buffers received bytes and decodes complete frames. */
export interface FrameReader {
  /**
   * Adds bytes and yields the messages completed by them. Throws `bad-frame` or `too-large`.
   * The limit of a message applies that was returned when the one before it was handled.
   */
  read(bytes: Buffer): Iterable<unknown>;
}

/** Creates the frame reader of one connection. */
export function createFrameReader(
  getMaxBytes: () => number,
  peer: string,
): FrameReader {
  let buffered: Buffer = Buffer.alloc(0);

  function readBodyLength(): number | undefined {
    if (buffered.length < HEADER_BYTES) return undefined;
    const length = buffered.readUInt32BE(0);
    const maxBytes = getMaxBytes();
    if (length > maxBytes)
      throw core.createFault(
        'too-large',
        { step: 'links.read', peer },
        String(maxBytes),
      );
    return buffered.length < HEADER_BYTES + length ? undefined : length;
  }

  function* read(bytes: Buffer): Iterable<unknown> {
    buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
    for (;;) {
      const length = readBodyLength();
      if (length === undefined) return;
      const end = HEADER_BYTES + length;
      const body = buffered.subarray(HEADER_BYTES, end);
      buffered = buffered.subarray(end);
      yield decodeBody(body, peer);
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
