/**
 * Simulation for tests of the request path: several processes with the real path, one
 * fake log, fake links and backend servers, under virtual time.
 */
import * as core from '@flamingoward/core';
import * as journals from '../src/observability/journal.js';
import * as paths from '../src/requests/requestPath.js';
import type * as requests from '../src/requests/types.js';
import type * as types from '../src/types.js';
import * as contexts from './context.fakes.js';

export const shard = 'service/desk@muscat';
const service: core.releases.ServiceEntry = {
  kind: 'service',
  name: 'desk',
  urgency: 'urgent',
  idempotent: true,
  timeoutMs: 1_000,
  maxWaitMs: 600,
  maxResponseBytes: 1_000,
  backend: 'desks',
};

export type ServerMode = 'ok' | 'refuse' | 'reset' | 'hang' | 'late' | 'large';
/** `lost-replies`: intents are appended without confirmation; `delayed`: they are appended after the timeout. */
export type LogMode = 'ok' | 'unreachable' | 'lost-replies' | 'delayed';

/** One backend server; `runs` lists the bodies of the requests that it executed. */
export interface FakeServer {
  readonly vm: core.workers.VmRecord;
  mode: ServerMode;
  takesMs: number;
  busy: number;
  maxBusy: number;
  readonly runs: string[];
}

export interface FakeProcess {
  readonly path: requests.RequestPath;
  readonly journal: journals.RequestJournal;
  readonly instance: string;
  alive: boolean;
  /** Whether its links are cut while it runs on. */
  silent: boolean;
}

export function createHarness(processCount: number, slots: number) {
  const timers = core.createVirtualTimers();
  const log: core.records.LogRecord<core.records.KeyRecord>[] = [];
  const readers: (() => void)[] = [];
  const handlers = new Map<string, Map<string, types.Links['handle']>>();
  const noticeSubjects = new Map<
    string,
    core.Subject<{ from: string; notice: core.messages.Notice }>
  >();
  const ownerships: core.Subject<types.OwnershipChange>[] = [];
  const memberships: core.Subject<'vms' | 'peers'>[] = [];
  const processes: FakeProcess[] = [];
  const state = {
    logMode: 'ok' as LogMode,
    owner: undefined as number | undefined,
    epoch: 0,
    once: false,
    /** Whether the processes have read the release in force. */
    releaseKnown: true,
    /** Latency of an answer on a link, in ms. */
    answerMs: 3,
    /** Time before the first byte is written to a server in mode `late`, in ms. */
    lateMs: 1_200,
  };
  const servers: FakeServer[] = ['muscat-a', 'muscat-b'].map((zone, index) => ({
    vm: {
      id: `b${index}`,
      role: 'backend',
      backend: 'desks',
      address: `10.0.0.${index}:80`,
      availabilityZone: zone,
      region: 'muscat',
      rack: 'r',
      state: 'live',
    },
    mode: 'ok',
    takesMs: 20,
    busy: 0,
    maxBusy: 0,
    runs: [],
  }));
  const vms = servers.map((server) => server.vm);
  const wait = (ms: number) => core.waitFor(timers, 'fake', ms);
  const getProcess = (index: number): FakeProcess => processes[index]!;

  /** Advances the time in steps of 1 ms and lets all promises settle after each. */
  async function run(ms: number) {
    for (let step = 0; step < ms; step += 1) {
      timers.advance(1);
      await new Promise(setImmediate);
    }
  }

  function appendRecord(body: core.records.KeyRecord) {
    log.push({ offset: log.length, id: String(log.length), body });
    void wait(1).then(() => {
      for (const read of readers) read();
    });
    return log.length - 1;
  }

  function createStreams(): types.Streams {
    const records =
      core.createSubject<core.records.LogRecord<core.records.KeyRecord>>();
    let next = 0;
    const waiters: { offset: number; resolve: () => void }[] = [];
    readers.push(() => {
      if (state.logMode === 'unreachable') return;
      for (; next < log.length; next += 1) records.push(log[next]!);
      for (const one of waiters) if (one.offset <= next) one.resolve();
    });
    const waitFor = (offset: number) =>
      new Promise<void>((resolve) => {
        if (next >= offset) resolve();
        else waiters.push({ offset, resolve });
      });
    async function append(
      body: core.records.KeyRecord,
      giveUpMs: number | undefined,
    ): Promise<types.AppendOutcome> {
      await wait(1);
      const isIntent = body.type === 'intent';
      if (state.logMode === 'unreachable')
        return { outcome: 'not-appended', reason: 'log-away' };
      if (state.logMode === 'delayed' && isIntent) {
        void wait(giveUpMs === undefined ? 0 : 3 * giveUpMs).then(() =>
          appendRecord(body),
        );
        await wait(giveUpMs ?? 0);
        return { outcome: 'unknown' };
      }
      const offset = appendRecord(body);
      await wait(1);
      return state.logMode === 'lost-replies' && isIntent
        ? { outcome: 'unknown' }
        : { outcome: 'appended', offset };
    }
    return {
      append: (_, body, options) =>
        append(body as core.records.KeyRecord, options.giveUpMs),
      open: <Body>() =>
        ({
          records: records.stream,
          getNextOffset: () => next,
          getHeadReadMs: () => 0,
          waitFor,
          waitForHead: async () => {
            if (state.logMode === 'unreachable')
              throw new Error('log unreachable');
            await waitFor(log.length);
          },
        }) as unknown as types.StreamReader<Body>,
      getUnreachableSinceMs: () =>
        state.logMode === 'unreachable' ? 0 : undefined,
      close: () => Promise.resolve(),
    };
  }

  function createLinks(own: string): types.Links {
    const ownHandlers = new Map<string, types.Links['handle']>();
    handlers.set(own, ownHandlers);
    const subject = core.createSubject<{
      from: string;
      notice: core.messages.Notice;
    }>();
    noticeSubjects.set(own, subject);
    const isUp = (name: string) =>
      processes.some(
        (one) => one.instance === name && one.alive && !one.silent,
      );
    async function ask(
      peer: string,
      question: core.messages.Question,
    ): Promise<core.messages.Answer> {
      await wait(1);
      if (!isUp(peer)) throw new Error('link closed');
      const handler = handlers.get(peer)?.get(question.kind) as unknown as (
        asked: core.messages.Question,
        from: string,
      ) => Promise<core.messages.Answer>;
      const answer = await handler(question, own);
      await wait(state.answerMs);
      if (!isUp(peer)) throw new Error('link closed');
      return answer;
    }
    return {
      ask: (peer, question, timeoutMs) =>
        Promise.race([
          ask(peer, question),
          wait(timeoutMs).then(() => {
            throw new Error('timeout');
          }),
        ]),
      notify(peer, notice) {
        if (!isUp(own)) return;
        void wait(1).then(() => {
          if (isUp(peer)) noticeSubjects.get(peer)?.push({ from: own, notice });
        });
      },
      handle(kind, handler) {
        ownHandlers.set(kind, handler as unknown as types.Links['handle']);
      },
      notices: subject.stream,
      close: () => Promise.resolve(),
    };
  }

  async function send(
    server: FakeServer,
    body: string,
    limits: requests.BackendLimits,
  ): Promise<requests.BackendResult> {
    const fail = (result: 'not-sent' | 'uncertain') => ({
      result,
      cause: new Error(server.mode),
    });
    await wait(server.mode === 'late' ? state.lateMs : 1);
    if (server.mode === 'refuse' || !limits.canSend()) return fail('not-sent');
    server.runs.push(body);
    server.busy += 1;
    server.maxBusy = Math.max(server.maxBusy, server.busy);
    const isHung = server.mode === 'hang';
    const done = wait(isHung ? limits.timeoutMs : server.takesMs).then(() => {
      server.busy -= 1;
    });
    if (server.mode === 'reset') {
      await wait(2);
      return fail('uncertain');
    }
    await done;
    if (isHung) return fail('uncertain');
    if (server.mode === 'large')
      return {
        result: 'uncertain',
        cause: core.createFault('too-large', { step: '', peer: '' }, '1000'),
      };
    return {
      result: 'answered',
      status: 200,
      headers: { 'content-type': 'text/plain' },
      body: Buffer.from(`re:${body}`),
    };
  }

  const backends: requests.BackendClient = {
    send: (address, request, limits) =>
      send(
        servers.find((server) => server.vm.address === address)!,
        Buffer.from(request.body ?? '').toString(),
        limits,
      ),
    readStatus: async (address) => {
      await wait(1);
      const server = servers.find((one) => one.vm.address === address);
      return { busy: server?.busy ?? 0 };
    },
  };

  function getState(): core.releases.ReleaseState {
    return {
      current: 'r1',
      offset: 0,
      services: new Map(
        state.releaseKnown
          ? [['desk', { ...service, idempotent: !state.once }]]
          : [],
      ),
      classes: new Map(),
      teams: new Map(),
      backends: new Map([
        ['desks', { kind: 'backend', name: 'desks', slots, connections: 64 }],
      ]),
      history: [],
    };
  }

  function startProcess(index: number) {
    const instance = `p${index}`;
    const ownership = core.createSubject<types.OwnershipChange>();
    const membership = core.createSubject<'vms' | 'peers'>();
    ownerships.push(ownership);
    memberships.push(membership);
    const context = contexts.createQuietContext(timers, instance);
    const journal = journals.createRequestJournal(timers);
    const isOwner = () => state.owner === index;
    const path = paths.createRequestPath({
      context,
      streams: createStreams(),
      links: createLinks(instance),
      journal,
      backends,
      maxProcesses: 3,
      membership: {
        listVms: () => vms,
        listPeers: () =>
          processes
            .filter((one) => one.instance !== instance)
            .map(
              (one) =>
                ({
                  instance: one.instance,
                  availabilityZone: 'muscat-a',
                  health: one.alive && !one.silent ? 'live' : 'dead',
                  ended: !one.alive,
                }) as types.PeerView,
            ),
        listCandidates: () => [],
        changes: membership.stream,
      },
      ownership: {
        getOwner: () =>
          state.owner === undefined
            ? undefined
            : {
                shard,
                instance: `p${state.owner}`,
                process: `p${state.owner}`,
                epoch: { offset: state.epoch, provisional: 0 },
                self: isOwner(),
              },
        getEpoch: () =>
          isOwner() ? { offset: state.epoch, provisional: 0 } : undefined,
        handleHigherEpoch: () => undefined,
        changes: ownership.stream,
        releaseAll: () => Promise.resolve(),
      },
      releases: {
        getState,
        isReady: () => state.releaseKnown,
        changes: core.createSubject<core.releases.ReleaseHistoryItem>().stream,
      } as unknown as types.Releases,
    });
    processes.push({ path, journal, instance, alive: true, silent: false });
  }

  for (let index = 0; index < processCount; index += 1) startProcess(index);

  function setOwner(index: number | undefined) {
    const old = state.owner;
    state.owner = index;
    state.epoch += 1;
    const epoch = { offset: state.epoch, provisional: 0 };
    if (old !== undefined)
      ownerships[old]!.push({ change: 'lost', shard, epoch });
    if (index !== undefined)
      ownerships[index]!.push({ change: 'gained', shard, epoch });
  }

  function stop(index: number) {
    getProcess(index).alive = false;
    for (const membership of memberships) membership.push('peers');
  }

  function setSilent(index: number, silent: boolean) {
    getProcess(index).silent = silent;
    for (const membership of memberships) membership.push('peers');
  }

  let nextId = 0;
  function ask(
    index: number,
    body: string,
    key?: string,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<requests.CallerAnswer> {
    nextId += 1;
    return getProcess(index).path.handle({
      id: `r${nextId}`,
      service: 'desk',
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from(body),
      key,
      team: 'default',
      signal,
    });
  }

  return {
    timers,
    state,
    servers,
    vms,
    log,
    run,
    setOwner,
    stop,
    setSilent,
    ask,
    getProcess,
  };
}

/** Returns the body of a complete answer, or the kind of any other answer. */
export function getText(answer: requests.CallerAnswer): string {
  return answer.answer === 'done'
    ? Buffer.from(answer.body).toString()
    : answer.answer;
}
