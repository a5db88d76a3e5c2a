/**
 * Notices calls that a silent store has swallowed. A store or a connection may go silent and
 * answer new calls seconds later, while the calls sent before get no answer any more. Such a
 * call would wait for its timeout, which grows with each retry, so starts and acceptances
 * would go on being held up after the store is back. A call counts as swallowed once nothing
 * was answered for a while after it was sent and a later call is answered. A slow store
 * answers calls in between, so its calls keep their timeouts. On a node with few calls, a
 * slow append looks swallowed once a probe is answered; its late answer shows that it wasn't.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';

/** Shortest time without any answer that counts as silence, in ms; several times the answer time of a store in another region. */
const MIN_SILENCE_MS = 400;
/** Time by which the answered call was sent later, in ms; answers may overtake each other by less. */
const MIN_OVERTAKE_MS = 150;
/** Calls aren't ended before this multiple of the time of a late answer; the times of appends of one kind differ by less. */
const SLOW_ANSWER_FACTOR = 2;
/** Time for which a late answer shows that calls are slow, in ms; without a limit, one slow call would switch the tracker off. */
const SLOW_ANSWER_KEPT_MS = 60_000;
const WHY = 'the store was silent and answers later calls';

/** A call that waits for its answer. */
interface PendingCall {
  /** Time from which an answer is due; for a long-polling read that is the end of its wait, and Infinity for a call that is never ended. */
  readonly dueMs: number;
  readonly giveUp: () => void;
}

/** Watches the calls to one store, which together show whether it answers. */
interface SilenceTracker {
  watchStore(store: ports.LogStore): ports.LogStore;
  watchSource(source: ports.StreamSource): ports.StreamSource;
}

/** Creates a tracker. Calls that a silence has swallowed end as without an answer once the store answers again. */
export function createSilenceTracker(
  timers: core.TimerService,
): SilenceTracker {
  const pending = new Set<PendingCall>();
  let lastAnswerMs = timers.getNow();
  /** Time that the last call took that was ended although it was answered, and the time of its answer. */
  let slow: { readonly tookMs: number; readonly atMs: number } | undefined;

  function computeMinAge(nowMs: number): number {
    if (slow === undefined || nowMs - slow.atMs >= SLOW_ANSWER_KEPT_MS)
      return MIN_SILENCE_MS;
    return Math.max(MIN_SILENCE_MS, SLOW_ANSWER_FACTOR * slow.tookMs);
  }

  /** Applies an answer to a call that was sent at a time. */
  function recordAnswer(sentMs: number): void {
    const nowMs = timers.getNow();
    const silenceMs = nowMs - lastAnswerMs;
    lastAnswerMs = nowMs;
    if (silenceMs < MIN_SILENCE_MS) return;
    const minAgeMs = computeMinAge(nowMs);
    for (const call of [...pending])
      if (
        nowMs - call.dueMs >= minAgeMs &&
        sentMs - call.dueMs >= MIN_OVERTAKE_MS
      )
        call.giveUp();
  }

  /** Applies an answer to a call that has been ended; it shows nothing about calls sent since but their likely time. */
  function recordLateAnswer(dueMs: number): void {
    const nowMs = timers.getNow();
    slow = { tookMs: nowMs - dueMs, atMs: nowMs };
  }

  function watchCall<Result>(
    call: Promise<Result>,
    waitMs: number,
    isAnswer: (result: Result) => boolean,
    swallowed: Result,
  ): Promise<Result> {
    const sentMs = timers.getNow();
    return new Promise((resolve, reject) => {
      const entry: PendingCall = {
        dueMs: sentMs + waitMs,
        giveUp() {
          pending.delete(entry);
          resolve(swallowed);
        },
      };
      pending.add(entry);
      call.then(
        (result) => {
          const isPending = pending.delete(entry);
          if (isAnswer(result)) {
            if (isPending) recordAnswer(sentMs);
            else recordLateAnswer(entry.dueMs);
          }
          if (!isPending) return;
          resolve(result);
        },
        (cause: unknown) => {
          pending.delete(entry);
          reject(cause instanceof Error ? cause : new Error(String(cause)));
        },
      );
    });
  }

  function watchSource(source: ports.StreamSource): ports.StreamSource {
    return {
      read: (from, options) =>
        watchCall<ports.ReadResult>(
          source.read(from, options),
          options.waitMs,
          ({ outcome }) => outcome !== 'failed',
          { outcome: 'failed', why: WHY },
        ),
      readNewest: (timeoutMs) =>
        watchCall<ports.NewestResult>(
          source.readNewest(timeoutMs),
          // It consists of calls for single pages, which may take long together and have timeouts of their own.
          Infinity,
          ({ outcome }) => outcome !== 'failed',
          { outcome: 'failed', why: WHY },
        ),
    };
  }

  return {
    watchSource,
    watchStore: (store) => ({
      append: (stream, records, options) =>
        watchCall<ports.AppendResult>(
          store.append(stream, records, options),
          0,
          ({ outcome }) => outcome !== 'unknown' && outcome !== 'refused',
          { outcome: 'unknown', why: WHY },
        ),
      openStream: (stream) => watchSource(store.openStream(stream)),
    }),
  };
}

/** Returns a context whose calls to the store are watched together. */
export function watchStoreCalls(
  context: contexts.NodeContext,
): contexts.NodeContext {
  const { ports, timers } = context;
  const silence = createSilenceTracker(timers);
  return {
    ...context,
    ports: {
      ...ports,
      store: silence.watchStore(ports.store),
      configuration: {
        ...silence.watchSource(ports.configuration),
        decode: (record) => ports.configuration.decode(record),
      },
      vms: {
        ...silence.watchSource(ports.vms),
        decode: (record) => ports.vms.decode(record),
      },
    },
  };
}
