/**
 * Hands what a connection reads to the HTTP parser in pieces. The parser handles all that it
 * is given before the connection can be closed, and a single read of 64 KB holds 3,600 short
 * requests.
 */
import type * as net from 'node:net';
import * as stream from 'node:stream';
import type * as core from '@flamingoward/core';

/** Size of a piece, in bytes: at most about a hundred requests. */
const PIECE_BYTES = 2_048;
/**
 * What still arrives after the last answer is read and discarded up to these limits. A
 * connection that is closed with unread bytes is reset, and the answer would be lost.
 */
const MAX_LINGER_MS = 1_000;
const MAX_LINGER_BYTES = 16 * 1_024 * 1_024;

/** The stream that an HTTP server parses in place of a socket. */
export interface PiecewiseStream extends stream.Duplex {
  /** Stops reading after the current read, which is still handed over. */
  holdReads(): void;
  resumeReads(): void;
  /** Returns how much has been read, in bytes. */
  getReadBytes(): number;
  /** Returns the size of the latest read, in bytes. */
  getLatestReadBytes(): number;
  /** Discards what still arrives; the connection lingers when it is closed. */
  dropInput(): void;
  isInputDropped(): boolean;
  /** Closes the connection once everything is written. */
  destroySoon(): void;
}

/** Creates the stream of an open socket. */
export function createPiecewiseStream(
  socket: net.Socket,
  timers: core.TimerService,
): PiecewiseStream {
  let isHeld = false;
  let isDropped = false;
  let droppedBytes = 0;
  let lingerTimer: core.TimerSubscription | undefined;
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
      lingerTimer?.end();
      socket.destroy();
      done(error);
    },
  });

  socket.on('data', (bytes: Buffer) => {
    latestReadBytes = bytes.length;
    if (isDropped) dropBytes(bytes.length);
    else pushPieces(bytes);
  });
  socket.on('end', () => {
    if (!isDropped) duplex.push(null);
    else if (duplex.writableFinished) duplex.destroy();
  });
  socket.on('error', (error) => {
    duplex.destroy(error);
  });
  socket.on('close', () => {
    duplex.destroy();
  });

  function isInputDropped(): boolean {
    return isDropped;
  }

  function pushPieces(bytes: Buffer): void {
    let isFull = false;
    for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
      if (duplex.destroyed || isInputDropped()) return;
      isFull = !duplex.push(bytes.subarray(at, at + PIECE_BYTES));
    }
    if (isFull) socket.pause();
  }

  function dropBytes(bytes: number): void {
    droppedBytes += bytes;
    if (droppedBytes > MAX_LINGER_BYTES) duplex.destroy();
  }

  /** Closes the connection once the peer has, or after a while. */
  function startLingering(): void {
    if (socket.readableEnded) {
      duplex.destroy();
      return;
    }
    socket.resume();
    lingerTimer ??= timers.subscribe(
      { name: 'intake.linger', delayMs: MAX_LINGER_MS, repeat: 'once' },
      () => {
        duplex.destroy();
      },
    );
  }

  function finishClose(): void {
    if (isDropped) startLingering();
    else duplex.destroy();
  }

  return Object.assign(duplex, {
    holdReads() {
      isHeld = true;
      socket.pause();
    },
    resumeReads() {
      isHeld = false;
      socket.resume();
    },
    isInputDropped,
    getReadBytes: () => socket.bytesRead,
    getLatestReadBytes: () => latestReadBytes,
    dropInput() {
      isDropped = true;
      isHeld = false;
      socket.resume();
    },
    destroySoon() {
      if (duplex.destroyed) return;
      if (duplex.writableFinished) finishClose();
      else {
        duplex.end();
        duplex.once('finish', finishClose);
      }
    },
  });
}
