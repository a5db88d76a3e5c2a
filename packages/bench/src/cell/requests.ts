/** Cost of requests at entry processes and at the owners of service shards. */
import * as undici from 'undici';
import type * as cells from './cell.js';
import * as idle from './idle.js';
import * as waits from './waits.js';

/** One rate. */
export interface RequestRow {
  /** Requests sent each second, at all processes in turn. */
  readonly sentPerSecond: number;
  readonly donePerSecond: number;
  /** Requests of the window with another answer, or none. */
  readonly notDone: number;
  /** Time of the whole request at the caller, in ms, of which the backend server worked `WORK_MS`. */
  readonly p50: number;
  readonly p99: number;
  readonly costs: readonly idle.ProcessCost[];
}

/** Service whose requests are idempotent and so need no record in the log. */
const SERVICE = 'enhance';
const WORK_MS = 10;
const TICK_MS = 10;
const WARM_UP_MS = 1_500;
const CALL_MS = 5_000;

interface Answers {
  done: number;
  notDone: number;
  readonly tookMs: number[];
}

/** Sends requests at each rate in turn. */
export async function measureRequests(
  cell: cells.Cell,
  rates: readonly number[],
  windowMs: number,
): Promise<readonly RequestRow[]> {
  const rows: RequestRow[] = [];
  for (const rate of rates) rows.push(await measureRate(cell, rate, windowMs));
  return rows;
}

async function measureRate(
  cell: cells.Cell,
  rate: number,
  windowMs: number,
): Promise<RequestRow> {
  const pools = cell.daemons.map(
    ({ callers }) => new undici.Pool(`http://${callers}`, { connections: 64 }),
  );
  let answers: Answers = { done: 0, notDone: 0, tookMs: [] };
  let sent = 0;
  const startMs = performance.now();
  // Requests are sent by the clock, so that slow answers don't lower the rate.
  const timer = setInterval(() => {
    const due = Math.floor(((performance.now() - startMs) * rate) / 1_000);
    for (; sent < due; sent += 1) {
      const pool = pools[sent % pools.length];
      if (pool !== undefined)
        void sendRequest(pool, `${rate}.${sent}`, answers);
    }
  }, TICK_MS);
  try {
    await waits.waitMs(WARM_UP_MS);
    answers = { done: 0, notDone: 0, tookMs: [] };
    const counted = answers;
    const fromMs = performance.now();
    const costs = await idle.measureCosts(cell, windowMs);
    const seconds = (performance.now() - fromMs) / 1_000;
    return {
      sentPerSecond: rate,
      donePerSecond: counted.done / seconds,
      notDone: counted.notDone,
      p50: waits.selectPercentile(counted.tookMs, 0.5),
      p99: waits.selectPercentile(counted.tookMs, 0.99),
      costs,
    };
  } finally {
    clearInterval(timer);
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

async function sendRequest(
  pool: undici.Pool,
  token: string,
  answers: Answers,
): Promise<void> {
  const startMs = performance.now();
  try {
    const reply = await pool.request({
      method: 'GET',
      path: `/services/${SERVICE}/frame?workMs=${WORK_MS}&token=${token}`,
      signal: AbortSignal.timeout(CALL_MS),
    });
    await reply.body.dump();
    if (reply.headers['flamingoward-answer'] === 'done') answers.done += 1;
    else answers.notDone += 1;
    answers.tookMs.push(performance.now() - startMs);
  } catch {
    answers.notDone += 1;
  }
}
