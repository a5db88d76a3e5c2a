/**
 * One node of a cluster. Every node answers callers; the node that owns the cluster
 * also schedules and calls the VMs. The other nodes keep a link to the owner, through
 * which they request job states and writes, and the owner sends advice requests.
 */
import * as core from '@flamingoward/core';
import * as intake from '@flamingoward/intake';
import * as link from '@flamingoward/link';
import * as adviceRouters from './adviceRouter.js';
import * as claims from './claims.js';
import * as configurations from './configuration.js';
import type * as contexts from './context.js';
import * as requestHandlers from './requestHandler.js';
import * as fleets from './fleet.js';
import * as jobStores from './jobStore.js';
import * as owners from './owner.js';
import * as storeSilence from './storeSilence.js';
import * as successors from './successors.js';
import * as waiting from './waitingCounts.js';
import * as workspaceMetrics from './workspaceMetrics.js';

/** Time between the owner's heartbeats, in ms. */
const HEARTBEAT_INTERVAL_MS = 500;
/** Timeout of a question about jobs to the owner, in ms. */
const OWNER_QUESTION_TIMEOUT_MS = 600;
/** Time without a heartbeat after which the owner is suspected, in ms. */
const HEARTBEAT_TIMEOUT_MS = 1_100;
/** Timeout of a request to a peer to check that it reaches the store, in ms. */
const STORE_CHECK_TIMEOUT_MS = 500;
const MAX_FRAME_BYTES = 1_048_576;
/** Clock drift or timer delay per check above which the process counts as paused, in ms. */
const PAUSE_TOLERANCE_MS = 400;
const PAUSE_CHECK_INTERVAL_MS = 200;
/** Time after the stop signal during which new requests are still answered, in ms. */
const STOP_ACCEPT_MS = 2_300;
/** Part of the allowed stop time that is kept in reserve, in ms. */
const STOP_MARGIN_MS = 1_500;

/** A running node. */
export interface ClusterNode {
  open(): Promise<void>;
  /** Releases ownership, answers the requests in flight and resolves. */
  stop(): Promise<void>;
}

/** Creates a node. */
export function createClusterNode(options: contexts.NodeContext): ClusterNode {
  const context = storeSilence.watchStoreCalls(options);
  const { timers, log, metrics, settings, instance } = context;
  const configuration = configurations.createConfigurationView(context);
  const jobs = jobStores.createJobStore(context);
  const fleet = fleets.createFleet(context);
  let owner: owners.Owner | undefined;
  let lastHeartbeat: core.clusterMessages.ClusterHeartbeat | undefined;
  let lastHeartbeatMs = 0;
  let heartbeatSentMs = -Infinity;
  /** Time at which each peer process first opened a link to this one. */
  const firstSeenMsByPeer = new Map<core.ids.InstanceId, number>();
  const coresByPeer = new Map<core.ids.InstanceId, number>();
  /** Fence of the owner that each peer process follows. */
  const followedFences = new Map<core.ids.InstanceId, number>();
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
    // The log store's address serves as the key, since the nodes of a cluster share one store.
    key: settings.logStoreAddress,
    maxFrameBytes: MAX_FRAME_BYTES,
    maxHandshakes: intake.computeMaxHandshakes(settings),
    timers,
    getRandom: context.getRandom,
    onQuestion: answerQuestion,
    onNotice: receiveNotice,
    onOpen: handleLinkOpen,
    onClose: handleLinkClosed,
    onShed: (reason) => {
      metrics.count('links_shed', { reason });
    },
  });

  const adviceRouter = adviceRouters.createAdviceRouter(
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

  const ownership = claims.createClaims(context, {
    onOwned(fence, previous) {
      owner?.close();
      hub.setPeers([]);
      owner = owners.createOwner(context, {
        fence,
        previous,
        storeLostMs: ownership.getStoreLostMs(),
        unconfirmedLimitMs: claims.UNCONFIRMED_LIMIT_MS,
        jobs,
        fleet,
        adviceRouter,
        getPolicies: () => configuration.getPolicies(),
        getConfirmedAge: () => ownership.getConfirmedAge(),
        getLongestConfirmedAge: () => ownership.getLongestConfirmedAge(),
        onAppendFailed: () => {
          void releaseToPeers(fence);
        },
        onFenced: () => {
          ownership.resign('a VM or the store has seen a higher fence');
        },
        onFailed: () => {
          ownership.resign('a scheduling round failed');
        },
      });
      for (const peer of hub.listConnected()) {
        owner.handleProcess(peer.name, peer.instance);
        reportFollower(peer.instance);
      }
    },
    onUnconfirmed(fence) {
      void releaseToPeers(fence);
    },
    onLost() {
      owner?.close();
      owner = undefined;
    },
    buildLeaseRecord: () => owner?.buildLeaseRecord(),
    buildFinalLeaseRecord: () => owner?.buildFinalLeaseRecord(),
    hasUnrecorded: () => owner?.hasUnrecorded() ?? false,
    onRenewed(record) {
      owner?.confirmLeaseRecord(record);
      // If this process ends now, successors count from this renewal on.
      sendHeartbeat();
    },
    onOwner(next) {
      if (next.instance === instance) return;
      hub.setPeers(next.released ? [] : [next.address]);
      notifyMember(next.instance);
    },
  });

  function notifyMember(peer: core.ids.InstanceId): void {
    const current = ownership.getOwner();
    hub.notify(peer, {
      kind: 'cluster.member',
      cores: settings.cores,
      ...(owner === undefined && current !== undefined
        ? { follows: current.fence }
        : {}),
    });
  }

  /** Tells this node's owner of a peer process that follows it or a later one. */
  function reportFollower(peer: core.ids.InstanceId): void {
    if (owner !== undefined && (followedFences.get(peer) ?? 0) >= owner.fence)
      owner.handleFollower(peer);
  }

  /** Releases ownership if the store answers a connected peer but not this node. */
  async function releaseToPeers(fence: number): Promise<void> {
    if (releasing) return;
    releasing = true;
    const peers = hub.listConnected().map((peer) => peer.instance);
    const [ownStoreReachable, ...peerStoresReachable] = await Promise.all([
      ownership.checkStore(),
      ...peers.map(askStore),
    ]);
    releasing = false;
    // If the store is slow or loses answers for all nodes, a successor would fare no better.
    if (
      ownStoreReachable ||
      !peerStoresReachable.includes(true) ||
      ownership.getFence() !== fence
    )
      return;
    const unrecorded = owner?.hasUnrecorded() ?? false;
    ownership.resign('the store answers a peer but not this node');
    for (const peer of peers)
      hub.notify(peer, { kind: 'cluster.released', fence, unrecorded });
  }

  async function askStore(peer: core.ids.InstanceId): Promise<boolean> {
    try {
      const answer = await hub.ask(
        peer,
        { kind: 'cluster.store' },
        STORE_CHECK_TIMEOUT_MS,
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

  /** Suspects an owner without heartbeats, which may be paused or disconnected. */
  function checkHeartbeat(): void {
    const current = ownership.getOwner();
    if (lastHeartbeat === undefined || current?.fence !== lastHeartbeat.fence)
      return;
    if (timers.getNow() - lastHeartbeatMs > HEARTBEAT_TIMEOUT_MS)
      ownership.suspect(current.instance, 'silent');
  }

  function handleLinkOpen(peer: core.messages.Hello): void {
    if (!firstSeenMsByPeer.has(peer.instance))
      firstSeenMsByPeer.set(peer.instance, timers.getNow());
    log.write('debug', 'link.open', { peer: peer.name });
    notifyMember(peer.instance);
    owner?.handleProcess(peer.name, peer.instance);
    const current = ownership.getOwner();
    // A new process of the owner's node has connected, so the owner's process has terminated.
    if (current?.node === peer.name && current.instance !== peer.instance)
      ownership.suspect(current.instance, 'terminated');
  }

  function handleLinkClosed(event: link.LinkClosed): void {
    const current = ownership.getOwner();
    if (event.direction !== 'dialled' || current?.address !== event.address)
      return;
    const cause = event.cause as NodeJS.ErrnoException | undefined;
    ownership.suspect(
      current.instance,
      cause?.code === 'ECONNREFUSED' ? 'refused' : 'silent',
    );
  }

  function receiveNotice(
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ): void {
    if (notice.kind === 'cluster.beat') {
      if (ownership.getOwner()?.instance !== from.instance) return;
      lastHeartbeat = notice;
      lastHeartbeatMs = timers.getNow();
      ownership.setSuccessors(notice.successors);
      ownership.handleHeartbeat(
        notice.fence,
        notice.confirmedAgeMs,
        notice.confirmedOffset,
      );
    } else if (notice.kind === 'cluster.released') {
      ownership.handleRelease(notice.fence, notice.unrecorded);
    } else if (notice.kind === 'cluster.member') {
      coresByPeer.set(from.instance, notice.cores);
      if (notice.follows !== undefined)
        followedFences.set(from.instance, notice.follows);
      reportFollower(from.instance);
    }
  }

  async function answerQuestion(
    question: core.messages.Question,
  ): Promise<core.messages.Answer> {
    switch (question.kind) {
      case 'cluster.job':
        return {
          kind: 'cluster.job.answer',
          state: await owner?.getJobState(question.job, question.caller),
          checked: true,
        };
      case 'cluster.waiting':
        return {
          kind: 'cluster.waiting.answer',
          counts: owner?.countWaiting(),
        };
      case 'cluster.write':
        return writeForPeer(question);
      case 'cluster.store':
        return {
          kind: 'cluster.store.answer',
          reached: await ownership.checkStore(),
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
          message: `${question.kind} is not handled by a cluster node`,
        };
    }
  }

  async function writeForPeer(
    question: Extract<
      core.messages.Question,
      { readonly kind: 'cluster.write' }
    >,
  ): Promise<core.messages.Answer> {
    const { unavailable, why } = jobs.getHealth();
    if (unavailable)
      return { kind: 'cluster.write.answer', outcome: 'refused', why };
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
    const untilMs = timers.getNow() + question.timeoutMs;
    const written = await ('accept' in question.write
      ? jobs.accept(question.write.accept, untilMs, question.write.caller)
      : jobs.cancel(question.write.cancel, untilMs, question.write.caller));
    return {
      kind: 'cluster.write.answer',
      outcome: written.outcome,
      why: written.why ?? '',
    };
  }

  async function writeThroughOwner(
    change: requestHandlers.DurableWrite,
    timeoutMs: number,
  ): Promise<jobStores.WriteResult | undefined> {
    const current = ownership.getOwner();
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
    return (
      lastHeartbeat !== undefined &&
      timers.getNow() - lastHeartbeatMs < HEARTBEAT_TIMEOUT_MS
    );
  }

  /** Returns whether neither the store nor the owner, which could write for this node, is reachable. */
  function isIsolated(): boolean {
    return (
      owner === undefined && !ownership.isStoreReachable() && !hasOwnerLink()
    );
  }

  function sendHeartbeat(): void {
    if (owner === undefined) return;
    const peers = hub.listConnected();
    const confirmedOffset = ownership.getConfirmedOffset();
    const notice: core.clusterMessages.ClusterHeartbeat = {
      kind: 'cluster.beat',
      fence: owner.fence,
      confirmedAgeMs: ownership.getConfirmedAge(),
      ...(confirmedOffset === undefined ? {} : { confirmedOffset }),
      successors: successors.rankSuccessors(
        peers.map((peer) => ({
          instance: peer.instance,
          sameRegion: peer.region === settings.region,
          firstSeenMs: firstSeenMsByPeer.get(peer.instance) ?? 0,
          cores: coresByPeer.get(peer.instance) ?? settings.cores,
        })),
      ),
    };
    for (const peer of peers) hub.notify(peer.instance, notice);
    heartbeatSentMs = timers.getNow();
  }

  /** Sends a heartbeat unless a renewal has just been followed by one. */
  function sendPeriodicHeartbeat(): void {
    if (timers.getNow() - heartbeatSentMs >= HEARTBEAT_INTERVAL_MS / 2)
      sendHeartbeat();
  }

  async function askOwner(
    id: core.ids.JobId,
    caller: core.clusterMessages.JobCaller | undefined,
  ): Promise<core.clusterMessages.JobAnswer | undefined> {
    if (owner !== undefined) return owner.getJobState(id, caller);
    const current = ownership.getOwner();
    if (current === undefined) return undefined;
    try {
      const answer = await hub.ask(
        current.instance,
        {
          kind: 'cluster.job',
          job: id,
          ...(caller === undefined ? {} : { caller }),
        },
        OWNER_QUESTION_TIMEOUT_MS,
      );
      if (answer.kind !== 'cluster.job.answer') return undefined;
      // An owner of an earlier build tells the state of any job, whoever asks.
      return caller === undefined || answer.checked === true
        ? answer.state
        : undefined;
    } catch (cause) {
      metrics.count('owner_questions_failed', {});
      log.write('debug', 'owner.no-answer', {
        job: id,
        why: core.describeError(cause),
      });
      return undefined;
    }
  }

  async function askCounts(): Promise<
    core.clusterMessages.OwnerCounts | undefined
  > {
    if (owner !== undefined) return owner.countWaiting();
    const current = ownership.getOwner();
    if (current === undefined) return undefined;
    try {
      const answer = await hub.ask(
        current.instance,
        { kind: 'cluster.waiting' },
        OWNER_QUESTION_TIMEOUT_MS,
      );
      return answer.kind === 'cluster.waiting.answer'
        ? answer.counts
        : undefined;
    } catch (cause) {
      metrics.count('owner_questions_failed', {});
      log.write('debug', 'owner.no-answer', {
        question: 'cluster.waiting',
        why: core.describeError(cause),
      });
      return undefined;
    }
  }

  const waitingCounts = waiting.createWaitingCounts(timers, askCounts);

  const handleRequest = requestHandlers.createRequestHandler(
    context,
    configuration,
    jobs,
    {
      fetchState: askOwner,
      writeThroughOwner,
      fetchWaiting: (queue, untilMs) => waitingCounts.fetch(queue, untilMs),
      checkAdmission: (job) => owner?.checkAdmission(job),
    },
  );

  const server = context.ports.createServer({
    handle: handleRequest,
    isReady: () =>
      !stopping && configuration.getCurrent() !== undefined && !isIsolated(),
    renderMetrics,
    renderDump,
    getMaxBodyBytes: () =>
      configuration.getCurrent()?.maxBodyBytes ?? MAX_FRAME_BYTES,
    getConnectionLimits: () => configuration.getCurrent()?.connectionLimits,
    recordShed(reason) {
      metrics.count('callers_shed', { reason });
    },
  });

  /** Renders the tables of this node's owner, or which owner this node follows. */
  function renderDump(): string {
    const current = ownership.getOwner();
    return JSON.stringify({
      node: settings.name,
      instance,
      owner: owner !== undefined,
      ...(owner === undefined
        ? {
            follows: current && {
              node: current.node,
              fence: current.fence,
              released: current.released,
            },
          }
        : owner.dump()),
    });
  }

  const workspaceGauges = workspaceMetrics.createWorkspaceMetrics(metrics);

  function renderMetrics(): string {
    metrics.set('owner', {}, owner === undefined ? 0 : 1);
    for (const [event, count] of owner?.getCounts() ?? [])
      metrics.set('scheduler_events', { event }, count);
    workspaceGauges.set(
      owner?.listWorkspaces() ?? [],
      owner?.listWorkspaceUse() ?? [],
    );
    return metrics.render();
  }

  let wallMs = timers.getDate();
  let monotonicMs = timers.getNow();
  /** Verifies ownership after a pause of the process or its clock, since another node may have claimed meanwhile. */
  function checkPause(): void {
    checkHeartbeat();
    const nextWallMs = timers.getDate();
    const nextMonotonicMs = timers.getNow();
    const driftMs = Math.abs(
      nextWallMs - wallMs - (nextMonotonicMs - monotonicMs),
    );
    const delayMs = nextMonotonicMs - monotonicMs - PAUSE_CHECK_INTERVAL_MS;
    wallMs = nextWallMs;
    monotonicMs = nextMonotonicMs;
    if (driftMs > PAUSE_TOLERANCE_MS || delayMs > PAUSE_TOLERANCE_MS)
      ownership.verify('the process may have been paused');
  }

  const timerSubscriptions: core.TimerSubscription[] = [];

  return {
    async open() {
      await server.open();
      await hub.open();
      configuration.open();
      ownership.open();
      timerSubscriptions.push(
        timers.subscribe(
          {
            name: 'node.beat',
            delayMs: HEARTBEAT_INTERVAL_MS,
            repeat: 'periodic',
          },
          sendPeriodicHeartbeat,
        ),
        timers.subscribe(
          {
            name: 'node.pause',
            delayMs: PAUSE_CHECK_INTERVAL_MS,
            repeat: 'periodic',
          },
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
        await ownership.release(unrecorded);
        for (const peer of hub.listConnected())
          hub.notify(peer.instance, {
            kind: 'cluster.released',
            fence,
            unrecorded,
          });
      } else ownership.close();
      await core.waitFor(timers, 'node.stop', STOP_ACCEPT_MS);
      await server.close(settings.stopMs - STOP_ACCEPT_MS - STOP_MARGIN_MS);
      for (const timer of timerSubscriptions) timer.end();
      configuration.close();
      jobs.close();
      fleet.close();
      await hub.close();
      log.write('info', 'node.stopped', {});
    },
  };
}
