/** Checks the promises by what callers saw and what workers and backend servers counted. */
import type * as standins from '@flamingoward/standins';
import type * as cells from './cell.js';
import * as loads from './load.js';

/** What a promise says about a session, and how it was broken. */
export interface Fault {
  readonly promise: string;
  readonly what: string;
}

/** Waits until all accepted jobs have ended, then lists everything that breaks a promise. */
export async function listFaults(
  cell: cells.Cell,
  load: loads.Load,
): Promise<readonly Fault[]> {
  const jobs = load.list('job', 'done');
  for (const call of jobs) await waitForJob(cell, call);
  const audit = cell.platform.readAudit();
  const executions = sumExecutions(audit);
  return [
    ...checkLimits(audit),
    ...load.calls.flatMap((call) => checkAnswers(cell, call)),
    ...load.calls.flatMap((call) => checkExecutions(call, executions)),
    ...jobs.flatMap((call) => checkTasks(call, audit)),
    ...checkRefusedJobs(cell, load),
    ...(await checkKeys(cell, load)),
  ];
}

async function waitForJob(cell: cells.Cell, call: loads.Call): Promise<void> {
  const id = readJobId(call);
  let state: unknown;
  let turn = 0;
  await cell
    .waitFor(`the end of job ${call.id}`, async () => {
      const name = cell.running[turn % cell.running.length]!;
      turn += 1;
      const reply = await cell.askCallers(name, 'GET', `/jobs/${id}`);
      state = reply?.json.state ?? state;
      return state !== undefined && state !== 'accepted';
    })
    .catch((error: unknown) => {
      throw new Error(`P4: ${String(error)}; last state ${String(state)}`);
    });
}

function readJobId(call: loads.Call): string {
  return String(call.tries.at(-1)?.reply?.json.id);
}

function sumExecutions(
  audit: standins.PlatformAudit,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const server of audit.backends)
    for (const [token, count] of Object.entries(server.executions))
      sums.set(token, (sums.get(token) ?? 0) + count);
  return sums;
}

/** P1 and P2: sizes, slots, connections, and no task in two places. */
function checkLimits(audit: standins.PlatformAudit): readonly Fault[] {
  const servers = audit.backends.filter(
    (server) =>
      server.maxBusy > server.slots ||
      server.maxConnections > server.connectionLimit,
  );
  return [
    ...audit.fleet.overSize.map((id) => ({ promise: 'P1', what: id })),
    ...servers.map(({ id, maxBusy, maxConnections }) => ({
      promise: 'P1',
      what: `${id}: ${maxBusy} slots, ${maxConnections} connections`,
    })),
    ...audit.fleet.doubledTasks.map((what) => ({ promise: 'P2', what })),
  ];
}

/** P3: every try has an answer of a known kind, and a done one is that of the call. */
function checkAnswers(cell: cells.Cell, call: loads.Call): readonly Fault[] {
  const tokens = call.tries.map(({ token }) => token);
  return call.tries.flatMap(({ token, process, reply }) => {
    const fail = (what: string): readonly Fault[] => [
      { promise: 'P3', what: `${token} at ${process}: ${what}` },
    ];
    if (reply === undefined)
      return cell.disturbed.has(process) ? [] : fail('no answer');
    if (call.kind === 'job' && reply.status === 202) return [];
    switch (reply.answer) {
      case 'not-run':
        return reply.status === 503 || reply.status === 429
          ? []
          : fail(`not-run with ${reply.status}: ${JSON.stringify(reply.json)}`);
      case 'unknown':
        return reply.status === 504 ? [] : fail(`unknown with ${reply.status}`);
      case 'done': {
        const { token: ran, padding } = reply.json;
        // The answer of a key may be that of an earlier try.
        const expected = call.kind === 'order' ? tokens : [token];
        return expected.includes(String(ran)) &&
          String(padding).length === call.padding
          ? []
          : fail(`answer of ${String(ran)}`);
      }
      case undefined:
      default:
        return fail(`status ${reply.status} without a kind of answer`);
    }
  });
}

/** P4 and P5: a try that was not run was never executed, a key at most once, a done one once. */
function checkExecutions(
  call: loads.Call,
  executions: ReadonlyMap<string, number>,
): readonly Fault[] {
  if (call.kind === 'job') return [];
  const count = (token: string) => executions.get(token) ?? 0;
  const refused = call.tries.filter(
    (each) => each.reply?.answer === 'not-run' && count(each.token) > 0,
  );
  const faults = refused.map(({ token }) => ({
    promise: 'P4',
    what: `${token} was executed although its answer said not-run`,
  }));
  const total = call.tries.reduce((sum, { token }) => sum + count(token), 0);
  const isDone = loads.readOutcome(call) === 'done';
  if (call.kind === 'order' && (total > 1 || (isDone && total !== 1)))
    faults.push({
      promise: 'P5',
      what: `${call.id} was executed ${total} times`,
    });
  if (isDone && total === 0)
    faults.push({
      promise: 'P3',
      what: `${call.id} is done but wasn't executed`,
    });
  return faults;
}

/** An accepted job isn't lost and no task of it is done twice. */
function checkTasks(
  call: loads.Call,
  audit: standins.PlatformAudit,
): readonly Fault[] {
  const id = readJobId(call);
  const done = audit.fleet.starts.filter(
    (start) => start.jobId === id && start.exit === 'done',
  );
  const indexes = new Set(done.map(({ index }) => index));
  return indexes.size === call.tasks && done.length === call.tasks
    ? []
    : [
        {
          promise: 'P2',
          what: `${call.id}: ${done.length} done attempts of ${indexes.size} tasks instead of ${call.tasks}`,
        },
      ];
}

/** P4: a job whose every answer said not-run isn't in the log. */
function checkRefusedJobs(
  cell: cells.Cell,
  load: loads.Load,
): readonly Fault[] {
  const accepted = new Set(
    cell.platform.log.read('jobs').flatMap(({ body }) => {
      const record = body as { type: string; spec?: { name: string } };
      return record.type === 'accepted' ? [record.spec?.name] : [];
    }),
  );
  return load.calls
    .filter(
      (call) =>
        call.kind === 'job' &&
        call.tries.every(({ reply }) => reply?.answer === 'not-run') &&
        accepted.has(call.id),
    )
    .map(({ id }) => ({ promise: 'P4', what: `${id} was accepted after all` }));
}

/**
 * Each done order is found by its key at the processes that run now. The outcome is
 * recorded after the answer, so the key of an order that a killed process answered
 * may stay unknown.
 */
async function checkKeys(
  cell: cells.Cell,
  load: loads.Load,
): Promise<readonly Fault[]> {
  const faults: Fault[] = [];
  for (const [at, call] of load.list('order', 'done').entries()) {
    const used = call.tries.at(-1)!.process;
    const others = cell.running.filter((name) => name !== used);
    const name = others[at % others.length] ?? cell.running[0]!;
    const states = cell.disturbed.has(used) ? ['done', 'unknown'] : ['done'];
    let state = 'none';
    await cell
      .waitFor(`the outcome of ${call.id}`, async () => {
        const reply = await cell.askCallers(name, 'GET', `/keys/${call.id}`);
        state = String(reply?.json.state);
        return state !== 'open' && reply !== undefined;
      })
      .catch(() => undefined);
    if (!states.includes(state))
      faults.push({ promise: 'P5', what: `${call.id} at ${name}: ${state}` });
  }
  return faults;
}
