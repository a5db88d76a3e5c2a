/**
 * Simulation of a cluster for tests of changes of owner: nodes with their claims, owners
 * and sessions share a log store and call VMs that end their runs when their leases
 * expire. The timers of a frozen node fire late, as those of a suspended process do.
 */
import * as core from '@flamingoward/core';
import type * as configurations from '../src/configuration.js';
import * as claims from '../src/claims.js';
import * as fleets from '../src/fleet.js';
import * as jobStores from '../src/jobStore.js';
import * as owners from '../src/owner.js';
import type * as ports from '../src/ports.js';
import * as records from '../src/records.js';
import * as requestHandlers from '../src/requestHandler.js';
import * as waitingCounts from '../src/waitingCounts.js';
import * as fakes from './fakes.js';

/** Longest lease that the VMs accept unless a test sets another, in ms. */
export const LONGEST_LEASE_MS = 6_000;
/** Rate of the VMs' clocks unless a test sets others; the protocol allows for clocks that are 2% slow. */
export const VM_CLOCK_RATE = 0.98;
const START_MS = 10_000;
const STEP_MS = 10;
const NETWORK_DELAY_MS = 2;
const READ_FAILURE_MS = 300;
const HEARTBEAT_INTERVAL_MS = 500;
const HEARTBEAT_TIMEOUT_MS = 1_100;
/** Time after which a silent VM is removed from the list, in ms. */
const UNLISTED_AFTER_MS = 4_500;
/** Time within which VMs whose entries have expired write them again, in ms. */
const RELISTED_WITHIN_MS = 2_000;
/** Time until a peer notices that a process has ended, or that a node follows it, in ms. */
const LINK_DELAY_MS = 60;
/** Time between attempts to open a broken link again, in ms. */
const REDIAL_INTERVAL_MS = 150;
const RESTART_DELAY_MS = 1_000;
/** Longest time by which a call or append without an answer is carried out late, in ms. */
const LONGEST_DELAY_MS = 3_000;
/** Timeout of a question from one node to another, in ms. */
const QUESTION_TIMEOUT_MS = 600;
const QUEUE_PATH = '/q/';
/** Longest time that a task runs which doesn't last, in ms. */
const LONGEST_TASK_MS = 3_000;
/** Time after which a smaller capacity of a VM counts, in ms: the platform's time to settle and one heartbeat. */
const SMALLER_AFTER_MS = 4_000 + HEARTBEAT_INTERVAL_MS;
const NODE_NAMES = ['n0', 'n1', 'n2', 'n3'];

/** How the store fails for all nodes: appends and reads get no answer, or are refused at once. */
export type StoreFailure = 'silent' | 'refusing';

interface SimVm {
  entry: core.workloads.VmEntry;
  /** Capacities in cores, each with the time from which the VM had it. */
  readonly coresSince: { readonly sinceMs: number; readonly cores: number }[];
  /** Rate of its clock. */
  clockRate: number;
  /** Holds are answered, but starts and stops are neither carried out nor answered. */
  ignoresOrders: boolean;
  /** `cut`: it can't be reached, and its runs continue; `gone`: it can't be reached, and its runs have ended. */
  state: 'up' | 'cut' | 'gone';
  /** Whether connections to a VM that is cut off or gone are refused, time out, or either at random. */
  refuses: 'never' | 'always' | 'sometimes';
  /** Node that alone reaches it; undefined when all do. */
  onlyNode: string | undefined;
  /** Node that alone doesn't reach it; undefined when all do. */
  exceptNode: string | undefined;
  silentSinceMs: number;
  /** Ends the waiting of the calls in flight without an answer, as reset connections do. */
  readonly resets: Set<() => void>;
  listed: boolean;
  startedMs: number;
  fence: number;
  leaseEndMs: number;
  readonly running: Map<string, core.workloads.ReportedRun>;
  /** Times at which the stops of running tasks end, by task; the VM lists these nowhere until then. */
  readonly stopEndsMs: Map<string, number>;
  ended: core.workloads.ReportedEnd[];
  nextEnd: number;
  /** Highest run of each task that has been stopped or has ended. */
  readonly overRuns: Map<string, number>;
}

interface SimNode {
  readonly name: string;
  readonly context: fakes.FakeContext;
  claims: claims.Claims;
  owner: owners.Owner | undefined;
  state: 'up' | 'frozen' | 'dead';
  storeCut: boolean;
  /** Whether its links to the other nodes are cut. */
  linksCut: boolean;
  heartbeatAtMs: number;
  heartbeatFence: number | undefined;
  handleRequest: requestHandlers.RequestHandler;
  /** Time that its steady clock hasn't counted, in ms. */
  suspendedMs: number;
  /** Time until which a round keeps its process busy. */
  busyUntilMs: number;
  /** What a frozen process does when it continues. */
  readonly wakeUps: (() => void)[];
  close: () => void;
}

/** What happened to a job, by time in ms. */
export interface JobHistory {
  readonly acceptedMs: number;
  /** Time at which a VM first began its task. */
  begunMs: number;
  /** Time at which its task ended `done` on a VM. */
  doneMs: number;
  /** Time at which its cancellation was stored. */
  cancelledMs: number;
  /** Time at which its end was stored. */
  finalMs: number;
  final: core.workloads.FinalState | undefined;
}

/** The end of a task as done. */
interface DoneEnd {
  readonly vm: core.ids.VmId;
  readonly number: number;
  readonly atMs: number;
  state: 'listed' | 'acknowledged' | 'lapsed' | 'forgotten';
  /** Time of the first start after it. */
  startedAgainMs: number | undefined;
}

/** An answer to a caller. */
export interface GivenAnswer {
  readonly node: string;
  readonly askedMs: number;
  readonly answeredMs: number;
  readonly answer: ports.CallerAnswer;
}

const step: core.workloads.StepSpec = {
  count: 1,
  size: { cores: 1, memoryMb: 1, gpus: 0 },
  estimateMs: 500,
  after: [],
  savesProgress: false,
  gang: false,
  oneRack: false,
  label: undefined,
  dataRack: undefined,
  maxPerVm: undefined,
  allowsCopies: false,
  lasts: true,
  image: undefined,
  targetMs: undefined,
  fills: false,
  mayMiss: undefined,
};

/** Decodes a submission, which tells whether the job's task lasts. */
function decodeSubmission(
  body: Uint8Array,
): ports.Decoded<Pick<core.workloads.Job, 'payload' | 'steps' | 'schedule'>> {
  const lasts = new TextDecoder().decode(body) === 'lasts';
  return {
    readable: true,
    value: { payload: '', steps: [{ ...step, lasts }], schedule: undefined },
  };
}

/** Creates a configuration with one queue. */
function createQueueView(): configurations.ConfigurationView {
  const route = {
    host: 'host',
    pathPrefix: QUEUE_PATH,
    policy: fakes.queuePolicy,
  };
  return {
    getCurrent: () => ({ version: 1, routes: [route], maxBodyBytes: 1_000 }),
    isStale: () => false,
    getReadAge: () => 0,
    findRoute: (_, path) => ({ route, rest: path.slice(QUEUE_PATH.length) }),
    getPolicies: () => ({ version: 1, policies: new Map() }),
    open: () => undefined,
    close: () => undefined,
  };
}

/** A cluster of nodes and VMs that runs service jobs of one task each. */
export class ClusterSimulation {
  readonly violations: string[] = [];
  /** Time that a round of an owner takes, in ms. */
  roundMs = 0;
  /** Time that an append to the stream of claims takes besides, in ms. */
  claimsDelayMs = 0;
  /** Leases that expired on VMs that all nodes reach, with runs. */
  readonly lapses: string[] = [];
  /** Longest time for which no run of a task was anywhere, by job, in ms. */
  readonly longestGaps = new Map<core.ids.JobId, number>();
  readonly vms = new Map<core.ids.VmId, SimVm>();
  readonly nodes: SimNode[] = [];
  /** What happened to each job according to the store and the VMs. */
  readonly histories = new Map<core.ids.JobId, JobHistory>();
  /** Jobs whose cancellation was stored before their acceptance. */
  private readonly cancelledEarly = new Set<core.ids.JobId>();
  private readonly world = core.createVirtualTimers(START_MS);
  private readonly store = fakes.createFakeStore(this.world);
  private readonly vmStream = fakes.createFakeStream(this.world);
  private readonly closedNodes: SimNode[] = [];
  private readonly getRandom: () => number;
  private readonly leaseMs: number;
  private readonly stopMs: number;
  private readonly coresPerVm: number;
  private readonly getClockRate: () => number;
  private readonly lastRanMs = new Map<core.ids.JobId, number>();
  private readonly begunMs = new Map<core.ids.JobId, number>();
  private readonly doneMs = new Map<core.ids.JobId, number>();
  /** Times at which runs end by themselves, by task and run. */
  private readonly runEndsMs = new Map<string, number>();
  private jobRecordsRead = 0;
  /** Time until which questions between nodes and their answers are held up at random. */
  private slowLinksUntilMs = 0;
  private storeFailure: StoreFailure | undefined;
  /** Stream whose appends get no answer, while everything else works. */
  private silentStream: ports.StreamName | undefined;
  /** Time until which answers of VMs are lost, and calls carried out late, at random. */
  private lossyUntilMs = 0;
  /** Jobs whose tasks end by themselves. */
  private readonly shortJobs = new Set<core.ids.JobId>();
  /** Ends as done, by task: an acknowledged one forbids every later start, unless the lease of its VM lapsed before. */
  private readonly doneEnds = new Map<string, DoneEnd[]>();
  private restarts = 0;
  private incarnations = 1;

  constructor(given: {
    readonly jobs: number;
    readonly vms: number;
    readonly getRandom?: () => number;
    readonly leaseMs?: number;
    /** Tasks for which a VM has room. */
    readonly coresPerVm?: number;
    readonly getClockRate?: () => number;
    /** Time that a VM takes to stop a run, in ms; none when absent. */
    readonly stopMs?: number;
  }) {
    this.getRandom = given.getRandom ?? (() => 0.5);
    this.leaseMs = given.leaseMs ?? LONGEST_LEASE_MS;
    this.coresPerVm = given.coresPerVm ?? 8;
    this.stopMs = given.stopMs ?? 0;
    this.getClockRate = given.getClockRate ?? (() => VM_CLOCK_RATE);
    for (let index = 0; index < given.jobs; index += 1) {
      const { key, value } = records.buildAccepted({
        id: `job${index}`,
        queue: 'queue',
        payload: '',
        steps: [step],
        schedule: undefined,
        configVersion: 1,
        acceptedAtMs: 0,
        policy: fakes.queuePolicy,
      });
      this.store.streams.jobs.add(key, value);
    }
    for (let index = 0; index < given.vms; index += 1) this.addVm(`vm${index}`);
    for (const name of NODE_NAMES) this.addNode(name);
    this.world.subscribe(
      { name: 'sim.beat', delayMs: HEARTBEAT_INTERVAL_MS, repeat: 'periodic' },
      () => {
        this.sendHeartbeats();
      },
    );
  }

  getNow(): number {
    return this.world.getNow();
  }

  private addVm(id: core.ids.VmId): void {
    const entry: core.workloads.VmEntry = {
      id,
      address: `${id}:1`,
      incarnation: 1,
      pool: 'pool',
      availabilityZone: 'zone',
      rack: undefined,
      labels: [],
      capacity: { cores: this.coresPerVm, memoryMb: 8_000, gpus: 0 },
      draining: false,
    };
    this.vms.set(id, {
      entry,
      coresSince: [{ sinceMs: -Infinity, cores: this.coresPerVm }],
      clockRate: this.getClockRate(),
      ignoresOrders: false,
      state: 'up',
      refuses: 'never',
      onlyNode: undefined,
      exceptNode: undefined,
      silentSinceMs: 0,
      resets: new Set(),
      listed: true,
      startedMs: this.getNow(),
      fence: 0,
      leaseEndMs: 0,
      running: new Map(),
      stopEndsMs: new Map(),
      ended: [],
      nextEnd: 1,
      overRuns: new Map(),
    });
    this.vmStream.add(id, JSON.stringify(entry));
  }

  private addNode(name: string): void {
    const base = fakes.createFakeContext(
      { timers: this.world, store: this.store },
      name,
    );
    const node = {
      name,
      owner: undefined,
      state: 'up',
      storeCut: false,
      linksCut: false,
      heartbeatAtMs: this.getNow(),
      heartbeatFence: undefined,
      suspendedMs: 0,
      busyUntilMs: -Infinity,
      wakeUps: [],
    } as unknown as SimNode;
    const context: fakes.FakeContext = {
      ...base,
      timers: this.createNodeTimers(node),
      instance: `${name}-${this.restarts}`,
      getRandom: this.getRandom,
      log: {
        write: (_, event, fields) => {
          const atMs = this.getNow();
          base.lines.push({ event, fields: { atMs, node: name, ...fields } });
        },
      },
      settings: { ...base.settings, leaseMs: this.leaseMs },
    };
    const nodeContext = {
      ...context,
      ports: {
        ...context.ports,
        store: this.wrapStore(node),
        vmCalls: this.createVmCalls(node),
        vms: {
          ...this.wrapStream(node, this.vmStream),
          decode: (record: ports.KeyedRecord) => ({
            readable: true as const,
            value: JSON.parse(record.value ?? '') as core.workloads.VmEntry,
          }),
        },
      },
    };
    const jobs = jobStores.createJobStore(nodeContext);
    const counts = waitingCounts.createWaitingCounts(nodeContext.timers, () =>
      this.askOwner(node, (owner) => Promise.resolve(owner.countWaiting())),
    );
    const fleet = fleets.createFleet(nodeContext);
    const ownership = claims.createClaims(nodeContext, {
      onOwned: (fence, previous) => {
        node.owner?.close();
        node.owner = owners.createOwner(nodeContext, {
          fence,
          previous,
          storeLostMs: ownership.getStoreLostMs(),
          unconfirmedLimitMs: claims.UNCONFIRMED_LIMIT_MS,
          jobs,
          fleet,
          adviceRouter: {
            ask: () => Promise.resolve(undefined),
            listHelpers: () => {
              this.keepBusy(node, this.roundMs);
              return [];
            },
          },
          getPolicies: () => ({
            version: 1,
            policies: new Map([['queue', fakes.queuePolicy]]),
          }),
          getConfirmedAge: () => ownership.getConfirmedAge(),
          getLongestConfirmedAge: () => ownership.getLongestConfirmedAge(),
          onAppendFailed: () => undefined,
          onFenced: () => {
            ownership.resign('fenced');
          },
          onFailed: () => {
            this.violations.push(`${this.getNow()}: a round failed`);
          },
        });
      },
      onLost: () => {
        node.owner?.close();
        node.owner = undefined;
      },
      onOwner: (next) => {
        this.after(LINK_DELAY_MS, () => {
          this.linkFollower(node, next.instance);
        });
      },
      buildLeaseRecord: () => node.owner?.buildLeaseRecord(),
      buildFinalLeaseRecord: () => node.owner?.buildFinalLeaseRecord(),
      hasUnrecorded: () => node.owner?.hasUnrecorded() ?? false,
      onRenewed: (record) => {
        node.owner?.confirmLeaseRecord(record);
        this.sendHeartbeats();
      },
      onUnconfirmed: (fence) => {
        this.releaseToPeers(node, fence);
      },
    });
    Object.assign(node, {
      context,
      claims: ownership,
      handleRequest: requestHandlers.createRequestHandler(
        {
          ...nodeContext,
          ports: { ...nodeContext.ports, decodeSubmission },
        },
        createQueueView(),
        jobs,
        {
          fetchState: (id) =>
            this.askOwner(node, (owner) => owner.getJobState(id)),
          fetchWaiting: (queue, untilMs) => counts.fetch(queue, untilMs),
          writeThroughOwner: () => Promise.resolve(undefined),
          checkAdmission: () => undefined,
        },
      ),
      close: () => {
        ownership.close();
        node.owner?.close();
        node.owner = undefined;
        fleet.close();
        jobs.close();
      },
    });
    this.nodes.push(node);
    ownership.open();
  }

  private createNodeTimers(node: SimNode): core.TimerService {
    const getNow = () =>
      Math.max(this.world.getNow() - node.suspendedMs, node.busyUntilMs);
    return {
      getNow,
      getDate: () => this.world.getDate(),
      subscribe: (request, onDue) => {
        let ended = false;
        let delayed = false;
        const dueMs = getNow() + request.delayMs;
        const fire = () => {
          delayed = false;
          if (ended || node.state === 'dead') return;
          const earlyMs = dueMs - getNow();
          if (request.repeat === 'once' && earlyMs > 0)
            this.after(earlyMs, fire);
          else onDue(getNow());
        };
        const subscription = this.world.subscribe(request, () => {
          if (node.state !== 'frozen') fire();
          else if (!delayed) {
            delayed = true;
            node.wakeUps.push(fire);
          }
        });
        return {
          end: () => {
            ended = true;
            subscription.end();
          },
        };
      },
    };
  }

  private after(delayMs: number, action: () => void): void {
    this.world.subscribe({ name: 'sim', delayMs, repeat: 'once' }, action);
  }

  private findNode(instance: core.ids.InstanceId): SimNode | undefined {
    return this.nodes.find(({ context }) => context.instance === instance);
  }

  /** Opens the link of a node that follows the owner. */
  private linkFollower(
    node: SimNode,
    ownerInstance: core.ids.InstanceId,
  ): void {
    const owner = this.findNode(ownerInstance);
    if (node.state !== 'up' || node.owner !== undefined) return;
    if (owner?.state !== 'up' || node.linksCut || owner.linksCut) return;
    owner.owner?.handleProcess(node.name, node.context.instance);
    owner.owner?.handleFollower(node.context.instance);
  }

  private listUp(): readonly SimNode[] {
    return this.nodes.filter(({ state }) => state === 'up');
  }

  private releaseToPeers(node: SimNode, fence: number): void {
    const peers = this.listUp().filter((peer) => peer !== node);
    if (this.reachesStore(node) || node.linksCut) return;
    if (!peers.some((peer) => this.reachesStore(peer))) return;
    const unrecorded = node.owner?.hasUnrecorded() ?? false;
    node.claims.resign('the store answers a peer but not this node');
    this.after(LINK_DELAY_MS, () => {
      for (const peer of this.listUp())
        if (peer !== node) peer.claims.handleRelease(fence, unrecorded);
    });
  }

  private sendHeartbeats(): void {
    for (const node of this.listUp()) {
      const current = node.claims.getOwner();
      if (current === undefined || node.owner !== undefined) continue;
      const ownerNode = this.findNode(current.instance);
      if (
        ownerNode?.state === 'up' &&
        ownerNode.owner !== undefined &&
        !ownerNode.linksCut
      ) {
        const { fence } = ownerNode.owner;
        node.heartbeatAtMs = this.getNow();
        node.heartbeatFence = fence;
        node.claims.handleHeartbeat(
          fence,
          ownerNode.claims.getConfirmedAge(),
          ownerNode.claims.getConfirmedOffset(),
        );
        node.claims.setSuccessors(
          this.nodes
            .filter((peer) => peer !== ownerNode && peer.state !== 'dead')
            .map(({ context }) => context.instance),
        );
      } else if (
        node.heartbeatFence === current.fence &&
        this.getNow() - node.heartbeatAtMs > HEARTBEAT_TIMEOUT_MS
      )
        node.claims.suspect(current.instance, 'silent');
    }
  }

  /** Asks the owner that a node follows; undefined without an answer. */
  private async askOwner<Result>(
    node: SimNode,
    ask: (owner: owners.Owner) => Promise<Result>,
  ): Promise<Result | undefined> {
    if (node.owner !== undefined) return ask(node.owner);
    const instance = node.claims.getOwner()?.instance;
    if (instance === undefined) return undefined;
    const delayLink = () =>
      core.waitFor(
        this.world,
        'sim.link',
        this.getNow() < this.slowLinksUntilMs
          ? this.getRandom() * QUESTION_TIMEOUT_MS
          : NETWORK_DELAY_MS,
      );
    const answer = async (): Promise<Result | undefined> => {
      await delayLink();
      const peer = this.findNode(instance);
      if (peer === undefined) return undefined;
      await this.pass(peer, Promise.resolve());
      const { owner } = peer;
      if (owner === undefined) return undefined;
      const result = await this.pass(peer, ask(owner));
      await delayLink();
      return result;
    };
    const timeout = core
      .waitFor(this.world, 'sim.timeout', QUESTION_TIMEOUT_MS)
      .then(() => undefined);
    return this.pass(node, Promise.race([answer(), timeout]));
  }

  /** Sends a request to a node; the answer is undefined when the node ends before. */
  request(
    node: SimNode,
    method: string,
    rest: string,
    onAnswer: (given: GivenAnswer) => void,
    body = '',
  ): void {
    const askedMs = this.getNow();
    const answer = node.handleRequest({
      method,
      host: 'host',
      path: `${QUEUE_PATH}${rest}`,
      body: new TextEncoder().encode(body),
      deadlineMs: undefined,
    });
    void this.pass(node, answer).then((result) => {
      onAnswer({
        node: node.name,
        askedMs,
        answeredMs: this.getNow(),
        answer: result,
      });
    });
  }

  /** Holds up questions between nodes and their answers at random for a time. */
  slowLinks(forMs: number): void {
    this.slowLinksUntilMs = this.getNow() + forMs;
  }

  /** Notes what the store has learned of jobs. */
  private noteJobs(): void {
    const nowMs = this.getNow();
    const { records: stored } = this.store.streams.jobs;
    for (const record of stored.slice(this.jobRecordsRead)) {
      const change = records.parseJobChange(record);
      if (change === undefined) continue;
      if (change.change === 'accepted') {
        if (change.job.steps.every(({ lasts }) => !lasts))
          this.shortJobs.add(change.job.id);
        if (!this.histories.has(change.job.id))
          this.histories.set(change.job.id, {
            acceptedMs: nowMs,
            begunMs: Infinity,
            doneMs: Infinity,
            // A cancellation that was stored before holds from the acceptance on.
            cancelledMs: this.cancelledEarly.has(change.job.id)
              ? nowMs
              : Infinity,
            finalMs: Infinity,
            final: undefined,
          });
      } else if (change.change === 'final') {
        const history = this.histories.get(change.id);
        if (history === undefined || history.final !== undefined) continue;
        history.finalMs = nowMs;
        history.final = change.state;
      } else if (change.change === 'cancelled') {
        const history = this.histories.get(change.id);
        if (history === undefined) this.cancelledEarly.add(change.id);
        else history.cancelledMs = Math.min(history.cancelledMs, nowMs);
      }
    }
    this.jobRecordsRead = stored.length;
    for (const [id, atMs] of this.begunMs) {
      const history = this.histories.get(id);
      if (history === undefined) continue;
      history.begunMs = atMs;
      history.doneMs = this.doneMs.get(id) ?? Infinity;
    }
  }

  /** Returns the newest owner, which may be frozen. */
  getOwner(): SimNode | undefined {
    return this.nodes
      .filter(({ owner, state }) => owner !== undefined && state !== 'dead')
      .sort((a, b) => (b.owner?.fence ?? 0) - (a.owner?.fence ?? 0))[0];
  }

  /** Keeps results from a node while it is frozen, and for good once it is dead. */
  private async pass<Result>(
    node: SimNode,
    result: Promise<Result>,
  ): Promise<Result> {
    const value = await result;
    while (node.state === 'frozen')
      await new Promise<void>((resolve) => node.wakeUps.push(resolve));
    return node.state === 'dead' ? new Promise(() => undefined) : value;
  }

  private async failRead(
    timeoutMs: number,
  ): Promise<{ outcome: 'failed'; why: string }> {
    const delaysMs = {
      silent: timeoutMs,
      refusing: NETWORK_DELAY_MS,
      cut: READ_FAILURE_MS,
    };
    const why = this.storeFailure ?? 'cut';
    await core.waitFor(this.world, 'sim.read', delaysMs[why]);
    return { outcome: 'failed', why };
  }

  private reachesStore(node: SimNode): boolean {
    return !node.storeCut && this.storeFailure === undefined;
  }

  private wrapStream(
    node: SimNode,
    source: ports.StreamSource,
  ): ports.StreamSource {
    return {
      read: (from, options) =>
        this.pass(
          node,
          this.reachesStore(node)
            ? source.read(from, options)
            : this.failRead(options.timeoutMs),
        ),
      readNewest: (timeoutMs) =>
        this.pass(
          node,
          this.reachesStore(node)
            ? source.readNewest(timeoutMs)
            : this.failRead(timeoutMs),
        ),
    };
  }

  private wrapStore(node: SimNode): ports.LogStore {
    const append = async (
      ...[stream, newRecords, options]: Parameters<ports.LogStore['append']>
    ): Promise<ports.AppendResult> => {
      if (this.reachesStore(node) && this.silentStream === stream) {
        await core.waitFor(this.world, 'sim.append', options.timeoutMs);
        return { outcome: 'unknown', why: 'no answer' };
      }
      if (stream === 'claims' && this.claimsDelayMs > 0)
        await core.waitFor(this.world, 'sim.append', this.claimsDelayMs);
      if (this.reachesStore(node))
        return this.store.append(stream, newRecords, options);
      if (this.storeFailure === 'refusing') {
        await core.waitFor(this.world, 'sim.append', NETWORK_DELAY_MS);
        return { outcome: 'refused', why: 'status 503' };
      }
      if (this.getRandom() < 0.5)
        this.after(this.getRandom() * LONGEST_DELAY_MS, () => {
          if (this.storeFailure === undefined)
            void this.store.append(stream, newRecords, options);
        });
      await core.waitFor(this.world, 'sim.append', options.timeoutMs);
      return { outcome: 'unknown', why: 'no answer' };
    };
    return {
      append: (...given) => this.pass(node, append(...given)),
      openStream: (stream) =>
        this.wrapStream(node, this.store.openStream(stream)),
    };
  }

  private getVmClock(vm: SimVm): number {
    return (this.getNow() - vm.startedMs) * vm.clockRate;
  }

  private isReachable(vm: SimVm, node: SimNode): boolean {
    return (
      vm.state === 'up' &&
      (vm.onlyNode === undefined || vm.onlyNode === node.name) &&
      vm.exceptNode !== node.name
    );
  }

  /** Carries a call out at a VM, and loses its answer at times; undefined without an answer. */
  private async call<Result>(
    node: SimNode,
    id: core.ids.VmId,
    timeoutMs: number,
    handle: (vm: SimVm) => Promise<Result>,
  ): Promise<Result | undefined> {
    const vm = this.vms.get(id)!;
    const { startedMs } = vm;
    const isLost = this.getNow() < this.lossyUntilMs && this.getRandom() < 0.3;
    const canAnswer = () =>
      this.isReachable(vm, node) && vm.startedMs === startedMs;
    const answer = async (): Promise<Result | undefined> => {
      await core.waitFor(
        this.world,
        'sim.net',
        isLost ? this.getRandom() * LONGEST_DELAY_MS : NETWORK_DELAY_MS,
      );
      const result = canAnswer() ? await handle(vm) : undefined;
      if (result !== undefined && canAnswer() && !isLost) return result;
      return new Promise(() => undefined);
    };
    let endCall: () => void = () => undefined;
    const reset = new Promise<undefined>((resolve) => {
      endCall = () => {
        resolve(undefined);
      };
    });
    vm.resets.add(endCall);
    const timeout = core
      .waitFor(this.world, 'sim.timeout', timeoutMs)
      .then(() => {
        vm.resets.delete(endCall);
        return undefined;
      });
    return this.pass(node, Promise.race([answer(), timeout, reset]));
  }

  private isRefused(id: core.ids.VmId): boolean {
    const { state, refuses } = this.vms.get(id)!;
    if (state === 'up') return false;
    switch (refuses) {
      case 'never':
        return false;
      case 'always':
        return true;
      case 'sometimes':
        return this.getRandom() < 0.5;
    }
  }

  private extendLease(vm: SimVm, untilMs: number | undefined): void {
    if (untilMs === undefined) return;
    vm.leaseEndMs = Math.max(
      vm.leaseEndMs,
      Math.min(untilMs, this.getVmClock(vm) + this.leaseMs),
    );
  }

  private createVmCalls(node: SimNode): ports.VmCalls {
    return {
      hold: async (target, call, timeoutMs) => {
        const handle = async (vm: SimVm): Promise<ports.HoldResult> => {
          if (call.fence < vm.fence) return { outcome: 'fenced' };
          vm.fence = call.fence;
          this.extendLease(vm, call.untilMs);
          vm.ended = vm.ended.filter(({ number }) => number > call.lastSeen);
          this.settleEnds(
            vm,
            ({ number }) => number <= call.lastSeen,
            'acknowledged',
          );
          if (call.waitMs > 0)
            await core.waitFor(this.world, 'sim.hold', call.waitMs);
          return {
            outcome: 'held',
            clockMs: this.getVmClock(vm),
            report: {
              incarnation: vm.entry.incarnation,
              running: [...vm.running]
                .filter(([name]) => !vm.stopEndsMs.has(name))
                .map(([, run]) => run),
              ended: [...vm.ended],
            },
          };
        };
        if (this.isRefused(target.id)) {
          const why = 'ECONNREFUSED';
          return this.pass(node, Promise.resolve({ outcome: 'refused', why }));
        }
        return (
          (await this.call(node, target.id, timeoutMs, handle)) ?? {
            outcome: 'failed',
            why: 'no answer',
          }
        );
      },
      start: async (target, call, timeoutMs) => {
        if (this.isRefused(target.id))
          return this.pass(node, Promise.resolve('unreachable'));
        let clockMs = 0;
        const outcome =
          (await this.call<core.workloads.StartOutcome>(
            node,
            target.id,
            timeoutMs,
            (vm) => {
              clockMs = this.getVmClock(vm);
              if (vm.ignoresOrders) return new Promise(() => undefined);
              if (call.fence < vm.fence) return Promise.resolve('fenced');
              vm.fence = call.fence;
              if (this.getVmClock(vm) >= call.untilMs)
                return Promise.resolve('late');
              this.extendLease(vm, call.untilMs);
              return Promise.resolve(this.startRun(vm, call.task, call.run));
            },
          )) ?? 'unknown';
        if (outcome !== 'unknown') call.onClock?.(clockMs);
        return outcome;
      },
      stop: async (target, call, timeoutMs) =>
        (await this.call<'closed' | 'fenced'>(
          node,
          target.id,
          timeoutMs,
          (vm) => {
            if (vm.ignoresOrders) return new Promise(() => undefined);
            if (call.fence < vm.fence) return Promise.resolve('fenced');
            vm.fence = call.fence;
            const name = core.workloads.formatTask(call.task);
            this.recordOver(vm, name, call.run);
            this.beginStop(vm, name);
            return Promise.resolve('closed');
          },
        )) ?? 'unknown',
      pace: () => Promise.resolve(true),
      drop: () => undefined,
    };
  }

  /** Ends the waiting for acknowledgement of some ends of a VM. */
  private settleEnds(
    vm: SimVm,
    isMeant: (end: DoneEnd) => boolean,
    state: DoneEnd['state'],
  ): void {
    for (const ends of this.doneEnds.values())
      for (const end of ends)
        if (
          end.vm === vm.entry.id &&
          end.state === 'listed' &&
          end.atMs >= vm.startedMs &&
          isMeant(end)
        )
          end.state = state;
  }

  /** Lists the tasks that were started again after an end as done that was acknowledged. */
  listStartedAgain(): readonly string[] {
    return [...this.doneEnds].flatMap(([name, ends]) =>
      ends
        .filter(
          ({ state, startedAgainMs }) =>
            state === 'acknowledged' && startedAgainMs !== undefined,
        )
        .map(
          ({ vm, atMs, startedAgainMs }) =>
            `${name} done on ${vm} at ${atMs}, started again at ${startedAgainMs}`,
        ),
    );
  }

  private beginStop(vm: SimVm, name: string): void {
    if (this.stopMs === 0) this.endRun(vm, name, 'stopped');
    else if (vm.running.has(name) && !vm.stopEndsMs.has(name))
      vm.stopEndsMs.set(name, this.getNow() + this.stopMs);
  }

  private recordOver(vm: SimVm, name: string, run: number): void {
    vm.overRuns.set(name, Math.max(run, vm.overRuns.get(name) ?? 0));
  }

  private startRun(
    vm: SimVm,
    task: core.workloads.TaskKey,
    run: number,
  ): core.workloads.StartOutcome {
    const name = core.workloads.formatTask(task);
    if (run <= (vm.overRuns.get(name) ?? 0)) return 'old';
    for (const other of this.vms.values())
      if (other !== vm && other.running.has(name))
        this.violations.push(
          `${this.getNow()}: ${name} started on ${vm.entry.id} while it runs on ${other.entry.id}`,
        );
    for (const end of this.doneEnds.get(name) ?? [])
      end.startedAgainMs ??= this.getNow();
    vm.running.set(name, { task, run, saved: '', percent: 100, load: 0 });
    if (!this.begunMs.has(task.job)) this.begunMs.set(task.job, this.getNow());
    if (this.shortJobs.has(task.job))
      this.runEndsMs.set(
        `${name} ${run}`,
        this.getNow() + this.getRandom() * LONGEST_TASK_MS,
      );
    const usedCores = vm.running.size * step.size.cores;
    if (usedCores > this.getCoreLimit(vm))
      this.violations.push(
        `${this.getNow()}: ${name} brings ${vm.entry.id} to ${usedCores} cores`,
      );
    return 'started';
  }

  /** Returns the largest capacity that a VM had within the time after which a smaller one counts. */
  private getCoreLimit(vm: SimVm): number {
    const sinceMs = this.getNow() - SMALLER_AFTER_MS;
    const counting = vm.coresSince.filter((_, index) => {
      const next = vm.coresSince[index + 1];
      return next === undefined || next.sinceMs >= sinceMs;
    });
    return Math.max(...counting.map(({ cores }) => cores));
  }

  private endRun(vm: SimVm, name: string, how: core.workloads.RunEnd): void {
    const run = vm.running.get(name);
    if (run === undefined) return;
    vm.running.delete(name);
    vm.stopEndsMs.delete(name);
    this.recordOver(vm, name, run.run);
    vm.ended.push({
      number: vm.nextEnd,
      task: run.task,
      run: run.run,
      how,
      saved: '',
    });
    if (how === 'done') {
      const ends = this.doneEnds.get(name) ?? [];
      ends.push({
        vm: vm.entry.id,
        number: vm.nextEnd,
        atMs: this.getNow(),
        state: 'listed',
        startedAgainMs: undefined,
      });
      this.doneEnds.set(name, ends);
    }
    vm.nextEnd += 1;
  }

  private stepVms(): void {
    for (const vm of this.vms.values()) {
      if (this.getVmClock(vm) >= vm.leaseEndMs)
        this.settleEnds(vm, () => true, 'lapsed');
      if (this.getVmClock(vm) >= vm.leaseEndMs && vm.running.size > 0) {
        if (
          vm.state === 'up' &&
          vm.onlyNode === undefined &&
          vm.exceptNode === undefined
        )
          this.lapses.push(
            `${this.getNow()}: ${vm.entry.id} with ${vm.running.size} runs`,
          );
        for (const name of [...vm.running.keys()])
          this.endRun(vm, name, 'lapsed');
      }
      for (const [name, endsMs] of [...vm.stopEndsMs])
        if (this.getNow() >= endsMs) this.endRun(vm, name, 'stopped');
      for (const [name, { task, run }] of [...vm.running]) {
        const endsMs = this.runEndsMs.get(`${name} ${run}`) ?? Infinity;
        if (this.getNow() < endsMs) continue;
        this.endRun(vm, name, 'done');
        if (!this.doneMs.has(task.job))
          this.doneMs.set(task.job, this.getNow());
      }
      const silentMs = this.getNow() - vm.silentSinceMs;
      if (vm.state !== 'up' && vm.listed && silentMs >= UNLISTED_AFTER_MS) {
        vm.listed = false;
        this.vmStream.add(vm.entry.id, undefined);
      }
    }
  }

  private measureGaps(): void {
    for (const vm of this.vms.values())
      for (const { task } of vm.running.values())
        this.lastRanMs.set(task.job, this.getNow());
    for (const [job, atMs] of this.lastRanMs)
      this.longestGaps.set(
        job,
        Math.max(this.longestGaps.get(job) ?? 0, this.getNow() - atMs),
      );
  }

  /** Returns the longest time for which a task that has run before was missing, in ms. */
  getLongestGap(): number {
    return Math.max(0, ...this.longestGaps.values());
  }

  private list(vm: SimVm): void {
    vm.listed = true;
    this.vmStream.add(vm.entry.id, JSON.stringify(vm.entry));
  }

  /** Makes a VM unreachable. */
  silenceVm(
    id: core.ids.VmId,
    state: 'cut' | 'gone',
    refuses: SimVm['refuses'] = 'never',
  ): void {
    const vm = this.vms.get(id)!;
    if (vm.state !== 'up') return;
    vm.state = state;
    vm.refuses = refuses;
    vm.silentSinceMs = this.getNow();
    if (refuses === 'always') for (const endCall of vm.resets) endCall();
    if (state !== 'gone') return;
    vm.running.clear();
    vm.stopEndsMs.clear();
    this.settleEnds(vm, () => true, 'forgotten');
  }

  /** Resets the connections to a VM and refuses new ones for a time; its runs continue. */
  refuseConnections(id: core.ids.VmId, forMs: number): void {
    const vm = this.vms.get(id)!;
    if (vm.state !== 'up') return;
    this.silenceVm(id, 'cut', 'always');
    const sinceMs = vm.silentSinceMs;
    this.after(forMs, () => {
      if (vm.silentSinceMs === sinceMs) this.reconnectVm(id);
    });
  }

  /** Makes a VM unreachable for all nodes but the owner. */
  isolateWithOwner(id: core.ids.VmId): void {
    this.vms.get(id)!.onlyNode = this.getOwner()?.name;
  }

  /** Makes a VM unreachable for the owner alone. */
  isolateFromOwner(id: core.ids.VmId): void {
    this.vms.get(id)!.exceptNode = this.getOwner()?.name;
  }

  /** Reconnects a VM that was cut off. */
  reconnectVm(id: core.ids.VmId): void {
    const vm = this.vms.get(id)!;
    vm.onlyNode = undefined;
    vm.exceptNode = undefined;
    if (vm.state !== 'cut') return;
    vm.state = 'up';
    if (!vm.listed) this.list(vm);
  }

  /** Starts a VM again as a new incarnation, which has seen no fence. */
  restartVm(id: core.ids.VmId): void {
    const vm = this.vms.get(id)!;
    this.settleEnds(vm, () => true, 'forgotten');
    this.incarnations += 1;
    Object.assign(vm, {
      entry: {
        ...vm.entry,
        incarnation: this.incarnations,
        draining: false,
      },
      state: 'up',
      onlyNode: undefined,
      exceptNode: undefined,
      startedMs: this.getNow(),
      fence: 0,
      leaseEndMs: 0,
      ended: [],
      nextEnd: 1,
    });
    vm.running.clear();
    vm.stopEndsMs.clear();
    vm.overRuns.clear();
    this.list(vm);
  }

  /** Cuts a VM off from the store for a time, so that its entry lapses. All nodes reach it. */
  unlistVm(id: core.ids.VmId, forMs: number): void {
    const vm = this.vms.get(id)!;
    this.after(UNLISTED_AFTER_MS, () => {
      vm.listed = false;
      this.vmStream.add(id, undefined);
    });
    this.after(forMs, () => {
      if (vm.state === 'up') this.list(vm);
    });
  }

  /** Gives a VM another address; the process and its runs stay the same. */
  readdressVm(id: core.ids.VmId): void {
    const vm = this.vms.get(id)!;
    const [host, port] = vm.entry.address.split(':');
    vm.entry = { ...vm.entry, address: `${host}:${Number(port) + 1}` };
    this.list(vm);
  }

  /** Makes a VM answer holds but no starts and stops, or answer these again. */
  ignoreOrders(id: core.ids.VmId, ignores: boolean): void {
    this.vms.get(id)!.ignoresOrders = ignores;
  }

  /** Announces that a VM is about to leave. */
  drainVm(id: core.ids.VmId): void {
    const vm = this.vms.get(id)!;
    vm.entry = { ...vm.entry, draining: true };
    if (vm.listed) this.list(vm);
  }

  /** Changes the capacity of a VM; its runs go on. */
  resizeVm(id: core.ids.VmId, cores: number): void {
    const vm = this.vms.get(id)!;
    vm.coresSince.push({ sinceMs: this.getNow(), cores });
    vm.entry = { ...vm.entry, capacity: { ...vm.entry.capacity, cores } };
    if (vm.listed) this.list(vm);
  }

  /** Loses answers of VMs at random for a time, and carries their calls out late. */
  loseAnswers(forMs: number): void {
    this.lossyUntilMs = this.getNow() + forMs;
  }

  /** Stops the owner as planned; its node starts again. */
  releaseOwner(): void {
    const node = this.getOwner();
    if (node?.state !== 'up') return;
    void node.claims.release(node.owner?.hasUnrecorded() ?? false).then(() => {
      this.endProcess(node);
    });
  }

  /** Kills the owner's process; its node starts again. */
  killOwner(): void {
    const node = this.getOwner();
    if (node?.state === 'up') this.endProcess(node);
  }

  /** Removes the owner's machine for good; its peers get no answers from it. */
  removeOwner(): void {
    const node = this.getOwner();
    if (node === undefined) return;
    node.state = 'dead';
    this.closeNode(node);
  }

  private closeNode(node: SimNode): void {
    node.close();
    this.nodes.splice(this.nodes.indexOf(node), 1);
    this.closedNodes.push(node);
  }

  private endProcess(node: SimNode): void {
    if (node.state === 'dead') return;
    node.state = 'dead';
    this.closeNode(node);
    this.after(LINK_DELAY_MS, () => {
      for (const peer of this.listUp())
        peer.claims.suspect(node.context.instance, 'refused');
    });
    this.after(RESTART_DELAY_MS, () => {
      this.restarts += 1;
      this.addNode(node.name);
    });
  }

  /** Suspends the owner's process for a time. */
  freezeOwner(forMs: number): void {
    const node = this.getOwner();
    if (node?.state !== 'up') return;
    node.state = 'frozen';
    this.after(forMs, () => {
      if (node.state !== 'frozen') return;
      node.state = 'up';
      for (const wake of node.wakeUps.splice(0)) wake();
      node.claims.verify('the process was paused');
    });
  }

  /** Suspends the owner's process for a time while the next record of a start is appended; it reads the answer afterwards. */
  freezeOwnerAtRecord(forMs: number): void {
    this.store.intercept = (stream, newRecords) => {
      const namesRun = newRecords.some(
        ({ value }) => value?.includes('"runs"') === true,
      );
      if (stream !== 'progress' || !namesRun) return undefined;
      this.store.intercept = undefined;
      this.freezeOwner(forMs);
      return undefined;
    };
  }

  /** Keeps a process busy for a time, at the end of which its clock is at once. */
  private keepBusy(node: SimNode, forMs: number): void {
    if (forMs === 0 || node.state !== 'up') return;
    node.busyUntilMs = this.getNow() - node.suspendedMs + forMs;
    node.state = 'frozen';
    this.after(forMs, () => {
      if (node.state !== 'frozen') return;
      node.state = 'up';
      for (const wake of node.wakeUps.splice(0)) wake();
    });
  }

  /** Suspends the owner's machine for a time, which its steady clock doesn't count. */
  suspendOwner(forMs: number): void {
    const node = this.getOwner();
    if (node?.state !== 'up') return;
    this.freezeOwner(forMs);
    this.after(forMs - 1, () => {
      node.suspendedMs += forMs;
    });
  }

  /** Cuts the owner off from the store for a time; its appends may be carried out late. */
  cutStore(forMs: number): void {
    const node = this.getOwner();
    if (node === undefined) return;
    node.storeCut = true;
    this.after(forMs, () => {
      node.storeCut = false;
    });
  }

  /** Cuts the owner off from the store and from the other nodes for a time. It reaches the VMs. */
  cutOwner(forMs: number, evidence: claims.Suspicion): void {
    const node = this.getOwner();
    if (node === undefined) return;
    this.cutStore(forMs);
    node.linksCut = true;
    const redial = () => {
      if (!node.linksCut) return;
      for (const peer of this.listUp())
        if (peer !== node) peer.claims.suspect(node.context.instance, evidence);
      this.after(REDIAL_INTERVAL_MS, redial);
    };
    this.after(LINK_DELAY_MS, redial);
    this.after(forMs, () => {
      node.linksCut = false;
    });
  }

  /** Counts the starts of all nodes with an outcome. */
  countOutcomes(outcome: string): number {
    return [...this.closedNodes, ...this.nodes]
      .flatMap(({ context }) => context.lines)
      .filter(
        ({ event, fields }) =>
          event === 'task.start' && fields.outcome === outcome,
      ).length;
  }

  /** Makes the store fail for all nodes for a time. */
  failStore(forMs: number, failure: StoreFailure): void {
    this.storeFailure = failure;
    this.after(forMs, () => {
      this.storeFailure = undefined;
    });
  }

  /** Makes the appends to one stream fail for a time; reads and the other streams work. */
  silenceAppends(forMs: number, stream: ports.StreamName): void {
    this.silentStream = stream;
    this.after(forMs, () => {
      this.silentStream = undefined;
    });
  }

  /** Removes the entries of all VMs that are up; the VMs write them again. */
  expireEntries(): void {
    for (const vm of this.vms.values()) {
      if (!vm.listed) continue;
      vm.listed = false;
      this.vmStream.add(vm.entry.id, undefined);
      this.after(this.getRandom() * RELISTED_WITHIN_MS, () => {
        if (vm.state === 'up') this.list(vm);
      });
    }
  }

  async advance(byMs: number): Promise<void> {
    for (let passed = 0; passed < byMs; passed += STEP_MS) {
      this.world.advance(STEP_MS);
      for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
      this.stepVms();
      this.measureGaps();
      this.noteJobs();
    }
  }

  /** Finds a VM for which the owner has decided a start that waits for its record. */
  findDecidedVm(): core.ids.VmId | undefined {
    const tables = this.getOwner()?.owner?.dump().tables as
      { vms: { id: core.ids.VmId; runs: string[] }[] } | undefined;
    return tables?.vms.find(({ runs }) =>
      runs.some((run) => run.includes(' recording ')),
    )?.id;
  }

  /** Finds the VM that the newest record of a job names. */
  findRecordedVm(id: core.ids.JobId): core.ids.VmId | undefined {
    const { records: stored } = this.store.streams.progress;
    const value = stored.findLast(({ key }) => key === id)?.value ?? '';
    return [...this.vms.keys()].find((vm) => value.includes(`"${vm}"`));
  }

  /** Lists the jobs whose task doesn't run on a VM that the owner reaches. */
  listMissing(): readonly string[] {
    const owner = this.getOwner();
    const running = new Set(
      [...this.vms.values()]
        .filter((vm) => owner !== undefined && this.isReachable(vm, owner))
        .flatMap((vm) => [...vm.running.values()].map(({ task }) => task.job)),
    );
    return this.store.streams.jobs.records
      .map((_, index) => `job${index}`)
      .filter((id) => !running.has(id));
  }

  /** Returns the lines of all nodes for a failure message. */
  formatLines(): string {
    return [...this.closedNodes, ...this.nodes]
      .flatMap(({ context }) => context.lines)
      .filter(({ event }) =>
        /^(vm|owner|task|leases|sim|claims|request)/.test(event),
      )
      .sort((a, b) => Number(a.fields.atMs) - Number(b.fields.atMs))
      .map(({ event, fields }) => `${event} ${JSON.stringify(fields)}`)
      .join('\n');
  }

  close(): void {
    for (const node of this.nodes) node.close();
  }
}
