/** Worker fleets, job classes and teams of the two customers, as listed in docs/design.md. */
import type * as core from '@flamingoward/core';

/** Workers and release entries of one customer's cell. */
export interface Customer {
  readonly name: 'sayeban' | 'nilewave';
  readonly workers: readonly core.workers.VmRecord[];
  readonly classes: readonly core.releases.ClassEntry[];
  readonly teams: readonly core.releases.TeamEntry[];
}

interface PoolSpec {
  readonly count: number;
  readonly perRack: number;
  readonly prefix: string;
  readonly size: core.resources.Resources;
}

function buildPool(
  pool: PoolSpec,
  zones: readonly string[],
): core.workers.VmRecord[] {
  return Array.from({ length: pool.count }, (_, n) => {
    const zone = zones[Math.floor((n * zones.length) / pool.count)] ?? '';
    return {
      id: `${pool.prefix}-${n}`,
      role: 'worker',
      state: 'live',
      address: `127.0.0.1:${20_000 + n}`,
      region: 'region',
      availabilityZone: zone,
      rack: `${pool.prefix}-rack-${Math.floor(n / pool.perRack)}`,
      size: pool.size,
    };
  });
}

function buildClass(
  name: string,
  urgency: core.ids.Urgency,
  floor: number,
  maxWaitMs: number,
  kind: 'plain' | 'preemptible' | 'once' = 'plain',
): core.releases.ClassEntry {
  const idempotent = kind !== 'once';
  const preemptible = kind === 'preemptible';
  return {
    kind: 'class',
    name,
    urgency,
    floor,
    idempotent,
    preemptible,
    maxWaitMs,
  };
}

function buildTeams(count: number): core.releases.TeamEntry[] {
  const quota = { cores: 2000, memoryMb: 8_000_000, gpus: 80 };
  return Array.from({ length: count }, (_, n) => ({
    kind: 'team',
    name: `team-${n}`,
    quota,
    weight: 1 + (n % 3),
  }));
}

const minuteMs = 60_000;

/** Sayeban Shade Works: many short urgent tasks, batches of cutting lists and long renders. */
export const sayeban: Customer = {
  name: 'sayeban',
  workers: [
    ...buildPool(
      {
        count: 24,
        perRack: 5,
        prefix: 'general',
        size: { cores: 16, memoryMb: 32_768, gpus: 0 },
      },
      ['muscat-a', 'muscat-b', 'sohar-a'],
    ),
    ...buildPool(
      {
        count: 10,
        perRack: 3,
        prefix: 'gpu',
        size: { cores: 128, memoryMb: 262_144, gpus: 8 },
      },
      ['muscat-a', 'muscat-b', 'sohar-a'],
    ),
  ],
  classes: [
    buildClass('quote', 'urgent', 0.3, 10_000),
    buildClass('cutting', 'normal', 0.2, 30 * minuteMs),
    buildClass('order', 'normal', 0.2, 30 * minuteMs, 'once'),
    buildClass('render', 'deferrable', 0.1, 600 * minuteMs, 'preemptible'),
  ],
  teams: buildTeams(5),
};

/** Nilewave Streaming: ingest checks, transcodes, enhancement on GPUs and training in gangs. */
export const nilewave: Customer = {
  name: 'nilewave',
  workers: [
    ...buildPool(
      {
        count: 24,
        perRack: 5,
        prefix: 'general',
        size: { cores: 32, memoryMb: 131_072, gpus: 0 },
      },
      ['cairo-a', 'cairo-b', 'alex-a'],
    ),
    ...buildPool(
      {
        count: 10,
        perRack: 3,
        prefix: 'gpu',
        size: { cores: 64, memoryMb: 262_144, gpus: 8 },
      },
      ['cairo-a', 'cairo-b', 'alex-a'],
    ),
  ],
  classes: [
    buildClass('check', 'urgent', 0.2, 10_000),
    buildClass('transcode', 'normal', 0.3, 120 * minuteMs, 'once'),
    buildClass('enhance', 'deferrable', 0.1, 600 * minuteMs, 'preemptible'),
    buildClass('train', 'deferrable', 0.1, 600 * minuteMs),
  ],
  teams: buildTeams(5),
};
