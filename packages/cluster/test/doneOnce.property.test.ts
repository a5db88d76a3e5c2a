/**
 * Random series of disturbances under a load of short tasks: none runs beside itself, and
 * none starts again after an end as done that was acknowledged. DONE_WALKS sets the number
 * of series, DONE_WALK_SEED the first seed.
 */
import * as vitest from 'vitest';
import * as knownRed from '../../standins/test/cell/knownRed.js';
import * as simulations from './clusterSimulation.js';
import * as randoms from './random.js';

const WALKS = Number(process.env.DONE_WALKS ?? 20);
const FIRST_SEED = Number(process.env.DONE_WALK_SEED ?? 1);
const REFUSAL_WALKS = Number(process.env.DONE_WALKS ?? 10);
const LONGEST_WALKS_MS = 600_000;
const VMS = 5;
const CORES_PER_VM = 3;
const WALK_MS = 15_000;
const CALM_MS = 12_000;
/** Time that a VM takes to stop a run, in ms. */
const STOP_MS = 700;

/** Disturbances of a walk. */
interface Disturbances {
  readonly names: readonly string[];
  readonly longestMs: number;
}

const SHORTEST_MS = 500;
const mixed: Disturbances = {
  names: [
    'kill',
    'release',
    'freeze',
    'cutStore',
    'failStore',
    'silenceProgress',
    'silenceJobs',
    'expireEntries',
    'loseAnswers',
    'cutVm',
    'reconnect',
    'restart',
    'drain',
  ],
  longestMs: 5_500,
};
const LONGEST_REFUSAL_MS = 8_000;

/** Disturbances beside which VMs refuse connections while they live. */
const besideRefusals = {
  'nothing else': [],
  'changes of owner': ['kill', 'release', 'freeze'],
  'outages of the store': [
    'cutStore',
    'failStore',
    'silenceProgress',
    'silenceJobs',
  ],
  drains: ['drain'],
} as const;

function disturb(
  simulation: simulations.ClusterSimulation,
  { names, longestMs }: Disturbances,
  getRandom: () => number,
  note: (text: string) => void,
): void {
  const lastsMs = Math.round(
    SHORTEST_MS + getRandom() * (longestMs - SHORTEST_MS),
  );
  const vm = randoms.choose([...simulation.vms.keys()], getRandom);
  const actions: Readonly<Record<string, () => void>> = {
    kill: () => {
      simulation.killOwner();
    },
    release: () => {
      simulation.releaseOwner();
    },
    freeze: () => {
      simulation.freezeOwner(lastsMs);
    },
    cutStore: () => {
      simulation.cutStore(lastsMs);
    },
    failStore: () => {
      simulation.failStore(lastsMs, getRandom() < 0.5 ? 'silent' : 'refusing');
    },
    silenceProgress: () => {
      simulation.silenceAppends(lastsMs, 'progress');
    },
    silenceJobs: () => {
      simulation.silenceAppends(lastsMs, 'jobs');
    },
    expireEntries: () => {
      simulation.expireEntries();
    },
    loseAnswers: () => {
      simulation.loseAnswers(lastsMs);
    },
    refuse: () => {
      simulation.refuseConnections(vm, lastsMs);
    },
    cutVm: () => {
      simulation.silenceVm(vm, 'cut');
    },
    reconnect: () => {
      for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
    },
    restart: () => {
      simulation.restartVm(vm);
    },
    drain: () => {
      simulation.drainVm(vm);
    },
  };
  const name = randoms.choose(names, getRandom);
  note(`${simulation.getNow()}: ${name} ${lastsMs} ${vm}`);
  actions[name]!();
}

/** What a walk broke, with its disturbances and the log lines of all nodes. */
interface WalkResult {
  readonly broken: readonly string[];
  readonly story: string;
}

async function playWalk(
  seed: number,
  disturbances: Disturbances,
  stopMs = 0,
): Promise<WalkResult> {
  const getRandom = randoms.createRandom(seed);
  const simulation = new simulations.ClusterSimulation({
    jobs: 0,
    vms: VMS,
    getRandom,
    coresPerVm: CORES_PER_VM,
    stopMs,
  });
  const notes = [`seed ${seed}`];
  let submitted = 0;
  await simulation.advance(3_000);
  const endMs = simulation.getNow() + WALK_MS;
  let disturbAtMs = simulation.getNow();
  while (simulation.getNow() < endMs) {
    if (simulation.getNow() >= disturbAtMs) {
      disturb(simulation, disturbances, getRandom, (text) => notes.push(text));
      disturbAtMs = simulation.getNow() + getRandom() * 1_500;
    }
    const up = simulation.nodes.filter(({ state }) => state === 'up');
    if (up.length > 0 && getRandom() < 0.6) {
      submitted += 1;
      const id = submitted.toString(16).padStart(16, '0');
      const node = randoms.choose(up, getRandom);
      simulation.request(node, 'POST', id, () => undefined);
    }
    await simulation.advance(10 + Math.floor(getRandom() * 10) * 10);
  }
  for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
  await simulation.advance(CALM_MS);
  const broken = [...simulation.violations, ...simulation.listStartedAgain()];
  const story = [...notes, ...broken, simulation.formatLines()].join('\n');
  simulation.close();
  return { broken, story };
}

async function runWalk(seed: number, stopMs = 0): Promise<void> {
  const { broken, story } = await playWalk(seed, mixed, stopMs);
  vitest.expect(broken, story).toEqual([]);
}

/**
 * Seeds that have failed. In 5, 15 and 88 a restarted VM carried out an acknowledgement for
 * its earlier life; in 1300, 1318 and 1419 an owner sent starts without a record at once
 * when it woke up from a pause; in 1173 and 1485 a new owner didn't know of a VM, with such
 * starts, whose entry had lapsed.
 */
const FAILED_SEEDS = [5, 15, 88, 1173, 1300, 1318, 1419, 1485];
/** Seeds in which runs counted as over while their VMs, which didn't list them, were stopping them. */
const FAILED_STOP_SEEDS = [13, 35, 64, 69, 70, 95, 99, 100, 104, 110];
/** Seed that fails: a new owner doesn't know of a run that is being stopped, as its task is done. */
const RED_STOP_SEED = 188;

vitest.describe('short tasks through random disturbances', () => {
  const seeds = Array.from({ length: WALKS }, (_, at) => FIRST_SEED + at);
  vitest.it.each([...new Set([...seeds, ...FAILED_SEEDS])])(
    'run once, seed %d (guards against TWICE: a task that runs beside itself, or again after its end was acknowledged)',
    async (seed) => {
      await runWalk(seed);
    },
  );

  vitest.it.each([...new Set([...seeds, ...FAILED_STOP_SEEDS])])(
    'run once although VMs list a run nowhere while they stop it, seed %d (guards against TWICE: a run that counts as over before it has ended)',
    async (seed) => {
      await runWalk(seed, STOP_MS);
    },
  );

  const redStop =
    'start nothing above the room of a VM that lists a run of a done task nowhere while it stops it, beside a change of owner (guards against LIMIT)';
  vitest.it(redStop, () =>
    knownRed.runKnownRed(redStop, () => runWalk(RED_STOP_SEED, STOP_MS)),
  );
});

vitest.describe('short tasks on VMs that refuse connections for a time', () => {
  for (const [beside, names] of Object.entries(besideRefusals)) {
    const test = `run once beside ${beside} (guards against TWICE: a refused connection counts as the end of all runs of the VM)`;
    const run = async () => {
      const failed: string[] = [];
      const stories: string[] = [];
      for (let at = 0; at < REFUSAL_WALKS; at += 1) {
        const seed = FIRST_SEED + at;
        const { broken, story } = await playWalk(seed, {
          names: ['refuse', 'refuse', ...names],
          longestMs: LONGEST_REFUSAL_MS,
        });
        failed.push(...broken.map((what) => `seed ${seed}: ${what}`));
        if (broken.length > 0) stories.push(story);
      }
      // The log lines of many walks would hide what failed.
      const story = REFUSAL_WALKS === 1 ? stories[0] : undefined;
      vitest.expect(failed, story).toEqual([]);
    };
    vitest.it(test, run, LONGEST_WALKS_MS);
  }
});
