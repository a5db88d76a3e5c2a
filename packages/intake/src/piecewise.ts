/**
 * Hands what a connection reads to the HTTP parser in pieces. The parser handles all that it
 * is given before the connection can be closed, and a single read of 64 KB holds 3,600 short
 * requests.
 */
import type * as net from 'node:net';
import * as stream from 'node:stream';

/** Size of a piece, in bytes: at most about a hundred requests. */
const PIECE_BYTES = 2_048;

/** The stream that an HTTP server parses in place of a socket. */
export interface PiecewiseStream extends stream.Duplex {
  /** Stops reading after the current read, which is still handed over. */
  holdReads(): void;
  resumeReads(): void;
  /** Returns how much has been read, in bytes. */
  getReadBytes(): number;
  /** Returns the size of the latest read, in bytes. */
  getLatestReadBytes(): number;
  /** Closes the connection once everything is written. */
  destroySoon(): void;
}

/** Creates the stream of an open socket. */
export function createPiecewiseStream(socket: net.Socket): PiecewiseStream {
  let isHeld = false;
  let latestReadBytes = 0;
  const duplex = new stream.Duplex({
    read() {
      if (!isHeld) socket.resume();
    },
    write(chunk: Buffer | string, encoding, done) {
      socket.write(chunk, encoding, done);
    },
    writev(chunks, done) {
      // The head and the body of an answer leave in one packet.
      socket.cork();
      for (const [index, { chunk, encoding }] of chunks.entries())
        socket.write(
          chunk as Buffer | string,
          encoding,
          index === chunks.length - 1 ? done : undefined,
        );
      socket.uncork();
    },
    final(done) {
      socket.end(done);
    },
    destroy(error, done) {
      socket.destroy();
      done(error);
    },
  });

  socket.on('data', (bytes: Buffer) => {
    latestReadBytes = bytes.length;
    let isFull = false;
    for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
      if (duplex.destroyed) return;
      isFull = !duplex.push(bytes.subarray(at, at + PIECE_BYTES));
    }
    if (isFull) socket.pause();
  });
  socket.on('end', () => {
    duplex.push(null);
  });
  socket.on('error', (error) => {
    duplex.destroy(error);
  });
  socket.on('close', () => {
    duplex.destroy();
  });

  return Object.assign(duplex, {
    holdReads() {
      isHeld = true;
      socket.pause();
    },
    resumeReads() {
      isHeld = false;
      socket.resume();
    },
    getReadBytes: () => socket.bytesRead,
    getLatestReadBytes: () => latestReadBytes,
    destroySoon() {
      if (duplex.destroyed) return;
      if (duplex.writableFinished) duplex.destroy();
      else {
        duplex.end();
        duplex.once('finish', () => {
          duplex.destroy();
        });
      }
    },
  });
}
