/**
 * Issues tickets for the slots of backend servers. The issuer runs one slot scheduler
 * for each service shard that this process owns, from the gain of the shard to its
 * loss, and learns the tickets of an earlier owner from their holders.
 */
import * as core from '@flamingoward/core';
import * as ownerships from '../ownership/ownership.js';
import type * as types from '../types.js';
import type * as requests from './types.js';
import * as shards from './serviceShards.js';

const MAX_WAITING_ASKS = 10_000;
const MAINTENANCE_INTERVAL_MS = 200;
const STATUS_TIMEOUT_MS = 400;
const HELD_TICKETS_TIMEOUT_MS = 400;
const NO_OWNER_RETRY_AFTER_MS = 200;

type AskQuestion = Extract<
  core.messages.Question,
  { readonly kind: 'ticket.ask' }
>;
type ReturnNotice = Extract<
  core.messages.Notice,
  { readonly kind: 'ticket.return' }
>;
type CancelNotice = Extract<
  core.messages.Notice,
  { readonly kind: 'ticket.cancel' }
>;

/** Dependencies of the ticket issuer. */
export interface TicketIssuerDependencies {
  readonly context: types.PartContext;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly ownership: types.Ownership;
  readonly releases: types.Releases;
  readonly backends: requests.BackendClient;
  /** Processes that share the connections of a backend server. */
  readonly maxProcesses: number;
  /** Lists the tickets that this process itself holds in a shard. */
  readonly listHeld: (
    question: Extract<core.messages.Question, { kind: 'tickets.held' }>,
  ) => readonly core.requests.HeldTicket[];
}

/** Issues tickets for the service shards that this process owns. */
export interface TicketIssuer {
  /** Requests a ticket; `from` is the requesting process, which may be this one. */
  ask(
    question: AskQuestion,
    from: core.ids.InstanceId,
  ): Promise<core.requests.TicketAnswer>;
  cancel(notice: CancelNotice, from: core.ids.InstanceId): void;
  return(notice: ReturnNotice): void;
  /** Backend servers of the shards that this process owns. */
  listServers(): readonly core.slots.ServerView[];
  /** Returns a JSON-serializable copy of the schedulers' tables. */
  dump(): unknown;
  close(): void;
}

/** An ask that isn't answered yet. */
interface PendingAsk {
  readonly holder: core.ids.InstanceId;
  readonly resolve: (answer: core.requests.TicketAnswer) => void;
}

/** One owned shard. */
interface OwnedShard {
  readonly name: core.ids.ShardName;
  readonly service: core.ids.ServiceName;
  readonly region: core.ids.RegionName;
  readonly epoch: core.ids.Epoch;
  readonly scheduler: core.slots.SlotScheduler;
  readonly pendingAsks: Map<core.slots.AskId, PendingAsk>;
  readonly listedServers: Map<core.ids.VmId, core.slots.BackendServer>;
  /** Holders and backend servers with a question in flight. */
  readonly polled: Set<string>;
  timer: core.TimerSubscription | undefined;
  /** Local time of the scheduler's next tick; Infinity when none is scheduled. */
  nextTickMs: number;
}

/** Creates the ticket issuer, which follows the changes of ownership from then on. */
export function createTicketIssuer(
  dependencies: TicketIssuerDependencies,
): TicketIssuer {
  const { context, links, membership, ownership, releases } = dependencies;
  const { timers, identity, log, metrics } = context;
  const ownedShards = new Map<core.ids.ShardName, OwnedShard>();
  // Dead processes that were dropped already, by whether they have ended; the list of peers still contains them.
  let droppedPeers = new Map<core.ids.InstanceId, boolean>();

  // --- gain and loss of shards ---

  function startShard(name: core.ids.ShardName, epoch: core.ids.Epoch): void {
    const parsed = shards.parseServiceShard(name);
    if (parsed === undefined) return;
    stopShard(name);
    const shard: OwnedShard = {
      name,
      ...parsed,
      epoch,
      scheduler: core.createSlotScheduler({
        shard: name,
        epoch,
        policy:
          getPolicy(parsed.service) ??
          createEmptyPolicy(dependencies.maxProcesses),
        maxWaiting: MAX_WAITING_ASKS,
      }),
      pendingAsks: new Map(),
      listedServers: new Map(),
      polled: new Set(),
      timer: undefined,
      nextTickMs: Infinity,
    };
    ownedShards.set(name, shard);
    updateServers(shard);
    startTakeOver(shard);
    resolveUncertainSlots(shard);
    runShard(shard);
  }

  function stopShard(name: core.ids.ShardName): void {
    const shard = ownedShards.get(name);
    if (shard === undefined) return;
    ownedShards.delete(name);
    shard.timer?.end();
    const refusal = refuse({ reason: 'no-owner', shard: name });
    for (const pending of shard.pendingAsks.values()) pending.resolve(refusal);
    shard.pendingAsks.clear();
  }

  function startTakeOver(shard: OwnedShard): void {
    const state = releases.getState();
    const service = state.services.get(shard.service);
    const holders = membership
      .listPeers()
      // A silent process may hold tickets that no status of a server shows yet.
      .filter((peer) => !peer.ended)
      .map((peer) => peer.instance);
    const longestTermMs =
      service === undefined ? 0 : shards.computeLongestTerm(service, state);
    shard.scheduler.apply(
      {
        event: 'taken-over',
        holders: [...new Set([...holders, identity.instance])],
        longestTermMs,
        lastGrantMs: ownerships.CLAIM_MAX_AGE_MS,
      },
      timers.getNow(),
    );
    log.write('info', 'tickets.taken-over', {
      shard: shard.name,
      epoch: shard.epoch.offset,
      holders: holders.length + 1,
      longest_term_ms: longestTermMs,
    });
  }

  // --- policies, servers and peers ---

  function getPolicy(
    name: core.ids.ServiceName,
  ): core.slots.SlotPolicy | undefined {
    const state = releases.getState();
    const service = state.services.get(name);
    return service === undefined
      ? undefined
      : shards.createPolicy(service, state, dependencies.maxProcesses);
  }

  function updateRelease(): void {
    for (const shard of ownedShards.values()) {
      const policy = getPolicy(shard.service);
      if (policy !== undefined)
        shard.scheduler.apply({ event: 'policy', policy }, timers.getNow());
      updateServers(shard);
      runShard(shard);
    }
  }

  function listServers(shard: OwnedShard): readonly core.slots.BackendServer[] {
    const state = releases.getState();
    const service = state.services.get(shard.service);
    const group = state.backends.get(service?.backend ?? '');
    if (group === undefined) return [];
    const vms = membership.listVms();
    return shards.listBackendVms(vms, group.name, shard.region).map((vm) => ({
      id: vm.id,
      address: vm.address,
      availabilityZone: vm.availabilityZone,
      slots: group.slots,
      connections: group.connections,
      leaving: vm.state === 'leaving',
    }));
  }

  function updateServers(shard: OwnedShard): void {
    const nowMs = timers.getNow();
    const servers = listServers(shard);
    const current = new Set(servers.map((server) => server.id));
    for (const id of [...shard.listedServers.keys()]) {
      if (current.has(id)) continue;
      shard.listedServers.delete(id);
      shard.scheduler.apply({ event: 'server.removed', server: id }, nowMs);
    }
    for (const server of servers) {
      shard.listedServers.set(server.id, server);
      shard.scheduler.apply({ event: 'server.listed', server }, nowMs);
    }
  }

  function updatePeers(): void {
    const peers = membership.listPeers();
    const dead = peers.filter((peer) => peer.health === 'dead');
    const fresh = dead.filter(
      (peer) => droppedPeers.get(peer.instance) !== peer.ended,
    );
    droppedPeers = new Map(dead.map((peer) => [peer.instance, peer.ended]));
    const known = new Set(peers.map((peer) => peer.instance));
    known.add(identity.instance);
    for (const shard of ownedShards.values()) {
      for (const { instance, ended } of fresh)
        dropHolder(shard, instance, ended ? 'holder.gone' : 'holder.silent');
      for (const holder of shard.scheduler.listUnreportedHolders())
        if (!known.has(holder)) dropHolder(shard, holder, 'holder.gone');
      runShard(shard);
    }
  }

  function dropHolder(
    shard: OwnedShard,
    holder: core.ids.InstanceId,
    event: 'holder.gone' | 'holder.silent',
  ): void {
    shard.scheduler.apply({ event, holder }, timers.getNow());
    const refusal = refuse({ reason: 'no-owner', shard: shard.name });
    for (const [ask, pending] of shard.pendingAsks) {
      if (pending.holder !== holder) continue;
      shard.pendingAsks.delete(ask);
      pending.resolve(refusal);
    }
  }

  // --- slots in use after a take-over ---

  function resolveUncertainSlots(shard: OwnedShard): void {
    for (const holder of shard.scheduler.listUnreportedHolders())
      void askHeldTickets(shard, holder);
    // A server's status can't show tickets that are held and not yet used, so all holders have to report first.
    if (shard.scheduler.listUnreportedHolders().length > 0) return;
    for (const server of shard.scheduler.listUncertainServers())
      void pollStatus(shard, server);
  }

  async function askHeldTickets(
    shard: OwnedShard,
    holder: core.ids.InstanceId,
  ): Promise<void> {
    const question = {
      kind: 'tickets.held',
      shard: shard.name,
      epoch: shard.epoch,
    } as const;
    if (holder === identity.instance) {
      receiveHeldTickets(shard, holder, dependencies.listHeld(question));
      return;
    }
    if (shard.polled.has(holder)) return;
    shard.polled.add(holder);
    try {
      const answer = await links.ask(holder, question, HELD_TICKETS_TIMEOUT_MS);
      if (answer.kind === 'tickets.held.answer')
        receiveHeldTickets(shard, holder, answer.tickets);
    } catch (error) {
      log.write('debug', 'tickets.no-report', {
        shard: shard.name,
        peer: holder,
        cause: core.describeError(error),
      });
    } finally {
      shard.polled.delete(holder);
    }
  }

  function receiveHeldTickets(
    shard: OwnedShard,
    holder: core.ids.InstanceId,
    tickets: readonly core.requests.HeldTicket[],
  ): void {
    if (ownedShards.get(shard.name) !== shard) return;
    shard.scheduler.apply(
      { event: 'holder.reported', holder, tickets },
      timers.getNow(),
    );
    if (shard.scheduler.listUnreportedHolders().length === 0)
      resolveUncertainSlots(shard);
    runShard(shard);
  }

  async function pollStatus(
    shard: OwnedShard,
    server: core.ids.VmId,
  ): Promise<void> {
    const info = shard.listedServers.get(server);
    if (info === undefined || shard.polled.has(server)) return;
    shard.polled.add(server);
    const askedMs = timers.getNow();
    try {
      const status = await dependencies.backends.readStatus(
        info.address,
        STATUS_TIMEOUT_MS,
      );
      if (ownedShards.get(shard.name) !== shard) return;
      shard.scheduler.apply(
        { event: 'server.status', server, busy: status.busy, askedMs },
        timers.getNow(),
      );
      runShard(shard);
    } catch (error) {
      log.write('debug', 'tickets.no-status', {
        shard: shard.name,
        peer: server,
        cause: core.describeError(error),
      });
    } finally {
      shard.polled.delete(server);
    }
  }

  // --- asks ---

  function ask(
    question: AskQuestion,
    from: core.ids.InstanceId,
  ): Promise<core.requests.TicketAnswer> {
    const shard = ownedShards.get(question.shard);
    if (shard === undefined)
      return Promise.resolve(
        refuse({ reason: 'no-owner', shard: question.shard }),
      );
    if (!releases.getState().services.has(question.service))
      return Promise.resolve(
        refuse({ reason: 'unknown-service', service: question.service }),
      );
    const id = formatAskId(from, question.ask);
    return new Promise((resolve) => {
      shard.pendingAsks.set(id, { holder: from, resolve });
      shard.scheduler.apply(
        {
          event: 'ask',
          ask: {
            id,
            holder: from,
            availabilityZone: getAvailabilityZone(from),
            urgency: question.urgency,
            team: question.team,
            deadlineMs: question.deadlineMs,
            avoid: question.avoid,
          },
        },
        timers.getNow(),
      );
      runShard(shard);
    });
  }

  function getAvailabilityZone(
    instance: core.ids.InstanceId,
  ): core.ids.AvailabilityZone {
    if (instance === identity.instance) return identity.availabilityZone;
    const peer = membership
      .listPeers()
      .find((candidate) => candidate.instance === instance);
    return peer?.availabilityZone ?? '';
  }

  function cancel(notice: CancelNotice, from: core.ids.InstanceId): void {
    const shard = ownedShards.get(notice.shard);
    if (shard === undefined) return;
    const id = formatAskId(from, notice.ask);
    shard.scheduler.apply({ event: 'ask.cancelled', ask: id }, timers.getNow());
    shard.pendingAsks
      .get(id)
      ?.resolve(refuse({ reason: 'cancelled', by: 'the asking process' }));
    shard.pendingAsks.delete(id);
    runShard(shard);
  }

  function returnTicket(notice: ReturnNotice): void {
    const shard = ownedShards.get(notice.shard);
    if (shard === undefined) return;
    shard.scheduler.apply(
      {
        event: 'ticket.returned',
        ticket: notice.ticket,
        result: notice.result,
        tookMs: notice.tookMs,
      },
      timers.getNow(),
    );
    runShard(shard);
  }

  // --- schedulers ---

  function runShard(shard: OwnedShard): void {
    if (ownedShards.get(shard.name) !== shard) return;
    // After a pause nothing is decided until the ownership is confirmed.
    if (ownership.getEpoch(shard.name) === undefined) return;
    const nowMs = timers.getNow();
    for (const decision of shard.scheduler.tick(nowMs))
      deliver(shard, decision);
    scheduleNextTick(shard, nowMs);
  }

  function deliver(shard: OwnedShard, decision: core.slots.SlotDecision): void {
    const pending = shard.pendingAsks.get(decision.ask);
    shard.pendingAsks.delete(decision.ask);
    metrics.count('tickets_total', {
      service: shard.service,
      decision:
        decision.decision === 'granted' ? 'granted' : decision.reason.reason,
    });
    if (decision.decision === 'granted') {
      metrics.record(
        'ticket_wait',
        { service: shard.service },
        decision.waitedMs,
      );
      pending?.resolve({ granted: true, ticket: decision.ticket });
    } else
      pending?.resolve({
        granted: false,
        reason: decision.reason,
        retryAfterMs: decision.retryAfterMs,
      });
  }

  /** Keeps one timer per shard and replaces it only when the scheduler has to tick earlier. */
  function scheduleNextTick(shard: OwnedShard, nowMs: number): void {
    const dueMs = shard.scheduler.getNextTickMs();
    if (dueMs === undefined || dueMs >= shard.nextTickMs) return;
    shard.timer?.end();
    shard.nextTickMs = dueMs;
    shard.timer = timers.subscribe(
      {
        name: 'tickets.due',
        delayMs: Math.max(1, Math.ceil(dueMs - nowMs)),
        repeat: 'once',
      },
      () => {
        shard.nextTickMs = Infinity;
        runShard(shard);
      },
    );
  }

  function runMaintenance(): void {
    for (const shard of ownedShards.values()) {
      resolveUncertainSlots(shard);
      runShard(shard);
    }
  }

  function describeTables(): unknown {
    return [...ownedShards.values()].map((shard) => shard.scheduler.dump());
  }

  links.handle('ticket.ask', async (question, from) => ({
    kind: 'ticket.answer',
    answer: await ask(question, from),
  }));
  const subscriptions = [
    links.notices.subscribe({
      next: ({ from, notice }) => {
        if (notice.kind === 'ticket.return') returnTicket(notice);
        else if (notice.kind === 'ticket.cancel') cancel(notice, from);
      },
      error: handleEnd,
      complete: handleEnd,
    }),
    ownership.changes.subscribe({
      next: ({ change, shard, epoch }) => {
        if (change === 'gained') startShard(shard, epoch);
        else stopShard(shard);
      },
      error: handleEnd,
      complete: handleEnd,
    }),
    membership.changes.subscribe({
      next: (what) => {
        if (what === 'peers') updatePeers();
        else
          for (const shard of ownedShards.values()) {
            updateServers(shard);
            runShard(shard);
          }
      },
      error: handleEnd,
      complete: handleEnd,
    }),
    releases.changes.subscribe({
      next: updateRelease,
      error: handleEnd,
      complete: handleEnd,
    }),
  ];
  const maintenanceTimer = timers.subscribe(
    {
      name: 'tickets.upkeep',
      delayMs: MAINTENANCE_INTERVAL_MS,
      repeat: 'periodic',
    },
    runMaintenance,
  );

  return {
    ask,
    cancel,
    return: returnTicket,
    listServers: () =>
      [...ownedShards.values()].flatMap((shard) =>
        shard.scheduler.listServers(),
      ),
    dump: describeTables,
    close() {
      maintenanceTimer.end();
      for (const subscription of subscriptions) subscription.unsubscribe();
      for (const name of [...ownedShards.keys()]) stopShard(name);
    },
  };
}

function handleEnd(): void {
  // These streams end only with the process.
}

function refuse(reason: core.reasons.Reason): core.requests.TicketAnswer {
  return { granted: false, reason, retryAfterMs: NO_OWNER_RETRY_AFTER_MS };
}

function formatAskId(
  holder: core.ids.InstanceId,
  ask: number,
): core.slots.AskId {
  return `${holder}:${ask}`;
}

function createEmptyPolicy(maxProcesses: number): core.slots.SlotPolicy {
  return {
    termMs: 0,
    maxWaitMs: 0,
    floors: core.defaultFloors,
    weights: new Map(),
    maxProcesses,
  };
}
