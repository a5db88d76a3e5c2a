/**
 * Checks the promises P1 to P5 after a test, from the answers that callers received and
 * from the audits of workers and backend servers.
 */
import type * as standins from '@flamingoward/standins';
import type * as cells from './cell.js';
import * as loads from './load.js';

/** One observed violation of a promise. */
export interface Violation {
  readonly promise: string;
  readonly description: string;
}

/** Waits until all accepted jobs have ended, then lists all violations of promises. */
export async function listViolations(
  cell: cells.Cell,
  load: loads.Load,
): Promise<readonly Violation[]> {
  const jobs = load.listCalls('job', 'done');
  for (const call of jobs) await waitForJob(cell, call);
  const audit = cell.platform.getAudit();
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
  const id = getJobId(call);
  let state: unknown;
  let polls = 0;
  await cell
    .waitFor(`the end of job ${call.id}`, async () => {
      const name = cell.running[polls % cell.running.length]!;
      polls += 1;
      const reply = await cell.requestCallersApi(name, 'GET', `/jobs/${id}`);
      state = reply?.json.state ?? state;
      return state !== undefined && state !== 'accepted';
    })
    .catch((error: unknown) => {
      throw new Error(`P4: ${String(error)}; last state ${String(state)}`);
    });
}

function getJobId(call: loads.Call): string {
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

/** P1: no worker over its size, no backend server over its slots or connections. P2: no task running twice at once. */
function checkLimits(audit: standins.PlatformAudit): readonly Violation[] {
  const servers = audit.backends.filter(
    (server) =>
      server.maxBusy > server.slots ||
      server.maxConnections > server.connectionLimit,
  );
  return [
    ...audit.fleet.overSize.map((id) => ({ promise: 'P1', description: id })),
    ...servers.map(({ id, maxBusy, maxConnections }) => ({
      promise: 'P1',
      description: `${id}: peak of ${maxBusy} busy slots and ${maxConnections} connections`,
    })),
    ...audit.fleet.doubledTasks.map((description) => ({
      promise: 'P2',
      description,
    })),
  ];
}

/** P3: every try gets an answer of a known kind with a matching status, and a done answer belongs to the call. */
function checkAnswers(
  cell: cells.Cell,
  call: loads.Call,
): readonly Violation[] {
  const tokens = call.tries.map(({ token }) => token);
  return call.tries.flatMap(({ token, process, reply }) => {
    const fail = (description: string): readonly Violation[] => [
      { promise: 'P3', description: `${token} at ${process}: ${description}` },
    ];
    if (reply === undefined)
      return cell.mayBreakConnections.has(process) ? [] : fail('no answer');
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
        // The stored answer of an idempotency key may come from an earlier try of the same call.
        const expected = call.kind === 'order' ? tokens : [token];
        return expected.includes(String(ran)) &&
          String(padding).length === call.padding
          ? []
          : fail(
              `done answer belongs to ${String(ran)}, or its padding differs from ${call.padding} bytes`,
            );
      }
      case undefined:
      default:
        return fail(`status ${reply.status} without a known answer header`);
    }
  });
}

/**
 * P4: a try answered not-run was not executed. P5: an order was executed at most once, and
 * exactly once when it is done. P3: a done call was executed.
 */
function checkExecutions(
  call: loads.Call,
  executions: ReadonlyMap<string, number>,
): readonly Violation[] {
  if (call.kind === 'job') return [];
  const countExecutions = (token: string) => executions.get(token) ?? 0;
  const executedRefusals = call.tries.filter(
    (each) =>
      each.reply?.answer === 'not-run' && countExecutions(each.token) > 0,
  );
  const violations = executedRefusals.map(({ token }) => ({
    promise: 'P4',
    description: `${token} was executed although its answer said not-run`,
  }));
  const total = call.tries.reduce(
    (sum, { token }) => sum + countExecutions(token),
    0,
  );
  const isDone = loads.getOutcome(call) === 'done';
  if (call.kind === 'order' && (total > 1 || (isDone && total !== 1)))
    violations.push({
      promise: 'P5',
      description: `${call.id} was executed ${total} times`,
    });
  if (isDone && total === 0)
    violations.push({
      promise: 'P3',
      description: `${call.id} is done but was never executed`,
    });
  return violations;
}

/** P2: every task of an accepted job is done exactly once. */
function checkTasks(
  call: loads.Call,
  audit: standins.PlatformAudit,
): readonly Violation[] {
  const id = getJobId(call);
  const done = audit.fleet.starts.filter(
    (start) => start.jobId === id && start.exit === 'done',
  );
  const indexes = new Set(done.map(({ index }) => index));
  return indexes.size === call.tasks && done.length === call.tasks
    ? []
    : [
        {
          promise: 'P2',
          description: `${call.id}: ${done.length} done attempts of ${indexes.size} tasks instead of ${call.tasks}`,
        },
      ];
}

/** P4: a job that every try answered with not-run has no acceptance in the log. */
function checkRefusedJobs(
  cell: cells.Cell,
  load: loads.Load,
): readonly Violation[] {
  const accepted = new Set(
    cell.platform.log.getRecords('jobs').flatMap(({ body }) => {
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
    .map(({ id }) => ({
      promise: 'P4',
      description: `${id} was accepted after all`,
    }));
}

/**
 * P5: another running process returns the outcome of each done order by its key. The
 * outcome is recorded after the answer is sent, so it may stay unknown for an order that a
 * killed or paused process answered.
 */
async function checkKeys(
  cell: cells.Cell,
  load: loads.Load,
): Promise<readonly Violation[]> {
  const violations: Violation[] = [];
  for (const [at, call] of load.listCalls('order', 'done').entries()) {
    const answeredBy = call.tries.at(-1)!.process;
    const others = cell.running.filter((name) => name !== answeredBy);
    const name = others[at % others.length] ?? cell.running[0]!;
    const states = cell.mayBreakConnections.has(answeredBy)
      ? ['done', 'unknown']
      : ['done'];
    let state = 'none';
    await cell
      .waitFor(`the outcome of ${call.id}`, async () => {
        const reply = await cell.requestCallersApi(
          name,
          'GET',
          `/keys/${call.id}`,
        );
        state = String(reply?.json.state);
        return state !== 'open' && reply !== undefined;
      })
      .catch(() => undefined);
    if (!states.includes(state))
      violations.push({
        promise: 'P5',
        description: `${call.id} at ${name}: ${state}`,
      });
  }
  return violations;
}
