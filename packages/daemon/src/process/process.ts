/**
 * Composition root of the daemon: creates the components of one process with their
 * dependencies, and starts and stops them in order.
 */
import * as crypto from 'node:crypto';
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import * as intake from '@flamingoward/intake';
import * as callers from '../callers/server.js';
import * as jobCheck from '../jobs/check.js';
import * as jobs from '../jobs/jobs.js';
import * as stores from '../jobs/stores.js';
import * as links from '../links/links.js';
import * as membership from '../membership/membership.js';
import * as journals from '../observability/journal.js';
import * as observability from '@flamingoward/observability';
import * as operators from '../operators/server.js';
import * as views from '../operators/views.js';
import * as ownership from '../ownership/ownership.js';
import * as relays from '../relay/relay.js';
import * as releases from '../releases/releases.js';
import * as requestPath from '../requests/requestPath.js';
import type * as types from '../types.js';
import * as workers from '../workers/workers.js';
import * as shardPlan from './shardPlan.js';
import * as resourceGauges from './resourceGauges.js';
import * as workerClients from './workerClients.js';

/** Connections that a backend server accepts from all processes together. */
const MAX_BACKEND_CONNECTIONS = 64;

/** Shortest time for which the platform's log keeps records. */
const LOG_RETENTION_MS = 3_600_000;

/** Most task starts that one tick of a workers shard may decide. */
const MAX_STARTS_PER_TICK = 64;

/** Time in a planned stop during which the load balancer may still send requests; they are accepted until then. */
const BALANCER_DELAY_MS = 500;

/** Settings and dependencies of a process. */
export interface ProcessOptions {
  readonly settings: core.settings.Settings;
  readonly timers: core.TimerService;
  readonly log: types.Logger;
  /** Random number from 0 to 1. */
  readonly getRandom: () => number;
  /** Called when an operator requests a planned stop. */
  readonly onDrain: () => void;
}

/** One process of the daemon. */
export interface Process {
  /** Opens all addresses; rejects with `port-in-use`. */
  open(): Promise<void>;
  /** Planned stop: releases the shards, answers the requests in flight, then closes everything. */
  stop(): Promise<void>;
}

/** Creates a process; it opens no address before `open`. */
export function createProcess(options: ProcessOptions): Process {
  const { settings, timers } = options;
  const context: types.PartContext = {
    identity: createIdentity(settings),
    timers,
    log: options.log,
    metrics: observability.createMetrics(),
  };
  let state: core.messages.Heartbeat['state'] = 'starting';

  const linksPart = links.createLinks({
    context,
    listen: settings.links.listen,
    key: settings.links.key,
    maxFrameBytes: settings.limits.maxFrameBytes,
    maxHandshakes: intake.computeMaxHandshakes(settings.machine),
    getRandom: options.getRandom,
  });
  const vmListClient = clients.createVmListClient({
    address: core.getUrlAddress(settings.platform.vmList),
    timers,
  });
  const membershipPart = membership.createMembership({
    context,
    links: linksPart,
    readVmList: () => vmListClient.readList(),
    peers: settings.peers.map((peer) => peer.address),
    getOwnState,
    getState: () => state,
    getRandom: options.getRandom,
  });
  const logClient = clients.createLogClient({
    address: core.getUrlAddress(settings.platform.log),
    timers,
  });
  const relay = relays.createRelay({
    context,
    links: linksPart,
    membership: membershipPart,
    log: logClient,
  });
  const streams = clients.createStreams({
    log: logClient,
    timers,
    bufferRecords: settings.limits.appendBufferRecords,
    chooseSource: (stream) => relay.chooseSource(stream),
    readWaitMs: (stream) =>
      stream === ownership.CLAIMS_STREAM
        ? ownership.CLAIMS_WAIT_MS
        : LOG_READ_WAIT_MS,
    random: options.getRandom,
  });
  relay.serve(streams);
  const releasesPart = releases.createReleases({
    context,
    streams,
    membership: membershipPart,
    links: linksPart,
    peers: settings.peers,
  });
  const ownershipPart = ownership.createOwnership({
    context,
    membership: membershipPart,
    streams,
    listShards: () =>
      shardPlan.listShards(membershipPart.listVms(), releasesPart.getState()),
    mayOwn: () => state === 'ready',
  });
  const jobStore = stores.createJobStore(context, streams);
  const workerClient = workerClients.createWorkerClients(timers);
  const workersPart = workers.createWorkers({
    context,
    streams,
    membership: membershipPart,
    ownership: ownershipPart,
    releases: releasesPart,
    jobs: jobStore,
    client: workerClient,
    createScheduler: core.createScheduler,
    options: {
      workerKind: 'plain',
      retentionMs: LOG_RETENTION_MS,
      maxStartsPerTick: MAX_STARTS_PER_TICK,
      random: options.getRandom,
    },
  });
  const jobsPart = jobs.createJobs({
    context,
    streams,
    links: linksPart,
    membership: membershipPart,
    ownership: ownershipPart,
    releases: releasesPart,
    store: jobStore,
    check: jobCheck.createJobCheck(
      membershipPart,
      releasesPart,
      (spec, region) =>
        workersPart.getShard(stores.formatWorkersShard(region))?.check(spec),
    ),
    getLocalShard: (shard) => workersPart.getShard(shard),
    describeReason: (reason) => core.describeReason(reason).join(' '),
  });
  const journal = journals.createRequestJournal(timers);
  const backendClient = clients.createBackendClient({
    timers,
    connections: Math.floor(
      MAX_BACKEND_CONNECTIONS / settings.process.maxProcesses,
    ),
  });
  const path = requestPath.createRequestPath({
    context,
    streams,
    links: linksPart,
    membership: membershipPart,
    ownership: ownershipPart,
    releases: releasesPart,
    backends: backendClient,
    journal,
    maxProcesses: settings.process.maxProcesses,
  });
  const callersServer = callers.createCallersServer({
    context,
    path,
    jobs: jobsPart,
    releases: releasesPart,
    listen: settings.callers.listen,
    maxBodyBytes: settings.limits.maxBodyBytes,
    machine: settings.machine,
  });
  const gauges = resourceGauges.createResourceGauges(context, linksPart);
  let operatorsServer: operators.OperatorsServer | undefined;
  let readyTimer: core.TimerSubscription | undefined;

  function getOwnState(): membership.OwnState {
    return {
      state,
      releaseOffset: releasesPart.getState().offset,
      claimsOffset: -1,
      shards: ownershipPart.listOwned(),
      logAway: streams.getUnreachableSinceMs() !== undefined,
      teamUse: workersPart.getTeamUse(),
    };
  }

  function getHeartbeat(): core.messages.Heartbeat {
    return {
      kind: 'heartbeat',
      instance: context.identity.instance,
      ...getOwnState(),
      leaving: [],
    };
  }

  function updateReadiness(): void {
    if (state !== 'starting' || !releasesPart.isReady()) return;
    state = 'ready';
    context.log.write('info', 'process.ready', {
      instance: context.identity.instance,
      release: releasesPart.getState().current,
    });
    membershipPart.announce();
  }

  async function open(): Promise<void> {
    await linksPart.open();
    operatorsServer = await operators.startOperatorsServer({
      context,
      listen: settings.operators.listen,
      key: settings.operators.key,
      maxBodyBytes: settings.limits.maxBodyBytes,
      machine: settings.machine,
      releases: releasesPart,
      jobs: jobsPart,
      membership: membershipPart,
      streams,
      requests: journal,
      getHeartbeat,
      listWorkers: () => views.listWorkerDetails(workersPart.listWorkers()),
      listBackends: () => views.listBackendDetails(path.listServers()),
      dumps,
      drain: options.onDrain,
    });
    await callersServer.start();
    await membershipPart.open();
    ownershipPart.open();
    gauges.open();
    readyTimer = timers.subscribe(
      {
        name: 'process.ready',
        delayMs: READY_CHECK_INTERVAL_MS,
        repeat: 'periodic',
      },
      updateReadiness,
    );
    context.log.write('info', 'process.started', {
      instance: context.identity.instance,
      callers: settings.callers.listen,
      operators: settings.operators.listen,
      links: settings.links.listen,
    });
  }

  const dumps: Readonly<Record<string, types.Dumpable>> = {
    process: { dump: () => ({ identity: context.identity, state }) },
    links: linksPart,
    membership: membershipPart,
    relay,
    releases: releasesPart,
    ownership: ownershipPart,
    workers: workersPart,
    requests: path,
    callers: callersServer,
  };

  async function stop(): Promise<void> {
    const startMs = timers.getNow();
    state = 'draining';
    callersServer.markUnready();
    membershipPart.announce();
    context.log.write('info', 'process.draining', {});
    await core.waitFor(timers, 'process.balancer', BALANCER_DELAY_MS);
    callersServer.drain();
    await ownershipPart.releaseAll();
    const remainingMs =
      settings.process.stopMs - (timers.getNow() - startMs) - CLOSE_RESERVE_MS;
    await callersServer.close(Math.max(0, remainingMs));
    await close();
    context.log.write('info', 'process.stopped', {
      tookMs: Math.round(timers.getNow() - startMs),
    });
  }

  async function close(): Promise<void> {
    readyTimer?.end();
    gauges.close();
    path.close();
    workersPart.close();
    ownershipPart.close();
    releasesPart.close();
    membershipPart.close();
    await operatorsServer?.close();
    await Promise.all([
      streams.close(),
      workerClient.close(),
      backendClient.close(),
      vmListClient.close(),
      linksPart.close(),
    ]);
  }

  return { open, stop };
}

const READY_CHECK_INTERVAL_MS = 50;

/** Longest wait of one long-poll read of a log stream other than the claims. */
const LOG_READ_WAIT_MS = 2_000;

/** Part of the stop's time limit that is reserved for closing the connections. */
const CLOSE_RESERVE_MS = 500;

function createIdentity(
  settings: core.settings.Settings,
): types.ProcessIdentity {
  const { name, region, availabilityZone } = settings.process;
  const suffix = crypto.randomBytes(4).toString('hex');
  return {
    name,
    instance: `${name}.${suffix}`,
    region,
    availabilityZone,
    linksAddress: settings.links.listen,
  };
}
