/**
 * The configuration in force, followed by long-polling reads of its stream. Only newer
 * versions are adopted, so a running process never goes back to an older one.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as tails from './tail.js';

/** Longest wait of a read, in ms; with its timeout, an unresponsive connection is detected before a new version must be in force. */
const FOLLOW_WAIT_MS = 1_200;
/** Version of a node that knows no configuration; those of configurations begin at 0. */
const NO_VERSION = -1;
/** Age of the last answer from which a missing route may only be unknown to this node, in ms. */
const STALE_AFTER_MS = 2_600;
/** Delay before the next attempt after a failed read, in ms. */
const RETRY_DELAY_MS = 150;
/** Pause between reads, in ms, so that records appended close together are read together. */
const READ_PAUSE_MS = 20;

/** The configuration that this node has read. */
export interface ConfigurationView {
  getCurrent(): ports.Configuration | undefined;
  /** Returns whether a newer version may have been in force for longer than a node may lag behind. */
  isStale(): boolean;
  /** Returns the age of the newest answer of the store to a read, in ms. */
  getReadAge(): number;
  /** Finds the route with the longest matching prefix, and the rest of the path. */
  findRoute(
    host: string,
    path: string,
  ): { readonly route: ports.Route; readonly rest: string } | undefined;
  getPolicies(): {
    /** -1 before a configuration is known. */
    readonly version: number;
    /** Undefined before a configuration is known. */
    readonly workspaces?: ReadonlyMap<
      core.workloads.WorkspaceName,
      core.workloads.WorkspacePolicy
    >;
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
  let workspaces = new Map<
    core.workloads.WorkspaceName,
    core.workloads.WorkspacePolicy
  >();
  let closed = false;
  let storeUnavailable = false;
  let lastReadMs = -Infinity;

  const tail = tails.createTail({
    source,
    apply: applyRecord,
    onFailed: (why) => {
      if (!storeUnavailable)
        log.write('warn', 'store.lost', { stream: 'configuration', why });
      storeUnavailable = true;
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
    workspaces = new Map(
      (next.workspaces ?? []).map(
        ({ policy }) => [policy.name, policy] as const,
      ),
    );
    log.write('info', 'configuration.changed', {
      version: next.version,
      routes: next.routes.length,
    });
  }

  async function follow(): Promise<void> {
    while (!isClosed()) {
      // After a failure, a read without a wait tells soonest that this view is current again.
      const waitMs = storeUnavailable ? 0 : FOLLOW_WAIT_MS;
      const startedMs = timers.getNow();
      const storeAnswered = await tail.follow(waitMs);
      // The store answers at the end of the wait at the latest; a process that was paused reads the answer later.
      if (storeAnswered)
        lastReadMs = Math.min(timers.getNow(), startedMs + waitMs);
      if (storeAnswered && storeUnavailable) {
        log.write('info', 'store.regained', { stream: 'configuration' });
        storeUnavailable = false;
      }
      await core.waitFor(
        timers,
        'configuration.follow',
        storeAnswered ? READ_PAUSE_MS : RETRY_DELAY_MS,
      );
    }
  }

  function getReadAge(): number {
    return timers.getNow() - lastReadMs;
  }

  function isClosed(): boolean {
    return closed;
  }

  return {
    getCurrent: () => current,
    isStale: () => getReadAge() > STALE_AFTER_MS,
    getReadAge,
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
    getPolicies: () => ({
      version: current?.version ?? NO_VERSION,
      policies,
      ...(current === undefined ? {} : { workspaces }),
    }),
    open() {
      void follow();
    },
    close() {
      closed = true;
    },
  };
}
