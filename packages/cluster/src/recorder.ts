/**
 * Appends the owner's batches: progress records, final states and dropped keys. A batch
 * that is too large for one append is split: its records are about different jobs, and it
 * counts as durable once all of them are. Each append carries the fence as its epoch and
 * a sequence number, so that a late append of an earlier owner is refused and a retried
 * one is written once.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as timeouts from './timeouts.js';
import * as records from './records.js';

/** Delay before an append that the store refused or didn't answer is retried, in ms. */
const RETRY_DELAY_MS = 150;
const WRITER_NAME = 'owner';

/** Writes batches one after another. */
export interface Recorder {
  /** Fences off earlier owners with empty appends; rejects when this owner has been replaced. */
  open(): Promise<void>;
  /** Resolves once the batch is durable; rejects when this owner has been replaced. */
  write(batch: core.workloads.RecordBatch): Promise<void>;
  close(): void;
}

/** Creates the recorder of an owner; `onAppendFailed` is called when the store refuses an append or doesn't answer it. */
export function createRecorder(
  context: contexts.NodeContext,
  fence: number,
  onAppendFailed: () => void,
): Recorder {
  const { timers, log } = context;
  const sequences = { jobs: 0, progress: 0, claims: 0 };
  const timeoutsByStream = {
    jobs: timeouts.createAppendTimeout(),
    progress: timeouts.createAppendTimeout(),
    claims: timeouts.createAppendTimeout(),
  };
  let closed = false;

  function isClosed(): boolean {
    return closed;
  }

  async function append(
    stream: ports.StreamName,
    newRecords: readonly ports.NewRecord[],
  ): Promise<void> {
    const appendTimeout = timeoutsByStream[stream];
    let attempts = 0;
    while (!isClosed()) {
      attempts += 1;
      const startedMs = timers.getNow();
      const result = await context.ports.store.append(stream, newRecords, {
        timeoutMs: appendTimeout.getMs(),
        writer: {
          name: WRITER_NAME,
          epoch: fence,
          sequence: sequences[stream],
        },
      });
      if (result.outcome === 'unknown') appendTimeout.recordNoAnswer();
      else appendTimeout.recordAnswer(timers.getNow() - startedMs);
      switch (result.outcome) {
        case 'appended':
          sequences[stream] += 1;
          return;
        case 'fenced':
        case 'conflict':
          throw createReplacedFault(stream);
        case 'sequence':
          // The store expects the following number if an earlier attempt of this append was written.
          if (result.expected === sequences[stream] + 1) {
            sequences[stream] += 1;
            return;
          }
          sequences[stream] = result.expected;
          break;
        case 'refused':
        case 'unknown':
          log.write('warn', 'record.retry', {
            stream,
            tries: attempts,
            outcome: result.outcome,
            why: result.why,
          });
          onAppendFailed();
          await core.waitFor(timers, 'recorder.retry', RETRY_DELAY_MS);
      }
    }
    throw createReplacedFault(stream);
  }

  async function appendAll(
    stream: ports.StreamName,
    newRecords: readonly ports.NewRecord[],
  ): Promise<void> {
    const { maxAppendBytes } = context.settings;
    for (const group of records.splitBySize(newRecords, maxAppendBytes))
      await append(stream, group);
  }

  function createReplacedFault(stream: string): Error {
    return core.createFault(
      'not-owner',
      { step: 'recorder.append', peer: 'store' },
      stream,
    );
  }

  return {
    async open() {
      await Promise.all([append('jobs', []), append('progress', [])]);
    },
    async write(batch) {
      const progress: ports.NewRecord[] = [];
      for (const [key, value] of batch.progress) progress.push({ key, value });
      for (const key of batch.dropped) progress.push({ key, value: undefined });
      const finals = [...batch.finals].flatMap(([id, state]) =>
        records.buildFinal(id, state),
      );
      await Promise.all([
        appendAll('jobs', finals),
        appendAll('progress', progress),
      ]);
    },
    close() {
      closed = true;
    },
  };
}
