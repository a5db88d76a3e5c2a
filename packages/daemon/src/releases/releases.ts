/**
 * Maintains the release in force in this process: folds the stream `releases`,
 * publishes release notes, and writes snapshots to the log, so that the configuration
 * outlives the retention of the notes. Without the log, the state comes from a peer.
 */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import * as acceptance from './acceptance.js';

/** Name of the stream of release notes and snapshots. */
export const RELEASES_STREAM = 'releases';

/** Time for which the append of a note is retried, in ms. */
export const APPEND_TIMEOUT_MS = 5_000;

/** Timeout for reading the own record back after the append, in ms. */
export const READ_BACK_TIMEOUT_MS = 10_000;

/** Age at which the snapshot is written again, in ms; must stay well below half the retention of the log. */
export const SNAPSHOT_INTERVAL_MS = 600_000;

/** Number of notes after which the snapshot is written again. */
export const SNAPSHOT_INTERVAL_NOTES = 100;

/** Additional wait per rank of a process before it writes a snapshot, in ms, so that usually only one process writes. */
export const SNAPSHOT_STAGGER_MS = 10_000;

const POLL_INTERVAL_MS = 500;
const ACCEPTANCE_INTERVAL_MS = 50;
const PEER_STATE_TIMEOUT_MS = 1_000;

/** Dependencies of the releases part. */
export interface ReleasesOptions {
  readonly context: types.PartContext;
  readonly streams: types.Streams;
  readonly membership: types.Membership;
  readonly links: types.Links;
  /** The other processes as the settings name them. */
  readonly peers: readonly core.settings.PeerSetting[];
  /** Default: SNAPSHOT_EVERY_MS. */
  readonly snapshotIntervalMs?: number;
}

/** The releases part as the process composition uses it. */
export interface ReleasesPart extends types.Releases, types.Dumpable {
  /** Ends timers and subscriptions. */
  close(): void;
}

/** An own note whose record hasn't been read back yet. */
interface PendingReadBack {
  readonly body: core.records.ReleaseRecord;
  readonly publishedMs: number;
  readonly from: core.ids.Offset;
  resolve(offset: core.ids.Offset | undefined): void;
}

type StreamRecord = core.records.LogRecord<core.records.ReleaseStreamRecord>;

/** Creates the releases part and begins to read the stream. */
export function createReleases(options: ReleasesOptions): ReleasesPart {
  const { context, streams, membership, links } = options;
  const { timers, log } = context;
  const snapshotIntervalMs = options.snapshotIntervalMs ?? SNAPSHOT_INTERVAL_MS;
  const changes = core.createSubject<core.releases.ReleaseHistoryItem>();
  const pendingReadBacks = new Set<PendingReadBack>();
  const reader =
    streams.open<core.records.ReleaseStreamRecord>(RELEASES_STREAM);
  let fold = core.emptyReleaseLog;
  let isReleaseKnown = false;
  let isFetchingPeerState = false;
  let isReadingHead = false;
  let isWritingSnapshot = false;
  let notesSinceSnapshot = 0;
  // The age of the snapshot in the log isn't known at the start; half the interval is assumed.
  let lastSnapshotMs = timers.getNow() - snapshotIntervalMs / 2;

  const getState = () => fold.state;
  const tracker = acceptance.createAcceptanceTracker({
    context,
    membership,
    peers: options.peers,
    getState,
  });

  function receiveRecord(record: StreamRecord): void {
    recordGap();
    const before = fold;
    fold = core.applyReleaseRecord(fold, record);
    if (core.isSnapshot(record.body)) {
      lastSnapshotMs = timers.getNow();
      notesSinceSnapshot = 0;
    } else notesSinceSnapshot += 1;
    resolveReadBacks(record);
    reportChange(before);
    tracker.update();
  }

  function recordGap(): void {
    const skipped = reader.getSkippedBelow?.();
    if (skipped !== undefined) fold = core.markGap(fold, skipped);
  }

  function resolveReadBacks(record: StreamRecord): void {
    for (const own of pendingReadBacks) {
      if (record.offset < own.from || !isSameNote(record.body, own.body))
        continue;
      tracker.track(record.offset, own.publishedMs);
      own.resolve(record.offset);
    }
  }

  function reportChange(before: core.ReleaseLog): void {
    if (before.state === fold.state) return;
    const known = new Set(before.state.history.map((item) => item.offset));
    const { offset, history } = fold.state;
    for (const item of history) {
      const isCurrent =
        item.offset === offset && before.state.offset !== offset;
      if (known.has(item.offset) && !isCurrent) continue;
      if (isCurrent) tracker.track(offset, timers.getNow());
      reportItem(item);
      changes.push(item);
    }
  }

  function reportItem(item: core.releases.ReleaseHistoryItem): void {
    const { verdict } = item.verdict;
    context.metrics.count('releases', { verdict });
    log.write('info', 'release.read', {
      id: item.note.id,
      offset: item.offset,
      verdict,
      publisher: item.publisher,
    });
  }

  function isReady(): boolean {
    isReleaseKnown ||= isHeadKnown();
    return isReleaseKnown;
  }

  function isHeadKnown(): boolean {
    if (reader.getHeadReadMs() === undefined) return false;
    // When no record was read, a head offset above 0 is the only sign that earlier records were dropped.
    if (fold.reading.mode === 'unread')
      fold = core.markGap(fold, reader.getNextOffset());
    return fold.reading.mode !== 'gap';
  }

  // Records that come through a relay don't show where the head of the log is, so it is read explicitly.
  async function readHead(): Promise<void> {
    isReadingHead = true;
    try {
      await reader.waitForHead();
    } catch (error) {
      log.write('warn', 'release.head.failed', {
        error: core.describeError(error),
      });
    } finally {
      isReadingHead = false;
    }
  }

  function shouldFetchPeerState(): boolean {
    if (fold.reading.mode === 'gap') return true;
    return !isReady() && streams.getUnreachableSinceMs() !== undefined;
  }

  async function fetchPeerState(): Promise<void> {
    const peers = membership
      .listPeers()
      .filter((one) => one.health === 'live')
      .filter((one) => one.heartbeat.state === 'ready');
    for (const peer of peers) {
      if (!shouldFetchPeerState()) return;
      await askPeer(peer);
    }
  }

  async function askPeer(peer: types.PeerView): Promise<void> {
    try {
      const question = { kind: 'release.state' } as const;
      const answer = await links.ask(
        peer.instance,
        question,
        PEER_STATE_TIMEOUT_MS,
      );
      if (answer.kind === 'release.state.answer') applyPeerState(answer);
    } catch (error) {
      log.write('warn', 'release.state.failed', {
        peer: peer.name,
        error: core.describeError(error),
      });
    }
  }

  function applyPeerState(
    answer: Extract<core.messages.Answer, { kind: 'release.state.answer' }>,
  ): void {
    const body: unknown = answer.records[0]?.body;
    if (!answer.ready || !core.isSnapshot(body)) return;
    const before = fold;
    fold = core.applySnapshot(fold, body);
    isReleaseKnown ||= fold.reading.mode !== 'gap';
    reportChange(before);
  }

  function buildPeerState(): core.messages.Answer {
    const body = isReady() ? core.buildSnapshot(fold) : undefined;
    return {
      kind: 'release.state.answer',
      ready: body !== undefined,
      next: fold.next,
      records:
        body === undefined ? [] : [{ offset: body.upTo, id: 'state', body }],
    };
  }

  async function publish(
    text: string,
    publisher: string,
  ): Promise<types.PublishResult> {
    if (!isReady() || fold.reading.mode === 'gap')
      return refuse('this process does not know the release in force yet');
    const body: core.records.ReleaseRecord = {
      type: 'release',
      text,
      publisher,
      publishedMs: timers.getDate(),
    };
    const readBack = waitForReadBack(body);
    try {
      return await appendNote(body, readBack.offset);
    } finally {
      readBack.end();
    }
  }

  async function appendNote(
    body: core.records.ReleaseRecord,
    readBack: Promise<core.ids.Offset | undefined>,
  ): Promise<types.PublishResult> {
    const append = streams.append(RELEASES_STREAM, body, {
      flush: 'now',
      giveUpMs: APPEND_TIMEOUT_MS,
    });
    // Once the own record is read back, a lost reply to the append doesn't matter.
    const first = await Promise.race([append, readBack]);
    const outcome = typeof first === 'number' ? undefined : await append;
    if (outcome?.outcome === 'not-appended')
      return refuse(
        outcome.reason === 'log-away'
          ? 'the log service does not answer'
          : 'too many records wait for the log service',
      );
    const offset = await readBack;
    const item = fold.state.history.find((one) => one.offset === offset);
    return offset === undefined || item === undefined
      ? describeUnknown(outcome)
      : { result: 'verdict', offset, verdict: item.verdict };
  }

  function refuse(cause: string): types.PublishResult {
    const { current } = fold.state;
    const reason = `not published: ${cause}; release ${current} stays in force`;
    return { result: 'not-published', reason };
  }

  function waitForReadBack(body: core.records.ReleaseRecord): {
    readonly offset: Promise<core.ids.Offset | undefined>;
    end(): void;
  } {
    const publishedMs = timers.getNow();
    let end = () => {
      // Replaced when the promise is created below.
    };
    const offset = new Promise<core.ids.Offset | undefined>((resolve) => {
      const own: PendingReadBack = {
        body,
        publishedMs,
        from: fold.next,
        resolve,
      };
      const timer = timers.subscribe(
        {
          name: 'releases.read-back',
          delayMs: APPEND_TIMEOUT_MS + READ_BACK_TIMEOUT_MS,
          repeat: 'once',
        },
        () => {
          resolve(undefined);
        },
      );
      pendingReadBacks.add(own);
      end = () => {
        timer.end();
        pendingReadBacks.delete(own);
      };
    });
    return {
      offset,
      end: () => {
        end();
      },
    };
  }

  async function writeSnapshot(): Promise<void> {
    const body = core.buildSnapshot(fold);
    if (body === undefined || isWritingSnapshot) return;
    isWritingSnapshot = true;
    // Prevents a second snapshot before this one is read back.
    lastSnapshotMs = timers.getNow();
    notesSinceSnapshot = 0;
    try {
      const { outcome } = await streams.append(RELEASES_STREAM, body, {
        flush: 'grouped',
        giveUpMs: APPEND_TIMEOUT_MS,
      });
      if (outcome !== 'appended') lastSnapshotMs -= snapshotIntervalMs;
      log.write('info', 'release.snapshot', { upTo: body.upTo, outcome });
    } catch (error) {
      const message = core.describeError(error);
      log.write('error', 'release.snapshot.failed', { error: message });
    } finally {
      isWritingSnapshot = false;
    }
  }

  function isSnapshotDue(nowMs: number): boolean {
    if (fold.reading.mode !== 'complete' || fold.next === 0) return false;
    if (streams.getUnreachableSinceMs() !== undefined) return false;
    const staggerMs = computeRank() * SNAPSHOT_STAGGER_MS;
    if (nowMs - lastSnapshotMs >= snapshotIntervalMs + staggerMs) return true;
    const maxNotes = SNAPSHOT_INTERVAL_NOTES + computeRank();
    return notesSinceSnapshot >= maxNotes;
  }

  // Duplicate snapshots are harmless; the rank only prevents all processes from writing at once.
  function computeRank(): number {
    const live = membership
      .listPeers()
      .filter((peer) => peer.health === 'live')
      .filter((peer) => peer.heartbeat.state === 'ready');
    return live.filter((peer) => peer.instance < context.identity.instance)
      .length;
  }

  function poll(nowMs: number): void {
    recordGap();
    if (!isReady() && !isReadingHead) void readHead();
    if (shouldFetchPeerState() && !isFetchingPeerState) {
      isFetchingPeerState = true;
      void fetchPeerState().finally(() => {
        isFetchingPeerState = false;
      });
    }
    if (isSnapshotDue(nowMs)) void writeSnapshot();
  }

  links.handle('release.state', () => Promise.resolve(buildPeerState()));
  const subscription = reader.records.subscribe({
    next: receiveRecord,
    error: (error) => {
      log.write('error', 'release.stream.failed', { error: error.message });
    },
    complete: () => undefined,
  });
  const pollTimer = timers.subscribe(
    { name: 'releases.poll', delayMs: POLL_INTERVAL_MS, repeat: 'periodic' },
    poll,
  );
  const acceptanceTimer = timers.subscribe(
    {
      name: 'releases.acceptance',
      delayMs: ACCEPTANCE_INTERVAL_MS,
      repeat: 'periodic',
    },
    tracker.update,
  );

  return {
    getState,
    publish,
    getAcceptance: tracker.get,
    isReady,
    changes: changes.stream,
    dump: () => describeFold(fold, isReady()),
    close: () => {
      subscription.unsubscribe();
      pollTimer.end();
      acceptanceTimer.end();
      for (const own of pendingReadBacks) own.resolve(undefined);
    },
  };
}

function isSameNote(body: unknown, own: core.records.ReleaseRecord): boolean {
  const read = body as Partial<core.records.ReleaseRecord> | null;
  return (
    read?.type === 'release' &&
    read.text === own.text &&
    read.publisher === own.publisher &&
    read.publishedMs === own.publishedMs
  );
}

function describeUnknown(
  outcome: types.AppendOutcome | undefined,
): types.PublishResult {
  const what =
    outcome?.outcome === 'appended'
      ? `the note is in the log at offset ${outcome.offset}, but was not read back in time`
      : 'the log service gave no certain answer';
  const reason = `${what}; publish the same note again: the first copy counts, the second is a repeat`;
  return { result: 'unknown', reason };
}

function describeFold(fold: core.ReleaseLog, ready: boolean): unknown {
  const { state, reading, next } = fold;
  return {
    ready,
    current: state.current,
    offset: state.offset,
    next,
    reading: reading.mode,
    waiting: reading.mode === 'gap' ? reading.waiting.length : 0,
    entries: core.listEntries(state),
    history: state.history.map((item) => ({
      offset: item.offset,
      id: item.note.id,
      publisher: item.publisher,
      verdict: item.verdict,
    })),
  };
}
