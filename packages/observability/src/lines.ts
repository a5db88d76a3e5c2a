/**
 * Writes log lines without blocking the process: lines are buffered up to a limit and
 * written asynchronously. A token bucket limits the rate of lines. Lines over either limit,
 * such as those during a slow reader of the log, are dropped, and their number is logged.
 */
import * as fs from 'node:fs';
import type * as core from '@flamingoward/core';

/** Largest size of the buffered lines. */
const MAX_PENDING_BYTES = 256 * 1_024;
/** Time for which lines are buffered before they are written. */
const FLUSH_DELAY_MS = 100;
/** Refill rate and capacity of the token bucket, in lines. */
const MAX_LINES_PER_S = 400;
const BURST_LINES = 2_000;
/** Tokens that frequent events must leave to rare ones, such as a change of a shard's owner. */
const RESERVED_BURST_LINES = 500;

/** Events that are logged for every request, step, task, run or job; those of owed work and of late ends are bounded by their source. */
const frequentEvent =
  /^(request|step|task|run|job)\.(?!owed|missing|ended-elsewhere)/;

/** Writer of log lines with bounded memory and a bounded rate. */
export interface LineWriter {
  /** Buffers a line, or drops it when a limit is reached; lines of frequent events are dropped first. */
  readonly write: (line: string, event: string) => void;
  /** Returns whether a line of an event would be written now; counts it as dropped if not. */
  readonly accept: (event: string) => boolean;
  /** Writes the buffered lines synchronously; called when the process exits. */
  flush(): void;
  /** Returns the number of lines dropped since the start. */
  getDroppedLines(): number;
}

/** Creates a line writer on a file descriptor. */
export function createLineWriter(
  descriptor: number,
  timers: core.TimerService,
): LineWriter {
  let pending: string[] = [];
  let pendingBytes = 0;
  let dropped = 0;
  let reportedDropped = 0;
  let isWriting = false;
  let isFlushScheduled = false;
  let tokens = BURST_LINES;
  let refilledMs = timers.getNow();

  function hasToken(event: string): boolean {
    const nowMs = timers.getNow();
    tokens = Math.min(
      BURST_LINES,
      tokens + ((nowMs - refilledMs) * MAX_LINES_PER_S) / 1_000,
    );
    refilledMs = nowMs;
    const reserved = frequentEvent.test(event) ? RESERVED_BURST_LINES : 0;
    return tokens >= 1 + reserved;
  }

  function accept(event: string): boolean {
    const accepted = pendingBytes < MAX_PENDING_BYTES && hasToken(event);
    if (!accepted) dropped += 1;
    return accepted;
  }

  function write(line: string, event: string): void {
    if (pendingBytes + line.length > MAX_PENDING_BYTES || !hasToken(event)) {
      dropped += 1;
      return;
    }
    tokens -= 1;
    pending.push(line);
    pendingBytes += line.length + 1;
    if (isFlushScheduled || isWriting) return;
    isFlushScheduled = true;
    timers.subscribe(
      { name: 'log.flush', delayMs: FLUSH_DELAY_MS, repeat: 'once' },
      () => {
        isFlushScheduled = false;
        writePending();
      },
    );
  }

  function takePending(): string {
    if (dropped > reportedDropped) {
      pending.push(`event=log.dropped lines=${dropped - reportedDropped}`);
      reportedDropped = dropped;
    }
    const text = `${pending.join('\n')}\n`;
    pending = [];
    pendingBytes = 0;
    return text;
  }

  function writePending(): void {
    if (isWriting || pending.length === 0) return;
    writeBytes(Buffer.from(takePending()));
  }

  function writeBytes(bytes: Buffer): void {
    isWriting = true;
    fs.write(descriptor, bytes, (cause, written) => {
      isWriting = false;
      // A failed write of the log can't be logged, so it is only counted.
      if (cause !== null) dropped += 1;
      else if (written < bytes.length) writeBytes(bytes.subarray(written));
      else writePending();
    });
  }

  return {
    write,
    accept,
    flush() {
      if (pending.length === 0) return;
      try {
        fs.writeSync(descriptor, takePending());
      } catch {
        dropped += 1;
      }
    },
    getDroppedLines: () => dropped,
  };
}
