/** Which requests are served, and which jobs they may see, by key, route and age of the configuration. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as access from '../src/access.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

const NO_LIMIT = { cores: Infinity, memoryMb: Infinity, gpus: Infinity };
const keyed: ports.Route = {
  host: 'h',
  pathPrefix: '/q/',
  policy: fakes.queuePolicy,
};
const open: ports.Route = { ...keyed, isPublic: true };

function createWorkspace(
  name: string,
  ...keyDigests: string[]
): ports.Workspace {
  return {
    policy: { name, weight: 1, priority: 0, limit: NO_LIMIT },
    keyDigests,
  };
}

function createSetup(boundMs?: number) {
  const state = {
    workspaces: [createWorkspace('a', 'digest-a'), createWorkspace('b')] as
      readonly ports.Workspace[] | undefined,
    readAgeMs: 0,
  };
  const policy = access.createAccessPolicy(
    {
      getCurrent: () => ({
        version: 1,
        routes: [keyed, open],
        maxBodyBytes: 1_000,
        ...(state.workspaces === undefined
          ? {}
          : { workspaces: state.workspaces }),
      }),
      isStale: () => state.readAgeMs > 2_600,
      getReadAge: () => state.readAgeMs,
      findRoute: () => undefined,
      getPolicies: () => ({ version: 1, policies: new Map() }),
      open: () => undefined,
      close: () => undefined,
    },
    boundMs,
  );
  const decide = (digest: string | undefined, route = keyed) =>
    policy.decide(
      route,
      digest === undefined ? undefined : { kind: 'key', digest },
    );
  return { state, policy, decide };
}

vitest.describe('a request', () => {
  vitest.it(
    'needs no key while the configuration names no workspaces, and a valid one if it names an empty list (guards against open doors after the last workspace is removed)',
    () => {
      const { state, decide } = createSetup();
      state.workspaces = undefined;
      vitest
        .expect(decide(undefined))
        .toEqual({ decision: 'allowed', caller: undefined });
      state.workspaces = [];
      for (const digest of [undefined, 'digest-a'])
        vitest.expect(decide(digest).decision).toBe('unauthorized');
      vitest.expect(decide(undefined, open).decision).toBe('allowed');
    },
  );

  vitest.it('is unauthorized with a missing, malformed or unknown key', () => {
    const { policy, decide } = createSetup();
    const decisions = [
      decide(undefined),
      policy.decide(keyed, { kind: 'malformed' }),
      decide('digest-x'),
    ];
    for (const { decision } of decisions)
      vitest.expect(decision).toBe('unauthorized');
  });

  vitest.it(
    'is decided by the version in force, and by that alone (guards against a revoked key that is served from an older table)',
    () => {
      const { state, decide } = createSetup();
      vitest
        .expect(decide('digest-a'))
        .toMatchObject({ decision: 'allowed', caller: { workspace: 'a' } });
      state.workspaces = [
        createWorkspace('a'),
        createWorkspace('b', 'digest-a'),
      ];
      vitest.expect(decide('digest-a')).toMatchObject({
        decision: 'allowed',
        caller: { workspace: 'b' },
      });
      state.workspaces = [createWorkspace('a'), createWorkspace('b')];
      vitest.expect(decide('digest-a').decision).toBe('unauthorized');
    },
  );

  vitest.it(
    'with an unknown key is not refused for good by a node whose configuration may be out of date',
    () => {
      const { state, decide } = createSetup(12_000);
      state.readAgeMs = 2_700;
      vitest.expect(decide('digest-x').decision).toBe('outdated');
      vitest.expect(decide('digest-a').decision).toBe('allowed');
    },
  );

  vitest.it(
    'with a known key is not served once the key may have been revoked for too long',
    () => {
      const { state, decide } = createSetup(12_000);
      state.readAgeMs = 12_000;
      vitest.expect(decide('digest-a').decision).toBe('allowed');
      state.readAgeMs = 12_001;
      vitest.expect(decide('digest-a').decision).toBe('outdated');
      // On a public route it may submit, but is told of no job that it doesn't exist.
      const onPublic = decide('digest-a', open);
      vitest.expect(onPublic).toMatchObject({
        decision: 'allowed',
        caller: { publicQueue: 'queue' },
      });
      vitest.expect(onPublic).toHaveProperty('doubt');
      vitest.expect(decide(undefined, open)).not.toHaveProperty('doubt');
    },
  );

  vitest.it(
    'with a known key is served for any time where the settings name no bound',
    () => {
      const { state, decide } = createSetup();
      state.readAgeMs = 3_600_000;
      vitest.expect(decide('digest-a').decision).toBe('allowed');
    },
  );
});

vitest.describe('a job', () => {
  const ofA: access.JobOrigin = {
    queue: 'queue',
    workspace: 'a',
    submitter: 'f',
  };
  const ofNone: access.JobOrigin = { queue: 'queue' };
  const anonymous = (publicQueue: string) => ({ publicQueue });
  const b = { workspace: 'b', submitter: 'g' };
  const cases: readonly [
    title: string,
    origin: access.JobOrigin | undefined,
    caller: core.clusterMessages.JobCaller | undefined,
    expected: readonly [repeat: boolean, change: boolean, read: boolean],
  ][] = [
    ['without keys at all', ofA, undefined, [true, true, true]],
    ['by its workspace', ofA, { workspace: 'a' }, [true, true, true]],
    ['by another workspace', ofA, b, [false, false, false]],
    [
      'by its key after that has moved',
      ofA,
      { workspace: 'b', submitter: 'f' },
      [true, true, true],
    ],
    [
      'by its workspace after its route became public',
      ofA,
      { workspace: 'a', publicQueue: 'queue' },
      [true, true, true],
    ],
    [
      'without a key after its route became public',
      ofA,
      anonymous('queue'),
      [false, false, true],
    ],
    [
      'without a key through another public route',
      ofA,
      anonymous('other'),
      [false, false, false],
    ],
    ['of no workspace, by any key', ofNone, b, [true, true, true]],
    [
      'of a public route, without a key',
      ofNone,
      anonymous('queue'),
      [true, true, true],
    ],
    [
      'of no workspace, through another public route',
      ofNone,
      anonymous('other'),
      [true, false, false],
    ],
    [
      'of no workspace that has ended, without a key',
      undefined,
      anonymous('queue'),
      [true, true, true],
    ],
  ];
  vitest.it.each(cases)(
    'may be repeated, cancelled and read %s as expected (guards against a workspace that sees the jobs of another, and a caller that loses its own)',
    (_, origin, caller, expected) => {
      vitest
        .expect([
          access.canRepeat(origin, caller),
          access.canChange(origin, caller),
          access.canRead(origin, caller),
        ])
        .toEqual(expected);
    },
  );
});
