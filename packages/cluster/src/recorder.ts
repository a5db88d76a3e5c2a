/**
 * Writes the owner's batches: progress records, final states and dropped keys, each
 * under the fence as epoch, so that a late append of an earlier owner is refused and
 * a repeated one is written once.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as patiences from './timeouts.js';
import * as records from './records.js';

/** Time between tries while the store refuses, in ms. */
const RETRY_MS = 150;
const WRITER = 'owner';

/** Writes batches one after another. */
export interface Recorder {
  /** Shuts out earlier owners; rejects when this one has been replaced. */
  open(): Promise<void>;
  /** Resolves once the batch is durable; rejects when this owner has been replaced. */
  write(batch: core.workloads.RecordBatch): Promise<void>;
  close(): void;
}

/** Creates the recorder of an owner; `onTrouble` is called when the store doesn't take an append. */
export function createRecorder(
  context: contexts.NodeContext,
  fence: number,
  onTrouble: () => void,
): Recorder {
  const { timers, log } = context;
  const sequences = { jobs: 0, progress: 0, claims: 0 };
  const patienceByStream = {
    jobs: patiences.createPatience(),
    progress: patiences.createPatience(),
    claims: patiences.createPatience(),
  };
  let closed = false;

  function isClosed(): boolean {
    return closed;
  }

  async function append(
    stream: ports.StreamName,
    added: readonly ports.NewRecord[],
  ): Promise<void> {
    const patience = patienceByStream[stream];
    let tries = 0;
    while (!isClosed()) {
      tries += 1;
      const startedMs = timers.readNow();
      const result = await context.ports.store.append(stream, added, {
        timeoutMs: patience.readTimeout(),
        writer: { name: WRITER, epoch: fence, sequence: sequences[stream] },
      });
      if (result.outcome === 'unknown') patience.noteSilence();
      else patience.noteAnswer(timers.readNow() - startedMs);
      switch (result.outcome) {
        case 'appended':
          sequences[stream] += 1;
          return;
        case 'fenced':
        case 'conflict':
          throw createReplacedFault(stream);
        case 'sequence':
          // The number after ours is expected when ours has been written.
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
            tries,
            outcome: result.outcome,
            why: result.why,
          });
          onTrouble();
          await core.waitFor(timers, 'recorder.retry', RETRY_MS);
      }
    }
    throw createReplacedFault(stream);
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
        finals.length > 0 ? append('jobs', finals) : undefined,
        progress.length > 0 ? append('progress', progress) : undefined,
      ]);
    },
    close() {
      closed = true;
    },
  };
}
