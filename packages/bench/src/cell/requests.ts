/**
 * Measures latency and control overhead of service requests at constant rates, sent to
 * all entry processes in turn.
 */
import * as undici from 'undici';
import type * as cells from './cell.js';
import * as idle from './idle.js';
import * as waits from './waits.js';

/** Measurements at one request rate. */
export interface RequestRow {
  /** Requests sent per second, to all processes in turn. */
  readonly sentPerSecond: number;
  readonly donePerSecond: number;
  /** Requests of the window with another outcome than done, or without a response. */
  readonly notDone: number;
  /** Latency at the caller in ms, which includes the backend server's service time of `SERVICE_TIME_MS`. */
  readonly p50: number;
  readonly p99: number;
  readonly costs: readonly idle.ProcessCost[];
}

/** A service with idempotent requests, which need no record in the log. */
const SERVICE = 'enhance';
const SERVICE_TIME_MS = 10;
const SEND_INTERVAL_MS = 10;
const WARM_UP_MS = 1_500;
const REQUEST_TIMEOUT_MS = 5_000;

interface Outcomes {
  done: number;
  notDone: number;
  readonly latenciesMs: number[];
}

/** Measures each rate in turn. */
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
  let outcomes: Outcomes = { done: 0, notDone: 0, latenciesMs: [] };
  let sent = 0;
  const startMs = performance.now();
  // Open loop: the number of requests due follows the clock, so that slow responses don't lower the rate.
  const timer = setInterval(() => {
    const due = Math.floor(((performance.now() - startMs) * rate) / 1_000);
    for (; sent < due; sent += 1) {
      const pool = pools[sent % pools.length];
      if (pool !== undefined)
        void sendRequest(pool, `${rate}.${sent}`, outcomes);
    }
  }, SEND_INTERVAL_MS);
  try {
    await waits.waitMs(WARM_UP_MS);
    outcomes = { done: 0, notDone: 0, latenciesMs: [] };
    const measured = outcomes;
    const fromMs = performance.now();
    const costs = await idle.measureCosts(cell, windowMs);
    const seconds = (performance.now() - fromMs) / 1_000;
    return {
      sentPerSecond: rate,
      donePerSecond: measured.done / seconds,
      notDone: measured.notDone,
      p50: waits.selectPercentile(measured.latenciesMs, 0.5),
      p99: waits.selectPercentile(measured.latenciesMs, 0.99),
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
  outcomes: Outcomes,
): Promise<void> {
  const startMs = performance.now();
  try {
    const response = await pool.request({
      method: 'GET',
      path: `/services/${SERVICE}/frame?workMs=${SERVICE_TIME_MS}&token=${token}`,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    await response.body.dump();
    if (response.headers['flamingoward-answer'] === 'done') outcomes.done += 1;
    else outcomes.notDone += 1;
    outcomes.latenciesMs.push(performance.now() - startMs);
  } catch {
    outcomes.notDone += 1;
  }
}
