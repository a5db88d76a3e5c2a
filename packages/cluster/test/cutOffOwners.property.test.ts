/**
 * Random cuts that divide the nodes and the VMs, also for a successor that has inherited
 * leases, beside crashes, pauses and restarts: no task runs in two places, and none starts
 * again after an end as done that was acknowledged. CUT_WALKS sets the number of series,
 * CUT_WALK_SEED the first seed.
 */
import * as vitest from 'vitest';
import * as simulations from './clusterSimulation.js';
import * as randoms from './random.js';

const WALKS = Number(process.env.CUT_WALKS ?? 20);
const FIRST_SEED = Number(process.env.CUT_WALK_SEED ?? 1);
const VMS = 6;
const JOBS = 6;
const CORES_PER_VM = 4;
const WALK_MS = 20_000;
const CALM_MS = 14_000;
const LEASES_MS = [6_000, 10_000];
const CLOCK_RATES = [0.98, 1, 1.02];
/** Disturbances; a cut is as frequent as all others together. */
const names = [
  'cut',
  'cut',
  'cut',
  'cut',
  'cut',
  'gone',
  'silent',
  'freeze',
  'kill',
  'loseAnswers',
  'reconnect',
  ...(process.env.CUT_WALK_RESTARTS === '1' ? ['restart', 'restart'] : []),
] as const;

function disturb(
  simulation: simulations.ClusterSimulation,
  getRandom: () => number,
  note: (text: string) => void,
): void {
  const name = randoms.choose([...names], getRandom);
  const vm = randoms.choose([...simulation.vms.keys()], getRandom);
  const lastsMs = Math.round(500 + getRandom() * 13_500);
  note(`${simulation.getNow()}: ${name} ${vm} ${lastsMs}`);
  switch (name) {
    case 'cut':
      for (const id of simulation.vms.keys()) {
        const share = getRandom();
        if (share < 0.4) simulation.isolateWithOwner(id);
        else if (share < 0.8) simulation.isolateFromOwner(id);
      }
      simulation.cutOwner(lastsMs, getRandom() < 0.5 ? 'silent' : 'refused');
      return;
    case 'gone':
      simulation.silenceVm(vm, 'gone');
      return;
    case 'silent':
      simulation.silenceVm(vm, 'cut');
      return;
    case 'freeze':
      simulation.freezeOwner(lastsMs / 2);
      return;
    case 'kill':
      simulation.killOwner();
      return;
    case 'loseAnswers':
      simulation.loseAnswers(lastsMs / 4);
      return;
    case 'reconnect':
      for (const id of simulation.vms.keys()) simulation.reconnectVm(id);
      return;
    case 'restart':
      simulation.restartVm(vm);
  }
}

async function runWalk(seed: number): Promise<void> {
  const getRandom = randoms.createRandom(seed);
  const simulation = new simulations.ClusterSimulation({
    jobs: JOBS,
    vms: VMS,
    getRandom,
    coresPerVm: CORES_PER_VM,
    leaseMs: randoms.choose(LEASES_MS, getRandom),
    getClockRate: () => randoms.choose(CLOCK_RATES, getRandom),
  });
  const notes = [`seed ${seed}`];
  let submitted = 0;
  await simulation.advance(4_000);
  const endMs = simulation.getNow() + WALK_MS;
  let disturbAtMs = simulation.getNow();
  while (simulation.getNow() < endMs) {
    if (simulation.getNow() >= disturbAtMs) {
      disturb(simulation, getRandom, (text) => notes.push(text));
      disturbAtMs = simulation.getNow() + getRandom() * 4_000;
    }
    const up = simulation.nodes.filter(({ state }) => state === 'up');
    if (up.length > 0 && getRandom() < 0.2) {
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
  vitest.expect(broken, story).toEqual([]);
}

vitest.describe('owners that are cut off with some of the VMs', () => {
  vitest.it.each(Array.from({ length: WALKS }, (_, at) => FIRST_SEED + at))(
    'start no task that another owner runs, seed %d (guards against TWICE: an owner that is replaced acts on its own tables)',
    async (seed) => {
      await runWalk(seed);
    },
  );
});
