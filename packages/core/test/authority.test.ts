/** Authority of a session over one worker: when it may start tasks, and until when. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

const own: core.workers.WorkerSession = {
  instance: 'b',
  epoch: { offset: 5, provisional: 0 },
};

function seen(
  instance: string,
  offset: number,
  provisional = 0,
): core.workers.SeenSession {
  return { instance, epoch: { offset, provisional }, lastSeenMs: 0 };
}

function report(
  authority: core.Authority,
  clockMs: number,
  receivedMs: number,
  sessions: readonly core.workers.SeenSession[] = [],
  boot = 'boot-1',
): core.SessionReportResult {
  const sentMs = receivedMs - 10;
  return core.applySessionReport(authority, {
    sentMs,
    receivedMs,
    boot,
    clockMs,
    sessions,
  });
}

// Guards against starts on a worker at which starts of an older owner may still arrive.
vitest.test(
  'a new session waits one authority term at a plain worker, and not at a fencing one',
  () => {
    const plain = report(core.createAuthority('plain', own), 700, 10).authority;
    vitest
      .expect(core.computeAuthorityState(plain, 10))
      .toEqual({ state: 'take-over', restMs: 1_000 });
    vitest.expect(core.isInventoryComplete(plain)).toBe(false);
    const early = report(plain, 1_699, 1_010).authority;
    vitest.expect(core.isInventoryComplete(early)).toBe(false);
    const late = report(early, 1_700, 1_011).authority;
    vitest.expect(core.computeAuthorityState(late, 1_011)).toEqual({
      state: 'fresh',
      startByMs: 2_700,
      leaseUntilMs: 16_700,
      boot: 'boot-1',
    });
    const fencing = report(core.createAuthority('fencing', own), 700, 10);
    vitest.expect(core.isInventoryComplete(fencing.authority)).toBe(true);
  },
);

// Guards against starts that are based on an old answer and would arrive after their bound.
vitest.test(
  'an answer becomes stale when too little of the authority term is left',
  () => {
    const first = report(core.createAuthority('plain', own), 0, 0).authority;
    const authority = report(first, 1_000, 1_000).authority;
    vitest
      .expect(core.computeAuthorityState(authority, 1_700).state)
      .toBe('fresh');
    vitest
      .expect(core.computeAuthorityState(authority, 1_701).state)
      .toBe('stale');
    vitest.expect(core.computeLeaseEnd(authority)).toBe(18_000);
  },
);

// Guards against an owner that continues after the worker has reported a newer session.
vitest.test('a newer session ends the authority permanently', () => {
  const older = [seen('z', 4, 9), seen('a', 5), seen('b', 5)];
  const first = report(core.createAuthority('plain', own), 0, 0, older);
  vitest.expect(first.authority.newerSession).toBeUndefined();
  for (const higher of [seen('a', 6), seen('a', 5, 1), seen('c', 5)]) {
    const next = report(first.authority, 1_000, 1_000, [...older, higher]);
    const after = report(next.authority, 2_000, 2_000, older).authority;
    vitest
      .expect(core.computeAuthorityState(after, 2_000))
      .toEqual({ state: 'replaced', by: higher });
  }
});

// Guards against starts at a restarted worker, which has forgotten the sessions that called
// it, and against taking a late answer of an earlier incarnation for another restart.
vitest.test(
  'a restart of the worker begins the wait of the session again',
  () => {
    const first = report(core.createAuthority('plain', own), 0, 0).authority;
    const ready = report(first, 1_000, 1_000).authority;
    const restarted = report(ready, 50, 1_100, [], 'boot-2');
    vitest.expect(restarted.restarted).toBe(true);
    vitest
      .expect(core.computeAuthorityState(restarted.authority, 1_100))
      .toEqual({ state: 'take-over', restMs: 1_000 });
    const late = report(restarted.authority, 1_090, 1_200, [], 'boot-1');
    vitest.expect(late).toMatchObject({ restarted: false, outdated: true });
    vitest.expect(late.authority.boot).toBe('boot-2');
  },
);

// Guards against applying an older inventory after a newer one.
vitest.test(
  'an answer that arrives after a newer one is reported as outdated',
  () => {
    const first = report(core.createAuthority('plain', own), 0, 0).authority;
    const newer = report(first, 2_000, 2_000).authority;
    const older = report(newer, 1_500, 2_010);
    vitest.expect(older.outdated).toBe(true);
    vitest.expect(older.authority.clockMs).toBe(2_000);
  },
);
