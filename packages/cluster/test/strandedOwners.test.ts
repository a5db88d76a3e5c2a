/**
 * Owners that are cut off, with some VMs, from the store, the other nodes and the other
 * VMs. A successor renews leases that the owner granted, so the owner can't tell from
 * their ends which runs are over. STRANDED_WALKS sets the number of random cuts,
 * STRANDED_WALK_SEED the first seed.
 */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import type * as claims from '../src/claims.js';
import * as simulations from './clusterSimulation.js';
import * as randoms from './random.js';

const WALKS = Number(process.env.STRANDED_WALKS ?? 12);
const FIRST_SEED = Number(process.env.STRANDED_WALK_SEED ?? 1);
const LONGEST_WALKS_MS = 3_600_000;
const JOBS = 8;
const SERVICES: readonly core.ids.JobId[] = Array.from(
  { length: JOBS },
  (_, index) => `job${index}`,
);
const CORES_PER_VM = 4;
const SETTLED_AFTER_MS = 6_000;
const CUTS_MS = [7_000, 9_000, 9_500, 10_500, 12_000];
const INHERITED_CUTS_MS = [7_000, 10_500];
const EVIDENCE = ['silent', 'refused'] as const;
/** Longest leases of the deployments, in ms. */
const LEASES_MS = [6_000, 10_000];
/** Rates of the VMs' clocks; the platform allows for clocks that are 2% slow. */
const CLOCK_RATES = [0.98, 1, 1.02];
/** A service task must run 6 s after its last run, or once the cluster has been calm for 7 s, with 3 s to start it. */
const RESTORED_WITHIN_MS = 12_000;
/** Longest time that a task runs which ends by itself, in ms. */
const LONGEST_TASK_MS = 3_000;
/** Time for a change of owner and all leases, in ms. */
const LEASES_OVER_MS = 22_000;
/** Time before the end of a cut from which its successors are left alone, in ms: a restart and a change of owner. */
const LAST_CHANGE_MS = 2_500;
/** Time after which the entries of VMs without the store lapse, in ms. */
const UNLISTED_AFTER_MS = 4_500;

/** Tasks of a walk besides the service tasks. */
type Load = 'service tasks' | 'service tasks and tasks that end';

interface Cut {
  readonly nearOwner: readonly core.ids.VmId[];
  readonly cutMs: number;
  readonly evidence: claims.Suspicion;
  /** Whether the VMs on the owner's side are cut off from the store too. */
  readonly unlists: boolean;
}

/** What a cut broke, with the steps of the walk and the log lines of all nodes. */
interface Outcome {
  readonly name: string;
  readonly twice: readonly string[];
  readonly missing: readonly string[];
  readonly story: string;
}

/** Cuts the owner off: it alone reaches some VMs, and the other nodes alone reach the rest. */
function strandOwner(
  simulation: simulations.ClusterSimulation,
  { nearOwner, cutMs, evidence, unlists }: Cut,
): void {
  for (const id of simulation.vms.keys())
    if (!nearOwner.includes(id)) simulation.isolateFromOwner(id);
    else {
      simulation.isolateWithOwner(id);
      if (unlists && cutMs > UNLISTED_AFTER_MS) simulation.unlistVm(id, cutMs);
    }
  simulation.cutOwner(cutMs, evidence);
}

/** Returns the fence of the newest owner; 0 without one. */
function getFence(simulation: simulations.ClusterSimulation): number {
  return simulation.getOwner()?.owner?.fence ?? 0;
}

function reconnectVms(simulation: simulations.ClusterSimulation): void {
  for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
}

/** Collects what has been broken once the last disturbance is over. */
async function collectOutcome(
  simulation: simulations.ClusterSimulation,
  name: string,
  notes: readonly string[] = [],
): Promise<Outcome> {
  await simulation.advance(RESTORED_WITHIN_MS);
  const notRunning = simulation
    .listMissing()
    .filter((id) => SERVICES.includes(id));
  await simulation.advance(LONGEST_TASK_MS);
  const notEnded = [...simulation.histories].filter(
    ([id, { final }]) => !SERVICES.includes(id) && final === undefined,
  );
  await simulation.advance(
    LEASES_OVER_MS - RESTORED_WITHIN_MS - LONGEST_TASK_MS,
  );
  const twice = [...simulation.violations, ...simulation.listStartedAgain()];
  const missing = [
    ...notRunning.map((id) => `${id} doesn't run`),
    ...notEnded.map(([id]) => `${id} hasn't ended`),
  ];
  const story = [
    name,
    ...notes,
    ...twice,
    ...missing,
    simulation.formatLines(),
  ];
  simulation.close();
  return {
    name,
    twice: twice.map((what) => `${name}: ${what}`),
    missing: missing.map((what) => `${name}: ${what}`),
    story: story.join('\n'),
  };
}

async function createCluster(): Promise<simulations.ClusterSimulation> {
  const simulation = new simulations.ClusterSimulation({
    jobs: JOBS,
    vms: 5,
    coresPerVm: CORES_PER_VM,
  });
  await simulation.advance(SETTLED_AFTER_MS);
  return simulation;
}

/** Chooses an idle VM for the owner's side, and one with runs when there are two. */
function chooseNearVms(
  simulation: simulations.ClusterSimulation,
  count: 1 | 2,
): readonly core.ids.VmId[] {
  const vms = [...simulation.vms];
  const [idle] = vms.find(([, { running }]) => running.size === 0)!;
  const [busy] = vms.find(([, { running }]) => running.size > 0)!;
  return [idle, busy].slice(0, count);
}

function buildVariants(): readonly {
  readonly count: 1 | 2;
  readonly evidence: claims.Suspicion;
}[] {
  return ([1, 2] as const).flatMap((count) =>
    EVIDENCE.map((evidence) => ({ count, evidence })),
  );
}

/** Cuts the owner off with one VM or two, its links silent or refused. */
function playCuts(cutMs: number): Promise<readonly Outcome[]> {
  return Promise.all(
    buildVariants().map(async ({ count, evidence }) => {
      const simulation = await createCluster();
      const nearOwner = chooseNearVms(simulation, count);
      const fence = getFence(simulation);
      strandOwner(simulation, { nearOwner, cutMs, evidence, unlists: false });
      await simulation.advance(cutMs);
      vitest.expect(getFence(simulation)).toBeGreaterThan(fence);
      reconnectVms(simulation);
      return collectOutcome(simulation, `VMs ${count}, links ${evidence}`);
    }),
  );
}

/** How an owner loses its place to the one that is cut off afterwards. */
const FIRST_CHANGES = ['kill', 'release', 'freeze'] as const;

/** Cuts an owner off that has inherited leases a short time before. */
function playInheritedCuts(
  change: (typeof FIRST_CHANGES)[number],
): Promise<readonly Outcome[]> {
  const cases = INHERITED_CUTS_MS.flatMap((cutMs) =>
    buildVariants().flatMap((variant) =>
      [300, 2_000].map((cutAfterMs) => ({ ...variant, cutMs, cutAfterMs })),
    ),
  );
  return Promise.all(
    cases.map(async ({ count, evidence, cutMs, cutAfterMs }) => {
      const simulation = await createCluster();
      const firstFence = getFence(simulation);
      changeOwner(simulation, change, 4_000);
      while (getFence(simulation) <= firstFence) await simulation.advance(10);
      await simulation.advance(cutAfterMs);
      const nearOwner = chooseNearVms(simulation, count);
      const fence = getFence(simulation);
      strandOwner(simulation, { nearOwner, cutMs, evidence, unlists: false });
      await simulation.advance(cutMs);
      vitest.expect(getFence(simulation)).toBeGreaterThan(fence);
      reconnectVms(simulation);
      return collectOutcome(
        simulation,
        `VMs ${count}, links ${evidence}, cut for ${cutMs} ms, ${cutAfterMs} ms after the change`,
      );
    }),
  );
}

function changeOwner(
  simulation: simulations.ClusterSimulation,
  change: (typeof FIRST_CHANGES)[number],
  frozenMs: number,
): void {
  switch (change) {
    case 'kill':
      simulation.killOwner();
      return;
    case 'release':
      simulation.releaseOwner();
      return;
    case 'freeze':
      simulation.freezeOwner(frozenMs);
  }
}

/** A random cut, before which a VM may be gone or the owner changed, and in which the successors may change. */
async function playWalk(seed: number, load: Load): Promise<Outcome> {
  const getRandom = randoms.createRandom(seed);
  const simulation = new simulations.ClusterSimulation({
    jobs: JOBS,
    vms: 6,
    getRandom,
    coresPerVm: CORES_PER_VM,
    leaseMs: randoms.choose(LEASES_MS, getRandom),
    getClockRate: () => randoms.choose(CLOCK_RATES, getRandom),
  });
  const notes: string[] = [];
  let submitted = 0;
  const note = (text: string) => notes.push(`${simulation.getNow()}: ${text}`);
  const advance = async (byMs: number) => {
    const endMs = simulation.getNow() + byMs;
    while (simulation.getNow() < endMs) {
      const up = simulation.nodes.filter(({ state }) => state === 'up');
      if (load === 'service tasks and tasks that end' && up.length > 0) {
        submitted += 1;
        const id = submitted.toString(16).padStart(16, '0');
        const node = randoms.choose(up, getRandom);
        simulation.request(node, 'POST', id, () => undefined);
      }
      const leftMs = endMs - simulation.getNow();
      await simulation.advance(
        Math.min(leftMs, 100 + Math.floor(getRandom() * 20) * 10),
      );
    }
  };
  const pickMs = (longestMs: number) =>
    Math.floor((getRandom() * longestMs) / 10) * 10;

  await advance(SETTLED_AFTER_MS);
  const ids = [...simulation.vms.keys()];
  if (getRandom() < 0.5) {
    const gone = randoms.choose(ids, getRandom);
    note(`gone ${gone}`);
    simulation.silenceVm(gone, 'gone');
    await advance(pickMs(6_000));
  }
  if (getRandom() < 0.25) {
    const change = randoms.choose(FIRST_CHANGES, getRandom);
    note(`${change} before the cut`);
    changeOwner(simulation, change, 3_000);
    await advance(1_500 + pickMs(2_500));
    while (getFence(simulation) === 0) await advance(100);
  }
  const cutMs = 3_000 + pickMs(11_000);
  const share = 0.15 + getRandom() * 0.5;
  const cut: Cut = {
    nearOwner: ids.filter(() => getRandom() < share),
    cutMs,
    evidence: randoms.choose(EVIDENCE, getRandom),
    unlists: getRandom() < 0.5,
  };
  const stranded = simulation.getOwner()?.name;
  note(`cut ${stranded} ${JSON.stringify(cut)}`);
  strandOwner(simulation, cut);
  const endMs = simulation.getNow() + cutMs;
  const changes = getRandom() < 0.5;
  while (simulation.getNow() < endMs) {
    const leftMs = endMs - simulation.getNow();
    await advance(Math.min(leftMs, 500 + pickMs(4_000)));
    const successor = simulation.getOwner()?.name;
    if (!changes || successor === stranded) continue;
    if (endMs - simulation.getNow() < LAST_CHANGE_MS) continue;
    const change = randoms.choose(FIRST_CHANGES, getRandom);
    note(`${change} ${successor}`);
    changeOwner(simulation, change, LAST_CHANGE_MS);
  }
  note('reconnected');
  reconnectVms(simulation);
  return collectOutcome(simulation, `seed ${seed}`, notes);
}

async function playWalks(load: Load): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let at = 0; at < WALKS; at += 1)
    outcomes.push(await playWalk(FIRST_SEED + at, load));
  return outcomes;
}

function expectNone(
  outcomes: readonly Outcome[],
  kind: 'twice' | 'missing',
): void {
  const broken = outcomes.filter((outcome) => outcome[kind].length > 0);
  const summary = `${broken.length} of ${outcomes.length}: ${broken.map(({ name }) => name).join('; ')}`;
  // The log lines of many cuts would hide what failed.
  const story = outcomes.length === 1 ? outcomes[0]?.story : summary;
  vitest
    .expect(
      broken.flatMap((outcome) => outcome[kind]),
      story,
    )
    .toEqual([]);
}

/** Defines a test for runs at once or again and one for missing tasks, which share the cuts. */
function defineTests(
  what: string,
  cause: string,
  play: () => Promise<readonly Outcome[]>,
): void {
  let playing: Promise<readonly Outcome[]> | undefined;
  const playOnce = () => (playing ??= play());
  for (const [kind, name] of [
    [
      'twice',
      `starts no task that its successor runs, ${what} (guards against TWICE: ${cause})`,
    ],
    [
      'missing',
      `leaves no task behind, ${what} (guards against LOST: tasks that aren't started again once the cut has ended)`,
    ],
  ] as const)
    vitest.it(
      name,
      async () => {
        expectNone(await playOnce(), kind);
      },
      LONGEST_WALKS_MS,
    );
}

const RENEWED =
  'the end of a lease that a successor has renewed counts as the end of its runs';

vitest.describe('an owner that is cut off with some VMs', () => {
  for (const cutMs of CUTS_MS)
    defineTests(`cut off for ${cutMs} ms`, RENEWED, () => playCuts(cutMs));

  for (const change of FIRST_CHANGES)
    defineTests(
      `cut off after it has inherited leases by a ${change}`,
      'the end of an inherited lease that a successor has renewed counts as the end of its runs',
      () => playInheritedCuts(change),
    );

  for (const load of [
    'service tasks',
    'service tasks and tasks that end',
  ] as const)
    defineTests(`random cuts beside ${load}`, RENEWED, () => playWalks(load));
});

/** Whether the runs of a VM that can't be reached go on until its lease ends. */
const UNREACHABLE = ['cut', 'gone'] as const;
const OUTAGES_MS = [3_000, 7_000, 12_000];

vitest.describe("a service task on a VM that can't be reached", () => {
  async function loseBusyVm(
    state: (typeof UNREACHABLE)[number],
  ): Promise<simulations.ClusterSimulation> {
    const simulation = await createCluster();
    const [busy] = [...simulation.vms].find(
      ([, { running }]) => running.size > 0,
    )!;
    simulation.silenceVm(busy, state);
    return simulation;
  }

  function expectSound(outcome: Outcome): void {
    expectNone([outcome], 'twice');
    expectNone([outcome], 'missing');
  }

  for (const state of UNREACHABLE) {
    vitest.it.each(OUTAGES_MS)(
      `runs elsewhere in time, the VM ${state}, once the store is back after %d ms (guards against LOST: starts that are held up while the store is away)`,
      async (outageMs) => {
        for (const failure of ['silent', 'refusing'] as const)
          for (const silentMs of [0, 3_000, 5_500]) {
            const simulation = await loseBusyVm(state);
            await simulation.advance(silentMs);
            simulation.failStore(outageMs, failure);
            await simulation.advance(outageMs);
            const name = `store ${failure}, VM silent for ${silentMs} ms before`;
            expectSound(await collectOutcome(simulation, name));
          }
      },
    );

    vitest.it.each(OUTAGES_MS)(
      `runs elsewhere in time, the VM ${state}, once its owner is back after %d ms without the store and its peers (guards against LOST: starts that are held up while the store is away)`,
      async (cutMs) => {
        for (const evidence of EVIDENCE) {
          const simulation = await loseBusyVm(state);
          simulation.cutOwner(cutMs, evidence);
          await simulation.advance(cutMs);
          expectSound(await collectOutcome(simulation, `links ${evidence}`));
        }
      },
    );
  }
});
