/**
 * The tickets that this process holds. A ticket is the right to use one slot of a
 * backend server; the holder requests it from the owner of the service shard, keeps
 * it while the request runs, and returns it.
 */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as journals from '../observability/journal.js';
import type * as ticketIssuers from './ticketIssuer.js';
import * as shards from './serviceShards.js';

/** Time after the deadline of an ask from which its answer counts as lost. */
const ASK_TIMEOUT_MARGIN_MS = 500;
/** Interval between attempts to find an owner of the shard. */
const OWNER_RETRY_INTERVAL_MS = 50;
const NO_OWNER_RETRY_AFTER_MS = 1_000;
/** Remaining term below which a ticket is no longer used. */
const MIN_REMAINING_TERM_MS = 50;

type HeldQuestion = Extract<
  core.messages.Question,
  { readonly kind: 'tickets.held' }
>;

type AskQuestion = Extract<
  core.messages.Question,
  { readonly kind: 'ticket.ask' }
>;

/** Dependencies of the ticket holder. */
export interface TicketHolderDependencies {
  readonly context: types.PartContext;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly ownership: types.Ownership;
  readonly journal: journals.RequestJournal;
  /** Returns the ticket issuer of this process, for the shards that it owns itself. */
  readonly getTicketIssuer: () => ticketIssuers.TicketIssuer;
}

/** Request for a ticket. */
export interface TicketRequest {
  /** Id of the caller's request, for the journal. */
  readonly requestId: string;
  readonly service: core.releases.ServiceEntry;
  readonly team: core.ids.TeamName;
  /** Backend servers that failed an earlier try of the same request. */
  readonly avoid: readonly core.ids.VmId[];
  /** Longest time to wait for a ticket. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** A ticket that this process holds. */
export interface HeldTicket {
  readonly ticket: core.requests.Ticket;
  /** Local time at which the term ends, counted from before the ask was sent. */
  readonly endsMs: number;
  /** Returns whether the request may be written now, and if so marks the ticket as used. */
  checkSend(): boolean;
  /** Returns the ticket to the owner of its shard. */
  release(result: core.slots.TicketResult, tookMs: number): void;
}

/** Result of a request for a ticket. */
export type TakeResult =
  | { readonly outcome: 'ticket'; readonly held: HeldTicket }
  | {
      readonly outcome: 'refused';
      readonly reason: core.reasons.Reason;
      readonly retryAfterMs: number;
    };

/** Requests and holds the tickets of this process. */
export interface TicketHolder {
  take(request: TicketRequest): Promise<TakeResult>;
  /**
   * Lists the held tickets of a shard with their remaining terms. Tickets that an
   * earlier owner granted and that arrive after this report are void.
   */
  listHeld(question: HeldQuestion): readonly core.requests.HeldTicket[];
  countHeld(): number;
}

interface HeldTicketRow {
  readonly ticket: core.requests.Ticket;
  readonly endsMs: number;
  sent: boolean;
}

/** Creates the ticket holder and answers `tickets.held` questions of new owners. */
export function createTicketHolder(
  dependencies: TicketHolderDependencies,
): TicketHolder {
  const { context, links, membership, ownership, journal } = dependencies;
  const { timers, identity } = context;
  const heldRows = new Map<string, HeldTicketRow>();
  // Newest epoch per shard whose owner asked for the held tickets; an arriving ticket of an older epoch is void.
  const reportedEpochs = new Map<core.ids.ShardName, core.ids.Epoch>();
  let lastAskId = 0;

  function listHeld(
    question: HeldQuestion,
  ): readonly core.requests.HeldTicket[] {
    const { shard, epoch } = question;
    const known = reportedEpochs.get(shard);
    if (known === undefined || core.compareEpochs(known, epoch) < 0)
      reportedEpochs.set(shard, epoch);
    const nowMs = timers.getNow();
    return [...heldRows.values()]
      .filter((row) => row.ticket.shard === shard && row.endsMs > nowMs)
      .map((row) => ({
        ...row.ticket,
        termMs: row.endsMs - nowMs,
        sent: row.sent,
      }));
  }

  /** Chooses the own region's shard first, and another region's when the service has no backend server or no owner here. */
  function chooseShard(
    service: core.releases.ServiceEntry,
  ): types.OwnerView | undefined {
    const vms = shards.listBackendVms(membership.listVms(), service.backend);
    const live = vms.filter((vm) => vm.state === 'live');
    const regions = [...new Set(live.map((vm) => vm.region))].sort();
    const ordered = [
      ...regions.filter((region) => region === identity.region),
      ...regions.filter((region) => region !== identity.region),
    ];
    for (const region of ordered) {
      const shard = shards.formatServiceShard(service.name, region);
      const owner = ownership.getOwner(shard);
      if (owner !== undefined && isReachable(owner)) return owner;
    }
    return undefined;
  }

  function isReachable(owner: types.OwnerView): boolean {
    if (owner.self) return true;
    const peer = membership
      .listPeers()
      .find((candidate) => candidate.instance === owner.instance);
    return peer !== undefined && peer.health !== 'dead';
  }

  async function takeTicket(request: TicketRequest): Promise<TakeResult> {
    const deadlineMs = timers.getNow() + request.waitMs;
    const aborted = waitForAbort(request.signal);
    let lastRefusal: TakeResult = refuse(
      { reason: 'no-owner', shard: formatOwnShard(request) },
      NO_OWNER_RETRY_AFTER_MS,
    );
    while (!request.signal.aborted) {
      const leftMs = deadlineMs - timers.getNow();
      if (leftMs <= 0) return lastRefusal;
      const owner = chooseShard(request.service);
      if (owner !== undefined) {
        const result = await askOwner(request, owner, leftMs, aborted);
        if (result.outcome === 'ticket' || !isRetryable(result.reason))
          return result;
        // The service is in force here, so `unknown-service` only means that the owner hasn't read the release yet.
        if (result.reason.reason === 'no-owner') lastRefusal = result;
      }
      await Promise.race([
        core.waitFor(timers, 'tickets.owner', OWNER_RETRY_INTERVAL_MS),
        aborted,
      ]);
    }
    return refuse({ reason: 'cancelled', by: 'the caller' }, 0);
  }

  function formatOwnShard(request: TicketRequest): core.ids.ShardName {
    return shards.formatServiceShard(request.service.name, identity.region);
  }

  async function askOwner(
    request: TicketRequest,
    owner: types.OwnerView,
    leftMs: number,
    aborted: Promise<'aborted'>,
  ): Promise<TakeResult> {
    const { shard } = owner;
    lastAskId += 1;
    const ask = lastAskId;
    // Counting the term from before the ask makes it end no later here than at the owner.
    const askedMs = timers.getNow();
    const question = {
      kind: 'ticket.ask',
      ask,
      shard,
      service: request.service.name,
      urgency: request.service.urgency,
      team: request.team,
      deadlineMs: Math.max(1, Math.floor(leftMs)),
      avoid: request.avoid,
    } as const;
    journal.recordStep(request.requestId, {
      step: 'asked',
      shard,
      avoid: request.avoid.length,
    });
    let isCancelled = false;
    const cancelAsk = () => {
      isCancelled = true;
      const notice = { kind: 'ticket.cancel', ask, shard } as const;
      if (owner.self)
        dependencies.getTicketIssuer().cancel(notice, identity.instance);
      else links.notify(owner.instance, notice);
    };
    const pendingAnswer = owner.self
      ? askSelf(question, leftMs)
      : askPeer(owner.instance, question, leftMs);
    // A ticket that arrives after the ask was cancelled, or that is void, is returned unused.
    const usableAnswer = pendingAnswer.then((answer) => {
      if (!answer?.granted) return answer;
      if (!isCancelled && !isVoid(answer.ticket)) return answer;
      sendReturn(answer.ticket, 'unused', 0);
      return undefined;
    });
    const answer = await Promise.race([usableAnswer, aborted]);
    if (answer === 'aborted') {
      cancelAsk();
      return refuse({ reason: 'cancelled', by: 'the caller' }, 0);
    }
    if (answer === undefined) {
      cancelAsk();
      return refuse({ reason: 'no-owner', shard }, NO_OWNER_RETRY_AFTER_MS);
    }
    if (!answer.granted) return refuse(answer.reason, answer.retryAfterMs);
    const waitedMs = timers.getNow() - askedMs;
    const backendServer = answer.ticket.backendServer;
    journal.recordStep(request.requestId, {
      step: 'granted',
      backendServer,
      waitedMs,
    });
    return { outcome: 'ticket', held: addHeld(answer.ticket, askedMs) };
  }

  /** Times out like a call to a peer, because after a pause the own issuer grants nothing until the ownership is confirmed. */
  function askSelf(
    question: AskQuestion,
    leftMs: number,
  ): Promise<core.requests.TicketAnswer | undefined> {
    return new Promise((resolve) => {
      const timer = timers.subscribe(
        {
          name: 'tickets.ask',
          delayMs: leftMs + ASK_TIMEOUT_MARGIN_MS,
          repeat: 'once',
        },
        () => {
          resolve(undefined);
        },
      );
      void dependencies
        .getTicketIssuer()
        .ask(question, identity.instance)
        .then((answer) => {
          timer.end();
          resolve(answer);
        });
    });
  }

  async function askPeer(
    peer: core.ids.InstanceId,
    question: core.messages.Question,
    leftMs: number,
  ): Promise<core.requests.TicketAnswer | undefined> {
    try {
      const answer = await links.ask(
        peer,
        question,
        leftMs + ASK_TIMEOUT_MARGIN_MS,
      );
      return answer.kind === 'ticket.answer' ? answer.answer : undefined;
    } catch {
      return undefined;
    }
  }

  function isVoid(ticket: core.requests.Ticket): boolean {
    const newest = reportedEpochs.get(ticket.shard);
    if (newest === undefined) return false;
    return core.compareEpochs(ticket.epoch, newest) < 0;
  }

  function addHeld(ticket: core.requests.Ticket, askedMs: number): HeldTicket {
    const row: HeldTicketRow = {
      ticket,
      endsMs: askedMs + ticket.termMs,
      sent: false,
    };
    heldRows.set(ticket.id, row);
    return {
      ticket,
      endsMs: row.endsMs,
      checkSend() {
        if (row.sent || row.endsMs - timers.getNow() <= MIN_REMAINING_TERM_MS)
          return false;
        row.sent = true;
        return true;
      },
      release(result, tookMs) {
        if (heldRows.delete(ticket.id)) sendReturn(ticket, result, tookMs);
      },
    };
  }

  function sendReturn(
    ticket: core.requests.Ticket,
    result: core.slots.TicketResult,
    tookMs: number,
  ): void {
    const notice = {
      kind: 'ticket.return',
      ticket: ticket.id,
      shard: ticket.shard,
      result,
      tookMs,
    } as const;
    // The owner may have changed since the grant; the new owner learned of the ticket from this process's report.
    const owner = ownership.getOwner(ticket.shard);
    if (owner === undefined) return;
    if (owner.self) dependencies.getTicketIssuer().return(notice);
    else links.notify(owner.instance, notice);
  }

  function waitForAbort(signal: AbortSignal): Promise<'aborted'> {
    return new Promise((resolve) => {
      if (signal.aborted) resolve('aborted');
      else
        signal.addEventListener(
          'abort',
          () => {
            resolve('aborted');
          },
          { once: true },
        );
    });
  }

  links.handle('tickets.held', (question) =>
    Promise.resolve({
      kind: 'tickets.held.answer',
      tickets: listHeld(question),
    }),
  );

  return { take: takeTicket, listHeld, countHeld: () => heldRows.size };
}

function refuse(
  reason: core.reasons.Reason,
  retryAfterMs: number,
): Extract<TakeResult, { outcome: 'refused' }> {
  return { outcome: 'refused', reason, retryAfterMs };
}

/** Returns whether another owner might grant the ticket, so that the ask is repeated until its deadline. */
function isRetryable(reason: core.reasons.Reason): boolean {
  return reason.reason === 'no-owner' || reason.reason === 'unknown-service';
}
