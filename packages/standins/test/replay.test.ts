/**
 * Each check of a replay fails for the fault that it is meant to detect, and for no other.
 * Guards against checks that always pass.
 */
import * as vitest from 'vitest';
import * as clients from '@flamingoward/clients';
import * as core from '@flamingoward/core';
import * as standins from '@flamingoward/standins';
import * as serving from '../src/serve.js';

const timers = core.createSystemTimers();
const cleanups: (() => unknown)[] = [];

vitest.afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

type Fault = 'none' | 'doubled' | 'mixed up' | 'truncated' | 'false refusal';

/** Starts a stand-in daemon that forwards each request to one backend server and injects a fault. */
async function startForwarder(address: string, fault: Fault): Promise<string> {
  const client = clients.createBackendClient({ timers, connections: 7 });
  let previous: Buffer | undefined;
  const server = await serving.serve(
    '127.0.0.1',
    0,
    async (incoming, response) => {
      const path = `${incoming.path.replace(/^\/services\/[^/]+/, '')}?${incoming.query.toString()}`;
      const send = () =>
        client.send(
          address,
          {
            method: incoming.method,
            path,
            headers: { 'content-type': 'application/json' },
            body: incoming.body,
          },
          { timeoutMs: 2_000, maxResponseBytes: 100_000 },
        );
      if (fault === 'doubled') await send();
      const result = await send();
      if (result.result !== 'answered') throw result.cause;
      if (fault === 'false refusal') {
        response.setHeader('flamingoward-answer', 'not-run');
        serving.respondJson(response, 503, { reason: 'no', retryAfterMs: 1 });
        return;
      }
      const body =
        fault === 'mixed up' ? (previous ?? result.body) : result.body;
      previous = result.body;
      response.setHeader('flamingoward-answer', 'done');
      response.end(fault === 'truncated' ? body.subarray(0, 20) : body);
    },
  );
  cleanups.push(
    () => server.stop(),
    () => client.close(),
  );
  return server.address;
}

function createTrace(): standins.Trace {
  const trace = standins.generateTrace('sayeban', 7, 300);
  const events = trace.events.filter((event) => event.type === 'request');
  return { ...trace, events };
}

vitest.test.each([
  ['none', []],
  ['doubled', ['each keyed request runs at most once']],
  ['mixed up', ['every answer is complete and belongs to its request']],
  ['truncated', ['every answer is complete and belongs to its request']],
  [
    'false refusal',
    [
      'each keyed request runs at most once',
      'a request that is not run never ran',
    ],
  ],
] as const)(
  'a daemon with fault "%s" fails exactly the checks that detect this fault',
  async (fault, expected) => {
    const file = standins.parsePlatformFile(
      [
        '[platform]',
        'name = one',
        'log = 127.0.0.1:1',
        'vm_list = 127.0.0.1:2',
        'audit = 127.0.0.1:3',
        '[zone a]',
        'region = r',
        '[backend b]',
        'count = 1',
        'first_address = 127.0.0.1:4',
        'zones = a',
        'per_rack = 1',
        'slots = 64',
        'connections = 64',
      ].join('\n'),
      'one.ini',
    );
    const platform = new standins.Platform(file, { freePorts: true });
    await platform.start();
    cleanups.push(() => platform.stop());
    const backend = platform
      .vmList!.getList()
      .vms.find((vm) => vm.role === 'backend');
    const address = await startForwarder(backend!.address, fault);
    const trace = createTrace();
    vitest
      .expect(standins.parseTrace(standins.formatTrace(trace), 'trace'))
      .toEqual(trace);
    const result = await standins.replayTrace(trace, {
      callers: [address],
      run: 'test',
    });
    const report = standins.buildReport(result, platform.getAudit());
    const failed = report.checks.filter((check) => !check.passed);
    vitest.expect(failed.map((check) => check.name)).toEqual(expected);
    vitest.expect(result.requests.length).toBeGreaterThan(20);
  },
);
