/**
 * Appends the owner's batches: progress records, final states and dropped keys. A batch
 * that is too large for one append is split: its records don't depend on each other, and it
 * counts as durable once all of them are. If the store rejects an append for good, the
 * record at fault is found and left out, so that the others don't wait for it. Each append
 * carries the fence as its epoch and a sequence number, so that a late append of an earlier
 * owner is refused and a retried one is written once.
 */
import * as core from '@flamingoward/core';
import type * as access from './access.js';
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
  /**
   * Resolves once the batch is durable, with the keys of the progress records that the store
   * will never take; rejects when this owner has been replaced.
   */
  write(
    batch: Pick<core.workloads.RecordBatch, 'progress' | 'finals' | 'dropped'>,
  ): Promise<readonly core.workloads.ProgressKey[]>;
  close(): void;
}

/**
 * Creates the recorder of an owner; `onAppendFailed` is called when the store refuses an
 * append or doesn't answer it, and `findOrigin` for the origin of an ended job.
 */
export function createRecorder(
  context: contexts.NodeContext,
  fence: number,
  onAppendFailed: () => void,
  findOrigin: (id: core.ids.JobId) => access.JobOrigin | undefined = () =>
    undefined,
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

  /** Appends records, and tries again until the store has taken or rejected them. */
  async function append(
    stream: ports.StreamName,
    newRecords: readonly ports.NewRecord[],
  ): Promise<'appended' | 'rejected'> {
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
      // Final states and dropped keys are short: a store that rejects them rejects all that it is sent.
      if (
        result.outcome === 'rejected' &&
        stream === 'progress' &&
        newRecords.some(hasValue)
      ) {
        log.write(
          'error',
          'record.rejected',
          records.describeRejected(stream, newRecords, result.why),
        );
        return 'rejected';
      }
      switch (result.outcome) {
        case 'appended':
          sequences[stream] += 1;
          return 'appended';
        case 'fenced':
        case 'conflict':
          throw createReplacedFault(stream);
        case 'sequence':
          // The store expects the following number if an earlier attempt of this append was written.
          if (result.expected === sequences[stream] + 1) {
            sequences[stream] += 1;
            return 'appended';
          }
          sequences[stream] = result.expected;
          break;
        case 'refused':
        case 'rejected':
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

  /** Appends all records that the store takes, in their order; returns the others. */
  async function appendAll(
    stream: ports.StreamName,
    newRecords: readonly ports.NewRecord[],
  ): Promise<readonly ports.NewRecord[]> {
    const { maxAppendBytes } = context.settings;
    const rejected: ports.NewRecord[] = [];
    for (const group of records.splitBySize(newRecords, maxAppendBytes))
      rejected.push(...(await appendGroup(stream, group)));
    return rejected;
  }

  /** Appends a group; if the store rejects it, appends its halves, down to the record at fault. */
  async function appendGroup(
    stream: ports.StreamName,
    group: readonly ports.NewRecord[],
  ): Promise<readonly ports.NewRecord[]> {
    if ((await append(stream, group)) === 'appended') return [];
    if (group.length === 1) return group;
    const middle = Math.ceil(group.length / 2);
    const first = await appendGroup(stream, group.slice(0, middle));
    return [...first, ...(await appendGroup(stream, group.slice(middle)))];
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
        records.buildFinal(id, state, findOrigin(id)),
      );
      const [, rejected] = await Promise.all([
        appendAll('jobs', finals),
        appendAll('progress', progress),
      ]);
      return rejected.map(({ key }) => key);
    },
    close() {
      closed = true;
    },
  };
}

function hasValue({ value }: ports.NewRecord): boolean {
  return value !== undefined;
}
