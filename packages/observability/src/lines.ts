/**
 * Writes log lines without ever blocking the process: lines are collected in a
 * bounded buffer and handed to the operating system in the background. When the
 * reader is slow, lines are dropped and the number of dropped lines is logged.
 */
import * as fs from 'node:fs';
import type * as core from '@flamingoward/core';

/** Bytes that may wait for the reader. */
const MAX_PENDING_BYTES = 256 * 1_024;
/** Time for which lines are collected before they are written, in ms. */
const FLUSH_MS = 100;
/** Lines a second that are written on average, and the burst beyond. */
const LINES_PER_S = 400;
const BURST_LINES = 2_000;
/** Part of the burst that lines of every request and task leave to others, such as a change of the owner. */
const RESERVED_LINES = 500;

/** Events that come with every request, step, task or job. */
const frequentEvent = /^(request|step|task|job)\./;

/** A writer of lines. */
export interface LineWriter {
  /** Writes a line; those of frequent events are dropped first. */
  readonly write: (line: string, event: string) => void;
  /** Writes what is collected at once, blocking; for the end of the process. */
  flush(): void;
  readDropped(): number;
}

/** Creates a writer on a file descriptor. */
export function createLineWriter(
  descriptor: number,
  timers: core.TimerService,
): LineWriter {
  let pending: string[] = [];
  let pendingBytes = 0;
  let dropped = 0;
  let droppedTold = 0;
  let writing = false;
  let scheduled = false;
  let tokens = BURST_LINES;
  let filledMs = timers.readNow();

  function takeToken(event: string): boolean {
    const nowMs = timers.readNow();
    tokens = Math.min(
      BURST_LINES,
      tokens + ((nowMs - filledMs) * LINES_PER_S) / 1_000,
    );
    filledMs = nowMs;
    const left = frequentEvent.test(event) ? RESERVED_LINES : 0;
    if (tokens < 1 + left) return false;
    tokens -= 1;
    return true;
  }

  function write(line: string, event: string): void {
    if (pendingBytes + line.length > MAX_PENDING_BYTES || !takeToken(event)) {
      dropped += 1;
      return;
    }
    pending.push(line);
    pendingBytes += line.length + 1;
    if (scheduled || writing) return;
    scheduled = true;
    timers.subscribe(
      { name: 'log.flush', delayMs: FLUSH_MS, repeat: 'once' },
      () => {
        scheduled = false;
        writePending();
      },
    );
  }

  function takePending(): string {
    if (dropped > droppedTold) {
      pending.push(`event=log.dropped lines=${dropped - droppedTold}`);
      droppedTold = dropped;
    }
    const text = `${pending.join('\n')}\n`;
    pending = [];
    pendingBytes = 0;
    return text;
  }

  function writePending(): void {
    if (writing || pending.length === 0) return;
    writeRest(Buffer.from(takePending()));
  }

  function writeRest(bytes: Buffer): void {
    writing = true;
    fs.write(descriptor, bytes, (cause, written) => {
      writing = false;
      // Nowhere is left to report that the log itself can't be written.
      if (cause !== null) dropped += 1;
      else if (written < bytes.length) writeRest(bytes.subarray(written));
      else writePending();
    });
  }

  return {
    write,
    flush() {
      if (pending.length === 0) return;
      try {
        fs.writeSync(descriptor, takePending());
      } catch {
        dropped += 1;
      }
    },
    readDropped: () => dropped,
  };
}
