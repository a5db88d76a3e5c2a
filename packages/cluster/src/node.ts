/**
 * One node of a cluster. Every node answers callers and keeps a view of the jobs; the
 * one that owns the cluster also decides and speaks to the VMs. Other nodes hold a
 * link to the owner: over it they ask for states, and the owner has them ask for advice.
 */
import * as core from '@flamingoward/core';
import * as link from '@flamingoward/link';
import * as adviser from './adviceRouter.js';
import * as claims from './claims.js';
import * as configurations from './configuration.js';
import type * as contexts from './context.js';
import * as desks from './requestHandler.js';
import * as fleets from './fleet.js';
import * as jobStores from './jobStore.js';
import * as owners from './owner.js';
import * as successors from './successors.js';

/** Time between the owner's beats, in ms: counts of waiting jobs may be two seconds old. */
const BEAT_MS = 500;
/** Age from which counts of the owner are no longer told, in ms. */
const BEAT_STALE_MS = 1_800;
/** Time for which a state is waited for from the owner, in ms. */
const ASK_STATE_MS = 600;
/** Time without a beat after which the owner is suspected, in ms. */
const BEAT_MISSED_MS = 1_100;
/** Time in which a peer must tell whether the store answers it, in ms. */
const ASK_STORE_MS = 500;
const MAX_FRAME_BYTES = 1_048_576;
/** Largest difference between the clocks that a running process shows within a check, in ms. */
const PAUSE_DRIFT_MS = 400;
const PAUSE_CHECK_MS = 200;
/** Time after the signal to stop during which new requests are still answered, in ms. */
const STOP_ACCEPT_MS = 2_300;
/** Part of the stop time that is left unused, in ms. */
const STOP_MARGIN_MS = 1_500;

/** A running node. */
export interface ClusterNode {
  open(): Promise<void>;
  /** Hands over, answers what is in hand and resolves. */
  stop(): Promise<void>;
}

/** Creates a node. */
export function createClusterNode(context: contexts.NodeContext): ClusterNode {
  const { timers, log, metrics, settings, instance } = context;
  const configuration = configurations.createConfigurationView(context);
  const jobs = jobStores.createJobStore(context);
  const fleet = fleets.createFleet(context);
  let owner: owners.Owner | undefined;
  let beat: core.clusterMessages.ClusterBeat | undefined;
  let beatMs = 0;
  /** When each process of a peer first opened a link to this one. */
  const firstSeen = new Map<core.ids.InstanceId, number>();
  const coresByPeer = new Map<core.ids.InstanceId, number>();
  let stopping = false;
  let releasing = false;

  const hub = link.createHub({
    identity: {
      name: settings.name,
      instance,
      region: settings.region,
      availabilityZone: settings.availabilityZone,
    },
    listen: settings.listen.links,
    // Nodes of one cluster share one log store.
    key: settings.logStoreAddress,
    maxFrameBytes: MAX_FRAME_BYTES,
    timers,
    readRandom: context.readRandom,
    onQuestion: answerQuestion,
    onNotice: receiveNotice,
    onOpen: noteLinkOpen,
    onClose: noteLinkClosed,
  });

  const advisers = adviser.createAdviser(
    context,
    () => hub.listConnected().map((peer) => peer.instance),
    async (peer, question, timeoutMs) => {
      try {
        const answer = await hub.ask(peer, question, timeoutMs);
        return answer.kind === 'cluster.advise.answer'
          ? answer.good
          : undefined;
      } catch (cause) {
        log.write('debug', 'advice.peer-failed', {
          peer,
          why: core.describeError(cause),
        });
        return undefined;
      }
    },
  );

  const claim = claims.createClaims(context, {
    onOwned(fence, previous) {
      owner?.close();
      hub.setPeers([]);
      owner = owners.createOwner(context, {
        fence,
        previous,
        selfLimitMs: claims.SELF_LIMIT_MS,
        jobs,
        fleet,
        adviser: advisers,
        readPolicies: () => configuration.readPolicies(),
        readConfirmedAge: () => claim.readConfirmedAge(),
        onStoreTrouble: () => {
          void releaseToPeers(fence);
        },
        onFenced: () => {
          claim.resign('a higher fence was met');
        },
      });
    },
    onUnconfirmed(fence) {
      void releaseToPeers(fence);
    },
    onLost() {
      owner?.close();
      owner = undefined;
    },
    onOwner(next) {
      if (next.instance !== instance)
        hub.setPeers(next.released ? [] : [next.address]);
    },
  });

  /** Gives up to a node that the store answers, if there is one. */
  async function releaseToPeers(fence: number): Promise<void> {
    if (releasing) return;
    releasing = true;
    const peers = hub.listConnected().map((peer) => peer.instance);
    const [own, ...reached] = await Promise.all([
      claim.checkStore(),
      ...peers.map(askStore),
    ]);
    releasing = false;
    // A slow store, or one that loses answers, would treat a successor no better.
    if (own || !reached.includes(true) || claim.readFence() !== fence) return;
    const unrecorded = owner?.hasUnrecorded() ?? false;
    claim.resign('the store answers other nodes only');
    for (const peer of peers)
      hub.notify(peer, { kind: 'cluster.released', fence, unrecorded });
  }

  async function askStore(peer: core.ids.InstanceId): Promise<boolean> {
    try {
      const answer = await hub.ask(
        peer,
        { kind: 'cluster.store' },
        ASK_STORE_MS,
      );
      return answer.kind === 'cluster.store.answer' && answer.reached;
    } catch (cause) {
      log.write('debug', 'store.peer-failed', {
        peer,
        why: core.describeError(cause),
      });
      return false;
    }
  }

  /** An owner that sends no beats may be paused or cut off. */
  function checkBeat(): void {
    const current = claim.readOwner();
    if (beat === undefined || current?.fence !== beat.fence) return;
    if (timers.readNow() - beatMs > BEAT_MISSED_MS)
      claim.suspect(current.instance, false);
  }

  function noteLinkOpen(peer: core.messages.Hello): void {
    if (!firstSeen.has(peer.instance))
      firstSeen.set(peer.instance, timers.readNow());
    log.write('debug', 'link.open', { peer: peer.name });
    hub.notify(peer.instance, {
      kind: 'cluster.member',
      cores: settings.cores,
    });
    const current = claim.readOwner();
    // The owner's process was replaced by another one.
    if (current?.node === peer.name && current.instance !== peer.instance)
      claim.suspect(current.instance, true);
  }

  function noteLinkClosed(event: link.LinkClosed): void {
    const current = claim.readOwner();
    if (event.direction !== 'dialled' || current?.address !== event.address)
      return;
    const cause = event.cause as NodeJS.ErrnoException | undefined;
    // Nothing listens there any more: the process has ended.
    claim.suspect(current.instance, cause?.code === 'ECONNREFUSED');
  }

  function receiveNotice(
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ): void {
    if (notice.kind === 'cluster.beat') {
      if (claim.readOwner()?.instance !== from.instance) return;
      beat = notice;
      beatMs = timers.readNow();
      claim.setSuccessors(notice.successors);
      claim.noteBeat(notice.fence, notice.confirmedAgeMs);
    } else if (notice.kind === 'cluster.released') {
      claim.noteReleased(notice.fence, notice.unrecorded);
    } else if (notice.kind === 'cluster.member') {
      coresByPeer.set(from.instance, notice.cores);
    }
  }

  async function answerQuestion(
    question: core.messages.Question,
  ): Promise<core.messages.Answer> {
    switch (question.kind) {
      case 'cluster.job':
        return {
          kind: 'cluster.job.answer',
          state: await owner?.readJob(question.job),
        };
      case 'cluster.write':
        return writeForPeer(question);
      case 'cluster.store':
        return {
          kind: 'cluster.store.answer',
          reached: await claim.checkStore(),
        };
      case 'cluster.advise':
        return {
          kind: 'cluster.advise.answer',
          good: await context.ports.advice.ask(
            question.step,
            question.vms,
            question.timeoutMs,
          ),
        };
      case 'ticket.ask':
      case 'tickets.held':
      case 'job.detail':
      case 'job.explain':
      case 'stream.read':
      case 'release.state':
        return {
          kind: 'refused',
          code: 'bad-request',
          message: `${question.kind} is not a question of a cluster`,
        };
    }
  }

  async function writeForPeer(
    question: Extract<
      core.messages.Question,
      { readonly kind: 'cluster.write' }
    >,
  ): Promise<core.messages.Answer> {
    const { away, why } = jobs.readHealth();
    if (away) return { kind: 'cluster.write.answer', outcome: 'refused', why };
    const declined =
      'accept' in question.write
        ? owner?.checkAdmission(question.write.accept)
        : undefined;
    if (declined !== undefined)
      return {
        kind: 'cluster.write.answer',
        outcome: 'declined',
        why: declined,
      };
    const untilMs = timers.readNow() + question.timeoutMs;
    const written = await ('accept' in question.write
      ? jobs.accept(question.write.accept, untilMs)
      : jobs.cancel(question.write.cancel, untilMs));
    return {
      kind: 'cluster.write.answer',
      outcome: written.outcome,
      why: written.why ?? '',
    };
  }

  async function writeThroughOwner(
    change: desks.DurableWrite,
    timeoutMs: number,
  ): Promise<jobStores.WriteResult | undefined> {
    const current = claim.readOwner();
    if (current === undefined || owner !== undefined || !hasOwnerLink())
      return undefined;
    try {
      const answer = await hub.ask(
        current.instance,
        { kind: 'cluster.write', write: change, timeoutMs },
        timeoutMs,
      );
      return answer.kind === 'cluster.write.answer'
        ? { outcome: answer.outcome, why: answer.why }
        : undefined;
    } catch (cause) {
      return { outcome: 'unknown', why: core.describeError(cause) };
    }
  }

  function hasOwnerLink(): boolean {
    return beat !== undefined && timers.readNow() - beatMs < BEAT_MISSED_MS;
  }

  /** Neither the store nor an owner that could write for this node answers. */
  function isCutOff(): boolean {
    return owner === undefined && !claim.isStoreReached() && !hasOwnerLink();
  }

  function sendBeat(): void {
    if (owner === undefined) return;
    const peers = hub.listConnected();
    const notice: core.clusterMessages.ClusterBeat = {
      kind: 'cluster.beat',
      fence: owner.fence,
      confirmedAgeMs: claim.readConfirmedAge(),
      waiting: [...owner.countWaiting()],
      successors: successors.rankSuccessors(
        peers.map((peer) => ({
          instance: peer.instance,
          near: peer.region === settings.region,
          firstSeenMs: firstSeen.get(peer.instance) ?? 0,
          cores: coresByPeer.get(peer.instance) ?? settings.cores,
        })),
      ),
    };
    for (const peer of peers) hub.notify(peer.instance, notice);
  }

  async function askOwner(
    id: core.ids.JobId,
  ): Promise<core.workloads.JobState | 'unknown' | undefined> {
    if (owner !== undefined) return owner.readJob(id);
    const current = claim.readOwner();
    if (current === undefined) return undefined;
    try {
      const answer = await hub.ask(
        current.instance,
        { kind: 'cluster.job', job: id },
        ASK_STATE_MS,
      );
      return answer.kind === 'cluster.job.answer' ? answer.state : undefined;
    } catch (cause) {
      metrics.count('owner_questions_failed', {});
      log.write('debug', 'owner.no-answer', {
        job: id,
        why: core.describeError(cause),
      });
      return undefined;
    }
  }

  function countWaiting(queue: core.workloads.QueueName): number {
    if (owner !== undefined) return owner.countWaiting().get(queue) ?? 0;
    if (beat !== undefined && timers.readNow() - beatMs < BEAT_STALE_MS)
      return beat.waiting.find(([name]) => name === queue)?.[1] ?? 0;
    // Without the owner it isn't known which jobs have begun.
    let count = 0;
    for (const entry of jobs.list())
      if (
        entry.job?.queue === queue &&
        entry.job.schedule === undefined &&
        entry.final === undefined &&
        !entry.cancelled
      )
        count += 1;
    return count;
  }

  const handle = desks.createDesk(context, configuration, jobs, {
    readState: askOwner,
    writeThroughOwner,
    countWaiting,
    checkAdmission: (job) => owner?.checkAdmission(job),
  });

  const server = context.ports.createServer({
    handle,
    isReady: () =>
      !stopping && configuration.read() !== undefined && !isCutOff(),
    renderMetrics,
    renderDump: () => JSON.stringify(owner?.dump() ?? { owner: false }),
    readMaxBodyBytes: () =>
      configuration.read()?.maxBodyBytes ?? MAX_FRAME_BYTES,
  });

  function renderMetrics(): string {
    metrics.set('owner', {}, owner === undefined ? 0 : 1);
    for (const [event, count] of owner?.readCounts() ?? [])
      metrics.set('scheduler_events', { event }, count);
    return metrics.render();
  }

  let wallMs = timers.readDate();
  let steadyMs = timers.readNow();
  /** A pause of the process, or of its clock, may have cost it the ownership. */
  function checkPause(): void {
    checkBeat();
    const nextWallMs = timers.readDate();
    const nextSteadyMs = timers.readNow();
    const drift = Math.abs(nextWallMs - wallMs - (nextSteadyMs - steadyMs));
    const late = nextSteadyMs - steadyMs - PAUSE_CHECK_MS;
    wallMs = nextWallMs;
    steadyMs = nextSteadyMs;
    if (drift > PAUSE_DRIFT_MS || late > PAUSE_DRIFT_MS)
      claim.verify('the process may have been paused');
  }

  const timersHeld: core.TimerSubscription[] = [];

  return {
    async open() {
      await server.open();
      await hub.open();
      configuration.open();
      claim.open();
      timersHeld.push(
        timers.subscribe(
          { name: 'node.beat', delayMs: BEAT_MS, repeat: 'periodic' },
          sendBeat,
        ),
        timers.subscribe(
          { name: 'node.pause', delayMs: PAUSE_CHECK_MS, repeat: 'periodic' },
          checkPause,
        ),
      );
      log.write('info', 'node.started', {
        instance,
        region: settings.region,
        availabilityZone: settings.availabilityZone,
      });
    },
    async stop() {
      stopping = true;
      const fence = owner?.fence;
      if (fence !== undefined) {
        const unrecorded = owner?.hasUnrecorded() ?? false;
        await claim.release(unrecorded);
        for (const peer of hub.listConnected())
          hub.notify(peer.instance, {
            kind: 'cluster.released',
            fence,
            unrecorded,
          });
      } else claim.close();
      await core.waitFor(timers, 'node.stop', STOP_ACCEPT_MS);
      await server.close(settings.stopMs - STOP_ACCEPT_MS - STOP_MARGIN_MS);
      for (const timer of timersHeld) timer.end();
      configuration.close();
      jobs.close();
      fleet.close();
      await hub.close();
      log.write('info', 'node.stopped', {});
    },
  };
}
