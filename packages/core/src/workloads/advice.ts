/**
 * Requests advice about the VMs that may run a step and keeps the tickets in the answers.
 * The set of approved VMs never changes, but tickets expire, so the first request names
 * many VMs and renewals name only approved ones. With a long queue of steps on full VMs,
 * a request about the one VM that became free takes nearly as long as one about all
 * approved VMs, and another step takes the room meanwhile. All tickets of a step are
 * therefore renewed together, and those of the first steps in the order ahead of time.
 * All members of a gang start together, so it needs its tickets at the same time: where
 * few VMs are approved, those of several small requests in a row expire before the last
 * answer, and a wide gang would never start.
 */
import type * as ids from '../types/ids.js';
import type * as adviceSlots from './adviceSlots.js';
import * as names from './names.js';
import * as openVms from './openVms.js';
import * as placement from './placement.js';
import * as ranking from './ranking.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as waits from './waits.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Maximum number of VMs in one request. */
const MAX_VMS_PER_REQUEST = 30;
/** A ticket isn't used in its last ms before expiry, so that the start reaches the VM in time. */
const TICKET_MARGIN_MS = 250;
/** Maximum number of VMs in one request for service tasks, which must find room wherever it is. */
const MAX_VMS_PER_SERVICE_REQUEST = 100;
/** Maximum number of VMs in one request for a gang. */
const MAX_VMS_PER_GANG_REQUEST = 100;
/** Places that a request for a gang asks for per missing one; some VMs lose their room meanwhile. */
const GANG_PLACES_FACTOR = 1.3;
/** Number of VMs of answers over which the approved share of a queue is averaged. */
const APPROVED_SHARE_WINDOW_VMS = 300;
/** Share of the VMs that is assumed to be approved before the first answer, and the lowest that is assumed after it. */
const ASSUMED_APPROVED_SHARE = 0.5;
const MIN_APPROVED_SHARE = 0.1;
/** Approved VMs per waiting task in a renewal; more than one, because some VMs lose their room meanwhile. */
const RENEWED_VMS_PER_TASK = 1.5;
/** Additional VMs in a renewal may add this share of the request's fixed service time. */
const RENEWAL_COST_SHARE = 0.25;
/** Time that an answer is assumed to take beyond the service time, when it is needed at a known time, in ms. */
const ANSWER_OVERHEAD_MS = 400;
/** Time that the timeout of a request adds to its expected time, in ms. */
const ANSWER_TIMEOUT_MARGIN_MS = 3_000;

/** Returns the ticket for a step on a VM, or undefined when there is none that is still usable. */
export function findTicket(
  step: tables.StepRow,
  vm: tables.VmRow,
  nowMs: number,
): string | undefined {
  const entry = step.advice.tickets.get(vm.incarnationKey);
  if (entry === undefined || entry.untilMs - TICKET_MARGIN_MS < nowMs)
    return undefined;
  return entry.ticket;
}

/** Expires a ticket that a VM refused. The VM stays approved, so the ticket gets renewed. */
export function expireTicket(step: tables.StepRow, vm: tables.VmRow): void {
  const key = vm.incarnationKey;
  const entry = step.advice.tickets.get(key);
  if (entry !== undefined)
    step.advice.tickets.set(key, { ...entry, untilMs: -Infinity });
}

/** Returns whether a VM is approved for a step; every VM is when the queue needs no advice. */
export function isApproved(step: tables.StepRow, vm: tables.VmRow): boolean {
  if (step.occurrence.job.policy.advice === undefined) return true;
  return step.advice.tickets.has(vm.incarnationKey);
}

/** Returns whether a VM is approved for a step or hasn't been asked about, as after a change of owner. */
export function canBeApproved(step: tables.StepRow, vm: tables.VmRow): boolean {
  return isApproved(step, vm) || !step.advice.askedVms.has(vm.incarnationKey);
}

/** Returns whether an advice request for the step is in flight. */
export function isRequestPending(step: tables.StepRow, nowMs: number): boolean {
  const { pendingUntilMs } = step.advice;
  return pendingUntilMs !== undefined && pendingUntilMs > nowMs;
}

/** What a request for advice may be sent for. */
export interface AllowedAdvice {
  /** A start at once. */
  readonly start: boolean;
  /** A later start, although no VM has room for the step yet. */
  readonly askAhead: boolean;
  /** Number of running tasks of a service that are about to need another place. */
  readonly endingTasks?: number;
}

/** Sends an advice request for a step if the answer can lead to a start and a node has a free slot. */
export function requestAdvice(
  state: states.State,
  step: tables.StepRow,
  allowed: AllowedAdvice,
  nowMs: number,
): void {
  const policy = step.occurrence.job.policy.advice;
  if (policy === undefined || isRequestPending(step, nowMs)) return;
  const use = chooseSlotUse(step, nowMs, allowed.endingTasks);
  // With a long queue there is mostly no free slot, and this check is cheaper than choosing VMs.
  if (
    !state.adviceSlots.hasFreeSlot(
      ranking.estimateAdviceMs(policy, 1),
      nowMs,
      use,
    )
  )
    return;
  const vms = chooseVmsToAsk(state, step, policy, allowed, nowMs);
  if (vms.length === 0) return;
  const costMs = ranking.estimateAdviceMs(policy, vms.length);
  const slot = state.adviceSlots.reserve(costMs, nowMs, use);
  if (slot === undefined) return;
  const key = tables.getStepKey(step);
  releaseSlot(state, key, false, nowMs);
  state.adviceRequests.set(names.formatStep(key), {
    slot,
    incarnationKeys: collectIncarnationKeys(state, vms),
  });
  step.advice.pendingUntilMs =
    nowMs + slot.expectedMs + ANSWER_TIMEOUT_MARGIN_MS;
  states.countEvent(state, 'advice.asked');
  state.commands.push({
    command: 'advise',
    step: key,
    vms,
    helper: slot.helper,
    costMs,
    expectedMs: slot.expectedMs,
  });
}

/**
 * Requests advice for service tasks on VMs that don't answer, so that the answer arrives
 * shortly before their runs have ended and may be replaced.
 */
export function requestForEndingTasks(
  state: states.State,
  nowMs: number,
): void {
  const endingTasks = new Map<tables.StepRow, number>();
  for (const vm of state.vms.values()) {
    const endMs = findRunsEnd(state, vm);
    if (endMs === undefined) continue;
    for (const { task } of vm.runs) {
      const { step } = task;
      const { job } = step.occurrence;
      const policy = job.policy.advice;
      if (!step.spec.lasts || policy === undefined) continue;
      const answerMs =
        nowMs +
        ranking.estimateAdviceMs(policy, MAX_VMS_PER_REQUEST) +
        ANSWER_OVERHEAD_MS;
      if (endMs > answerMs || states.isJobOver(job)) continue;
      endingTasks.set(step, (endingTasks.get(step) ?? 0) + 1);
    }
  }
  for (const [step, tasks] of endingTasks) {
    if (!workspaceLimits.canRestart(step, tasks)) continue;
    requestAdvice(
      state,
      step,
      { start: true, askAhead: false, endingTasks: tasks },
      nowMs,
    );
  }
}

/** Returns the time at which the runs of a VM that doesn't answer have ended; undefined while it may answer. */
function findRunsEnd(
  state: states.State,
  vm: tables.VmRow,
): number | undefined {
  const isUnlisted = vm.entry === undefined && vm.reportedMs === undefined;
  return (
    state.silentVms.get(vm.id) ??
    (isUnlisted ? state.inheritedUntilMs : undefined)
  );
}

/** Returns the use for which a request of a step gets a slot. */
export function chooseSlotUse(
  step: tables.StepRow,
  nowMs: number,
  endingTasks = 0,
): adviceSlots.SlotUse {
  // The task has to run again as soon as its old run has ended, whoever submitted it.
  if (endingTasks > 0 || waits.isServiceOverdue(step, nowMs))
    return 'overdue-service';
  if (step.occurrence.job.yields) return 'excess';
  return step.spec.lasts ? 'service' : 'usual';
}

function collectIncarnationKeys(
  state: states.State,
  vms: readonly ids.VmId[],
): ReadonlyMap<ids.VmId, string> {
  const keys = new Map<ids.VmId, string>();
  for (const id of vms) {
    const vm = state.vms.get(id);
    if (vm !== undefined) keys.set(id, vm.incarnationKey);
  }
  return keys;
}

function releaseSlot(
  state: states.State,
  key: types.StepKey,
  answered: boolean,
  nowMs: number,
): void {
  const name = names.formatStep(key);
  state.adviceRequests.get(name)?.slot.release(answered, nowMs);
  state.adviceRequests.delete(name);
}

/** A VM that is eligible for a step, apart from room and advice. */
interface EligibleVm {
  readonly vm: tables.VmRow;
  readonly candidate: placement.Candidate;
  /** Whether a task may start there now, or soon on a VM that is reserved for the step. */
  readonly canStart: boolean;
}

function chooseVmsToAsk(
  state: states.State,
  step: tables.StepRow,
  policy: types.AdvicePolicy,
  allowed: AllowedAdvice,
  nowMs: number,
): readonly ids.VmId[] {
  const list = (vms: readonly tables.VmRow[]): readonly EligibleVm[] =>
    listEligible(vms, step, policy, allowed.start, nowMs);
  const poolVms = openVms.listForStep(state.openVms, step);
  if (step.spec.lasts) {
    const { endingTasks = 0 } = allowed;
    const tasks = step.waitingCount + endingTasks;
    const vms = chooseForService(step, list(poolVms), tasks, nowMs);
    if (vms.length > 0 || endingTasks > 0) return vms;
  }
  const approved = list(openVms.listApproved(state.openVms, step));
  if (hasPlaces(approved, step))
    return chooseRenewals(step, policy, approved, nowMs);
  const notAsked = poolVms.filter(
    ({ incarnationKey }) => !step.advice.askedVms.has(incarnationKey),
  );
  const canStartElsewhere =
    allowed.start &&
    notAsked.some(
      (vm) =>
        (placement.hasRoomOn(vm, step) || vm.reservedFor === step) &&
        list([vm]).some(({ canStart }) => canStart),
    );
  if (approved.some(({ canStart }) => canStart) && !canStartElsewhere)
    return chooseRenewals(step, policy, approved, nowMs);
  // No advice was received yet, or the approved VMs have too little room: ask about other VMs.
  const asksAhead = allowed.askAhead && step.advice.askedVms.size === 0;
  if (canStartElsewhere || asksAhead) {
    const sorted = sortByRoom(list(notAsked), step, nowMs);
    return sorted
      .slice(0, countVmsToAsk(state, step, approved, sorted))
      .map(({ vm }) => vm.id);
  }
  return allowed.askAhead ? chooseRenewals(step, policy, approved, nowMs) : [];
}

/** Counts the VMs to ask about so that those that are probably approved have places for the missing members of a gang. */
function countVmsToAsk(
  state: states.State,
  step: tables.StepRow,
  approved: readonly EligibleVm[],
  sorted: readonly EligibleVm[],
): number {
  if (!step.spec.gang) return MAX_VMS_PER_REQUEST;
  const share = estimateApprovedShare(state, step);
  let missing = countMissingPlaces(approved, step) * GANG_PLACES_FACTOR;
  let vms = 0;
  for (const { candidate } of sorted) {
    if (missing <= 0 || vms >= MAX_VMS_PER_GANG_REQUEST) break;
    vms += 1;
    // A VM that is full now has room for one member at least by the time it is reserved.
    missing -=
      Math.max(1, countPlaces(candidate, step, step.spec.count)) * share;
  }
  return Math.max(MAX_VMS_PER_REQUEST, vms);
}

/** Estimates the share of the VMs that advice approves for a step, from earlier answers to its queue. */
function estimateApprovedShare(
  state: states.State,
  step: tables.StepRow,
): number {
  const known = state.approvedShares.get(step.occurrence.job.job.queue);
  return known === undefined
    ? ASSUMED_APPROVED_SHARE
    : Math.max(MIN_APPROVED_SHARE, known.approved / known.asked);
}

/** Updates the approved share of a queue from the VMs that a request has named for the first time. */
function recordApproval(
  state: states.State,
  queue: types.QueueName,
  asked: number,
  approved: number,
): void {
  if (asked === 0) return;
  const previous = state.approvedShares.get(queue) ?? { asked: 0, approved: 0 };
  const kept = Math.min(
    1,
    APPROVED_SHARE_WINDOW_VMS / (previous.asked + asked),
  );
  state.approvedShares.set(queue, {
    asked: (previous.asked + asked) * kept,
    approved: (previous.approved + approved) * kept,
  });
}

/** Returns whether VMs on which tasks may start have places for one task, or for all members of a gang. */
function hasPlaces(
  eligible: readonly EligibleVm[],
  step: tables.StepRow,
): boolean {
  return countMissingPlaces(eligible, step) <= 0;
}

/** Counts the places that VMs on which tasks may start lack for one task, or for all members of a gang. */
function countMissingPlaces(
  eligible: readonly EligibleVm[],
  step: tables.StepRow,
): number {
  let missing = step.spec.gang ? step.spec.count : 1;
  for (const { candidate, canStart } of eligible) {
    if (!canStart) continue;
    const trial = { ...candidate, free: { ...candidate.free } };
    // A VM that is reserved for the step counts with the room that it will have.
    missing -= 1;
    placement.takeRoom(trial, step);
    while (missing > 0 && placement.canPlaceTask(trial, step)) {
      missing -= 1;
      placement.takeRoom(trial, step);
    }
    if (missing <= 0) return 0;
  }
  return missing;
}

/**
 * Chooses VMs with room for a number of tasks of a service: approved ones whose tickets
 * have expired, and for the other tasks those that haven't been asked about. Those with
 * the most room come first, as other steps take room until the answer arrives. None when
 * no VM has room.
 */
function chooseForService(
  step: tables.StepRow,
  eligible: readonly EligibleVm[],
  tasks: number,
  nowMs: number,
): readonly ids.VmId[] {
  const { tickets, askedVms } = step.advice;
  const withRoom = eligible
    .filter(({ canStart }) => canStart)
    .map(({ vm, candidate }) => ({
      vm,
      places: countPlaces(candidate, step, tasks),
    }))
    .sort((a, b) => b.places - a.places);
  const approvedShare =
    askedVms.size === 0
      ? ASSUMED_APPROVED_SHARE
      : Math.max(MIN_APPROVED_SHARE, tickets.size / askedVms.size);
  const chosen: tables.VmRow[] = [];
  let expectedPlaces = 0;
  for (const { vm, places } of withRoom) {
    if (!tickets.has(vm.incarnationKey)) continue;
    expectedPlaces += places;
    if (findTicket(step, vm, nowMs) === undefined) chosen.push(vm);
  }
  for (const { vm, places } of withRoom) {
    if (expectedPlaces >= tasks * RENEWED_VMS_PER_TASK) break;
    if (askedVms.has(vm.incarnationKey)) continue;
    expectedPlaces += places * approvedShare;
    chosen.push(vm);
  }
  if (chosen.length === 0) return [];
  // Further VMs cost little, and some of them have room by the time of the answer.
  for (const { vm } of eligible) {
    if (chosen.length >= MAX_VMS_PER_REQUEST) break;
    const isKnown = tickets.has(vm.incarnationKey)
      ? findTicket(step, vm, nowMs) !== undefined
      : askedVms.has(vm.incarnationKey);
    if (!isKnown && !chosen.includes(vm)) chosen.push(vm);
  }
  return chosen.slice(0, MAX_VMS_PER_SERVICE_REQUEST).map(({ id }) => id);
}

/** Counts for how many of a number of tasks a VM has room. */
function countPlaces(
  candidate: placement.Candidate,
  step: tables.StepRow,
  tasks: number,
): number {
  const copy = { ...candidate, free: { ...candidate.free } };
  let places = 0;
  while (places < tasks && placement.canPlaceTask(copy, step)) {
    placement.takeRoom(copy, step);
    places += 1;
  }
  return places;
}

function listEligible(
  vms: readonly tables.VmRow[],
  step: tables.StepRow,
  policy: types.AdvicePolicy,
  mayStart: boolean,
  nowMs: number,
): readonly EligibleVm[] {
  const eligible: EligibleVm[] = [];
  const soonMs = nowMs + ranking.estimateAdviceMs(policy, MAX_VMS_PER_REQUEST);
  for (const vm of vms) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const candidate: placement.Candidate = {
      vm,
      free: { ...tables.getFree(vm) },
      ticket: undefined,
      sameStep: placement.countSameStep(vm, step),
    };
    const hasRoom =
      placement.getReservedStep(vm, nowMs) === step
        ? vm.reservedReadyMs <= soonMs
        : !placement.isReservedForOther(vm, step, nowMs) &&
          placement.canPlaceTask(candidate, step);
    eligible.push({ vm, candidate, canStart: mayStart && hasRoom });
  }
  return eligible;
}

/** Sorts VMs with room first, then by score. */
function sortByRoom(
  eligible: readonly EligibleVm[],
  step: tables.StepRow,
  nowMs: number,
): readonly EligibleVm[] {
  const scored = eligible.map((entry) => ({
    entry,
    score: placement.scoreCandidate(entry.candidate, step, undefined, nowMs),
  }));
  scored.sort(
    (a, b) =>
      Number(b.entry.canStart) - Number(a.entry.canStart) || a.score - b.score,
  );
  return scored.map(({ entry }) => entry);
}

/** Chooses the approved VMs whose tickets are renewed; none while there are enough usable tickets. */
function chooseRenewals(
  step: tables.StepRow,
  policy: types.AdvicePolicy,
  approved: readonly EligibleVm[],
  nowMs: number,
): readonly ids.VmId[] {
  const hasRoom = approved.some(({ canStart }) => canStart);
  const expired: EligibleVm[] = [];
  let usableTickets = 0;
  for (const entry of approved) {
    if (findTicket(step, entry.vm, nowMs) === undefined) expired.push(entry);
    else if (entry.canStart || !hasRoom) usableTickets += 1;
  }
  const vmsForTasks = Math.ceil(step.waitingCount * RENEWED_VMS_PER_TASK);
  const ticketsNeeded = step.spec.gang
    ? Math.min(vmsForTasks, approved.filter(({ canStart }) => canStart).length)
    : 1;
  if (usableTickets >= Math.max(1, ticketsNeeded)) return [];
  const vmsWithinCost =
    policy.perVmMs > 0
      ? Math.floor((policy.fixedMs * RENEWAL_COST_SHARE) / policy.perVmMs)
      : MAX_VMS_PER_REQUEST;
  return sortByRoom(expired, step, nowMs)
    .slice(
      0,
      Math.min(
        step.spec.gang ? MAX_VMS_PER_GANG_REQUEST : MAX_VMS_PER_REQUEST,
        Math.max(vmsForTasks, vmsWithinCost),
      ),
    )
    .map(({ vm }) => vm.id);
}

/** Applies the answer to an advice request; `tickets` is undefined when there was none. */
export function applyAdvice(
  state: states.State,
  key: types.StepKey,
  askedVms: readonly ids.VmId[],
  tickets: readonly types.Ticket[] | undefined,
  nowMs: number,
): void {
  states.countEvent(
    state,
    tickets === undefined ? 'advice.missed' : 'advice.answered',
  );
  // A VM may have restarted since the request; the answer is about the incarnation before.
  const incarnationKeys =
    state.adviceRequests.get(names.formatStep(key))?.incarnationKeys ??
    collectIncarnationKeys(state, askedVms);
  releaseSlot(state, key, tickets !== undefined, nowMs);
  const step = states.findTask(state, { ...key, index: 0 })?.step;
  if (step === undefined) return;
  step.advice.pendingUntilMs = undefined;
  const validMs = step.occurrence.job.policy.advice?.validMs ?? 0;
  if (tickets === undefined) return;
  const newVms = new Set(
    askedVms.filter((id) => {
      const incarnationKey = incarnationKeys.get(id);
      if (incarnationKey === undefined) return false;
      const isNew = !step.advice.askedVms.has(incarnationKey);
      step.advice.askedVms.add(incarnationKey);
      return isNew;
    }),
  );
  recordApproval(
    state,
    step.occurrence.job.job.queue,
    newVms.size,
    tickets.filter(({ vm }) => newVms.has(vm)).length,
  );
  for (const { vm: id, ticket } of tickets) {
    const incarnationKey = incarnationKeys.get(id);
    if (incarnationKey !== undefined)
      step.advice.tickets.set(incarnationKey, {
        ticket,
        untilMs: nowMs + validMs,
      });
  }
}
