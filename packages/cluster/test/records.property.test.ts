/**
 * Property test: records of other shapes, truncated and changed ones, never make a reader
 * fail. RECORD_SEED and RECORD_RUNS set the seed and the number of records of each kind.
 */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as leases from '../src/leases.js';
import * as records from '../src/records.js';
import * as fakes from './fakes.js';

const PARAMETERS = {
  seed: Number(process.env.RECORD_SEED ?? 1),
  numRuns: Number(process.env.RECORD_RUNS ?? 2_000),
};

const claim: records.ClaimRecord = {
  node: 'node',
  instance: 'instance',
  address: '10.0.0.1:1',
  fence: 3,
  leases: {
    leaseMs: 6_000,
    owners: [
      {
        node: 'n',
        instance: 'i',
        leaseMs: 6_000,
        ordersLeftMs: 5,
        claimLeftMs: 9,
      },
    ],
    silentVms: [['vm', 100]],
    lastEnds: [['vm', 200]],
  },
};
const job = {
  version: 1,
  job: {
    id: '5c0e7a21d94b36f8',
    queue: 'queue',
    payload: '',
    steps: [
      {
        count: 1,
        size: { cores: 1, memoryMb: 1, gpus: 0 },
        estimateMs: 1,
        after: [],
      },
    ],
    configVersion: 1,
    acceptedAtMs: 7,
    policy: fakes.queuePolicy,
  },
};

/** Replaces one value inside another by an arbitrary one. */
function changeOne(valid: unknown): fc.Arbitrary<string> {
  const paths = listPaths(valid);
  return fc
    .tuple(fc.constantFrom(...paths), fc.jsonValue({ maxDepth: 2 }))
    .map(([path, value]) => {
      const copy = structuredClone({ root: valid }) as Record<string, unknown>;
      let at: Record<string, unknown> = copy;
      const keys = ['root', ...path];
      for (const key of keys.slice(0, -1))
        at = at[key] as Record<string, unknown>;
      at[keys.at(-1)!] = value;
      return JSON.stringify(copy.root);
    });
}

function listPaths(value: unknown): readonly (readonly string[])[] {
  if (typeof value !== 'object' || value === null) return [[]];
  return [
    [],
    ...Object.entries(value).flatMap(([key, inner]) =>
      listPaths(inner).map((path) => [key, ...path]),
    ),
  ];
}

function createTexts(valid: unknown): fc.Arbitrary<string> {
  const text = JSON.stringify(valid);
  return fc.oneof(
    changeOne(valid),
    fc.json(),
    fc.string(),
    fc.nat(text.length).map((end) => text.slice(0, end)),
  );
}

vitest.describe('records of any content', () => {
  vitest.it(
    'are read as claims, or not at all, and give times of leases (guards against one record that ends the succession of owners)',
    () => {
      fc.assert(
        fc.property(createTexts(claim), (text) => {
          const parsed = records.parseClaim(text);
          if (parsed?.leases === undefined) return;
          const { owners } = leases.parseLeases(parsed.leases, 1_000);
          vitest.expect(leases.computeEndMs(owners)).not.toBeNaN();
        }),
        PARAMETERS,
      );
    },
  );

  vitest.it(
    'are read as jobs with an id and steps, or not at all (guards against one record on which every read of the jobs fails)',
    () => {
      fc.assert(
        fc.property(createTexts(job), (value) => {
          const change = records.parseJobChange({
            key: 'job:5c0e7a21d94b36f8',
            value,
            offset: 0,
          });
          if (change?.change !== 'accepted') return;
          vitest.expect(typeof change.job.id).toBe('string');
          vitest.expect(typeof change.job.queue).toBe('string');
          for (const { count, size, after } of change.job.steps) {
            vitest.expect(typeof count).toBe('number');
            vitest.expect(typeof size.cores).toBe('number');
            vitest.expect(Array.isArray(after)).toBe(true);
          }
          vitest.expect(typeof change.job.policy.pool).toBe('string');
        }),
        PARAMETERS,
      );
    },
  );
});
