/**
 * The configuration in force: followed by a waiting read, newest version only, so
 * that a node never goes back to an older one within its life.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as tails from './tail.js';

/** Longest wait of a read, in ms: with its time-out, a silent connection is found before a version is due. */
const FOLLOW_MS = 1_200;
/** Age of the last answer from which this node can't tell that a route doesn't exist, in ms. */
const STALE_MS = 2_600;
/** Time before the next try after a failed read, in ms. */
const RETRY_MS = 150;
/** Pause between reads, in ms, so that records that come together are read together. */
const PAUSE_MS = 20;

/** The configuration as this node knows it. */
export interface ConfigurationView {
  read(): ports.Configuration | undefined;
  /** Whether a newer version may be in force for longer than nodes may lag behind. */
  isStale(): boolean;
  /** Finds the route of a request and the rest of its path. */
  findRoute(
    host: string,
    path: string,
  ): { readonly route: ports.Route; readonly rest: string } | undefined;
  readPolicies(): {
    readonly version: number;
    readonly policies: ReadonlyMap<
      core.workloads.QueueName,
      core.workloads.QueuePolicy
    >;
  };
  open(): void;
  close(): void;
}

/** Creates the view. */
export function createConfigurationView(
  context: contexts.NodeContext,
): ConfigurationView {
  const { timers, log } = context;
  const source = context.ports.configuration;
  let current: ports.Configuration | undefined;
  let policies = new Map<
    core.workloads.QueueName,
    core.workloads.QueuePolicy
  >();
  let closed = false;
  let lost = false;
  let readMs = 0;

  const tail = tails.createTail({
    source,
    apply: applyRecord,
    onFailed: (why) => {
      if (!lost)
        log.write('warn', 'store.lost', { stream: 'configuration', why });
      lost = true;
    },
  });

  function applyRecord(record: ports.KeyedRecord): void {
    const decoded = source.decode(record);
    if (decoded === undefined) return;
    if (!decoded.readable) {
      log.write('warn', 'configuration.unreadable', { why: decoded.why });
      return;
    }
    const next = decoded.value;
    if (current !== undefined && next.version <= current.version) return;
    current = next;
    policies = new Map(
      next.routes.map(({ policy }) => [policy.name, policy] as const),
    );
    log.write('info', 'configuration.changed', {
      version: next.version,
      routes: next.routes.length,
    });
  }

  async function follow(): Promise<void> {
    while (!isClosed()) {
      const read = await tail.follow(FOLLOW_MS);
      if (read) readMs = timers.readNow();
      if (read && lost) {
        log.write('info', 'store.regained', { stream: 'configuration' });
        lost = false;
      }
      await core.waitFor(
        timers,
        'configuration.follow',
        read ? PAUSE_MS : RETRY_MS,
      );
    }
  }

  function isClosed(): boolean {
    return closed;
  }

  return {
    read: () => current,
    isStale: () => timers.readNow() - readMs > STALE_MS,
    findRoute(host, path) {
      let best: ports.Route | undefined;
      for (const route of current?.routes ?? []) {
        if (route.host !== host || !path.startsWith(route.pathPrefix)) continue;
        if (
          best === undefined ||
          route.pathPrefix.length > best.pathPrefix.length
        )
          best = route;
      }
      return best === undefined
        ? undefined
        : { route: best, rest: path.slice(best.pathPrefix.length) };
    },
    readPolicies: () => ({ version: current?.version ?? 0, policies }),
    open() {
      void follow();
    },
    close() {
      closed = true;
    },
  };
}
