/**
 * The holder side of tickets: asks the owner of a service shard, keeps the tickets
 * that this process holds, and gives them back.
 */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as journals from '../observability/journal.js';
import type * as desks from './desk.js';
import * as shards from './shards.js';

/** Time added to the deadline of an ask before its answer counts as lost. */
const LINK_MARGIN_MS = 500;
/** Time between looks for an owner. */
const OWNER_RETRY_MS = 50;
const NO_OWNER_RETRY_AFTER_MS = 1_000;
/** Remaining term below which a ticket isn't used any more. */
const SEND_MARGIN_MS = 50;

type HeldQuestion = Extract<
  core.messages.Question,
  { readonly kind: 'tickets.held' }
>;

type AskQuestion = Extract<
  core.messages.Question,
  { readonly kind: 'ticket.ask' }
>;

/** What the holder side works with. */
export interface TicketHolderParts {
  readonly context: types.PartContext;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly ownership: types.Ownership;
  readonly journal: journals.RequestJournal;
  /** The desk of this process, for the shards that it owns itself. */
  readonly readDesk: () => desks.TicketDesk;
}

/** What a request wants. */
export interface TicketWish {
  readonly request: string;
  readonly service: core.releases.ServiceEntry;
  readonly team: core.ids.TeamName;
  readonly avoid: readonly core.ids.VmId[];
  /** Longest time to wait. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** A ticket that this process holds. */
export interface HeldTicket {
  readonly ticket: core.requests.Ticket;
  /** Time until which a request may run, counted from before the ask. */
  readonly endsMs: number;
  /** Whether the request may be written now; marks the ticket as sent when it may. */
  checkSend(): boolean;
  /** Gives the ticket back. */
  release(result: core.slots.TicketResult, tookMs: number): void;
}

/** What became of a wish. */
export type WishResult =
  | { readonly got: 'ticket'; readonly held: HeldTicket }
  | {
      readonly got: 'refused';
      readonly reason: core.reasons.Reason;
      readonly retryAfterMs: number;
    };

/** The tickets of this process. */
export interface TicketHolder {
  take(wish: TicketWish): Promise<WishResult>;
  /** Tickets of a shard with their remaining terms; older asks get no ticket after this. */
  listHeld(question: HeldQuestion): readonly core.requests.HeldTicket[];
  countHeld(): number;
}

interface HeldRow {
  readonly ticket: core.requests.Ticket;
  readonly endsMs: number;
  sent: boolean;
}

/** Creates the holder side and answers `tickets.held`. */
export function createTicketHolder(parts: TicketHolderParts): TicketHolder {
  const { context, links, membership, ownership, journal } = parts;
  const { timers, identity } = context;
  const rows = new Map<string, HeldRow>();
  // Epochs of owners that asked what is held; a ticket of an earlier one is void.
  const reportedTo = new Map<core.ids.ShardName, core.ids.Epoch>();
  let nextAsk = 0;

  function listHeld(
    question: HeldQuestion,
  ): readonly core.requests.HeldTicket[] {
    const { shard, epoch } = question;
    const known = reportedTo.get(shard);
    if (known === undefined || core.compareEpochs(known, epoch) < 0)
      reportedTo.set(shard, epoch);
    const nowMs = timers.readNow();
    return [...rows.values()]
      .filter((row) => row.ticket.shard === shard && row.endsMs > nowMs)
      .map((row) => ({
        ...row.ticket,
        termMs: row.endsMs - nowMs,
        sent: row.sent,
      }));
  }

  /** Own region first; another one when the service has no backend server or no owner here. */
  function chooseShard(
    service: core.releases.ServiceEntry,
  ): types.OwnerView | undefined {
    const vms = shards.listBackendVms(membership.readVms(), service.backend);
    const live = vms.filter((vm) => vm.state === 'live');
    const regions = [...new Set(live.map((vm) => vm.region))].sort();
    const ordered = [
      ...regions.filter((region) => region === identity.region),
      ...regions.filter((region) => region !== identity.region),
    ];
    for (const region of ordered) {
      const shard = shards.formatServiceShard(service.name, region);
      const owner = ownership.readOwner(shard);
      if (owner !== undefined && isReachable(owner)) return owner;
    }
    return undefined;
  }

  function isReachable(owner: types.OwnerView): boolean {
    if (owner.self) return true;
    const peer = membership
      .readPeers()
      .find((candidate) => candidate.instance === owner.instance);
    return peer !== undefined && peer.health !== 'dead';
  }

  async function takeTicket(wish: TicketWish): Promise<WishResult> {
    const untilMs = timers.readNow() + wish.waitMs;
    const aborted = waitAbort(wish.signal);
    let last: WishResult = refuse(
      { reason: 'no-owner', shard: describeShard(wish) },
      NO_OWNER_RETRY_AFTER_MS,
    );
    while (!wish.signal.aborted) {
      const leftMs = untilMs - timers.readNow();
      if (leftMs <= 0) return last;
      const owner = chooseShard(wish.service);
      if (owner !== undefined) {
        const result = await askOwner(wish, owner, leftMs, aborted);
        if (result.got === 'ticket' || !isPassing(result.reason)) return result;
        // The service is in force here, so the owner is only late in reading it.
        if (result.reason.reason === 'no-owner') last = result;
      }
      await Promise.race([
        core.waitFor(timers, 'tickets.owner', OWNER_RETRY_MS),
        aborted,
      ]);
    }
    return refuse({ reason: 'cancelled', by: 'the caller' }, 0);
  }

  function describeShard(wish: TicketWish): core.ids.ShardName {
    return shards.formatServiceShard(wish.service.name, identity.region);
  }

  async function askOwner(
    wish: TicketWish,
    owner: types.OwnerView,
    leftMs: number,
    aborted: Promise<'aborted'>,
  ): Promise<WishResult> {
    const { shard } = owner;
    nextAsk += 1;
    const ask = nextAsk;
    // The term is counted from before the ask, so it never ends after the owner's.
    const askedMs = timers.readNow();
    const question = {
      kind: 'ticket.ask',
      ask,
      shard,
      service: wish.service.name,
      urgency: wish.service.urgency,
      team: wish.team,
      deadlineMs: Math.max(1, Math.floor(leftMs)),
      avoid: wish.avoid,
    } as const;
    journal.note(wish.request, {
      step: 'asked',
      shard,
      avoid: wish.avoid.length,
    });
    let isDropped = false;
    const drop = () => {
      isDropped = true;
      const notice = { kind: 'ticket.cancel', ask, shard } as const;
      if (owner.self) parts.readDesk().cancel(notice, identity.instance);
      else links.notify(owner.instance, notice);
    };
    const answering = owner.self
      ? askSelf(question, leftMs)
      : askPeer(owner.instance, question, leftMs);
    // A grant that arrives after the ask was dropped goes back unused.
    const used = answering.then((answer) => {
      if (!answer?.granted) return answer;
      if (!isDropped && !isVoid(answer.ticket)) return answer;
      sendReturn(answer.ticket, 'unused', 0);
      return undefined;
    });
    const answer = await Promise.race([used, aborted]);
    if (answer === 'aborted') {
      drop();
      return refuse({ reason: 'cancelled', by: 'the caller' }, 0);
    }
    if (answer === undefined) {
      drop();
      return refuse({ reason: 'no-owner', shard }, NO_OWNER_RETRY_AFTER_MS);
    }
    if (!answer.granted) return refuse(answer.reason, answer.retryAfterMs);
    const waitedMs = timers.readNow() - askedMs;
    const backendServer = answer.ticket.backendServer;
    journal.note(wish.request, { step: 'granted', backendServer, waitedMs });
    return { got: 'ticket', held: addHeld(answer.ticket, askedMs) };
  }

  /** After a pause the own desk decides nothing until the ownership is confirmed. */
  function askSelf(
    question: AskQuestion,
    leftMs: number,
  ): Promise<core.requests.TicketAnswer | undefined> {
    return new Promise((resolve) => {
      const timer = timers.subscribe(
        {
          name: 'tickets.ask',
          delayMs: leftMs + LINK_MARGIN_MS,
          repeat: 'once',
        },
        () => {
          resolve(undefined);
        },
      );
      void parts
        .readDesk()
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
      const answer = await links.ask(peer, question, leftMs + LINK_MARGIN_MS);
      return answer.kind === 'ticket.answer' ? answer.answer : undefined;
    } catch {
      return undefined;
    }
  }

  function isVoid(ticket: core.requests.Ticket): boolean {
    const newest = reportedTo.get(ticket.shard);
    if (newest === undefined) return false;
    return core.compareEpochs(ticket.epoch, newest) < 0;
  }

  function addHeld(ticket: core.requests.Ticket, askedMs: number): HeldTicket {
    const row: HeldRow = {
      ticket,
      endsMs: askedMs + ticket.termMs,
      sent: false,
    };
    rows.set(ticket.id, row);
    return {
      ticket,
      endsMs: row.endsMs,
      checkSend() {
        if (row.sent || row.endsMs - timers.readNow() <= SEND_MARGIN_MS)
          return false;
        row.sent = true;
        return true;
      },
      release(result, tookMs) {
        if (rows.delete(ticket.id)) sendReturn(ticket, result, tookMs);
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
    // The owner may have changed since the grant; the new one knows the ticket from the report.
    const owner = ownership.readOwner(ticket.shard);
    if (owner === undefined) return;
    if (owner.self) parts.readDesk().return(notice);
    else links.notify(owner.instance, notice);
  }

  function waitAbort(signal: AbortSignal): Promise<'aborted'> {
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

  return { take: takeTicket, listHeld, countHeld: () => rows.size };
}

function refuse(
  reason: core.reasons.Reason,
  retryAfterMs: number,
): Extract<WishResult, { got: 'refused' }> {
  return { got: 'refused', reason, retryAfterMs };
}

/** A refusal that another owner may not give; the ask is repeated until its deadline. */
function isPassing(reason: core.reasons.Reason): boolean {
  return reason.reason === 'no-owner' || reason.reason === 'unknown-service';
}
