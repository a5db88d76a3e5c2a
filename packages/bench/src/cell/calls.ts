/** Calls of the bench to daemons: jobs, release notes and metrics. */
import * as undici from 'undici';
import type * as core from '@flamingoward/core';
import type * as standins from '@flamingoward/standins';

const CALL_MS = 5_000;

/** What a batch job of the bench needs. */
export interface Load {
  readonly name: string;
  readonly region: string;
  readonly count: number;
  readonly cores: number;
  /** Run time of each task in ms; 0 runs until the worker is stopped. */
  readonly actualMs: number;
}

/** Submits a batch job and returns its id. */
export async function submitJob(
  daemon: standins.Daemon,
  load: Load,
): Promise<string> {
  const spec: core.jobs.JobSpec = {
    kind: 'batch',
    name: load.name,
    team: 'catalogue',
    jobClass: 'catalogue',
    count: load.count,
    size: { cores: load.cores, memoryMb: 64, gpus: 0 },
    declaredMs: load.actualMs === 0 ? 3_600_000 : load.actualMs,
    region: load.region,
    work: { actualMs: load.actualMs },
  };
  const { status, text } = await post(`http://${daemon.callers}/jobs`, spec);
  if (status !== 202) throw new Error(`job ${load.name}: ${status} ${text}`);
  return (JSON.parse(text) as { id: string }).id;
}

/** Publishes a release note and returns status and answer. */
export function publish(
  daemon: standins.Daemon,
  text: string,
): Promise<{ readonly status: number; readonly text: string }> {
  return post(
    `http://${daemon.operators}/releases`,
    { text, publisher: 'bench' },
    daemon.operatorsKey,
  );
}

/** Cancels a job. */
export async function cancelJob(
  daemon: standins.Daemon,
  job: string,
): Promise<void> {
  const answer = await undici.request(`http://${daemon.callers}/jobs/${job}`, {
    method: 'DELETE',
    signal: AbortSignal.timeout(CALL_MS),
  });
  await answer.body.dump();
}

/** Reads the plain values of a daemon's metrics page; labels are part of the name. */
export async function fetchMetrics(
  daemon: standins.Daemon,
): Promise<ReadonlyMap<string, number>> {
  const answer = await undici.request(`http://${daemon.operators}/metrics`, {
    headers: { authorization: `Bearer ${daemon.operatorsKey}` },
    signal: AbortSignal.timeout(CALL_MS),
  });
  const text = await answer.body.text();
  const values = new Map<string, number>();
  for (const line of text.split('\n')) {
    const at = line.lastIndexOf(' ');
    if (at > 0 && !line.startsWith('#'))
      values.set(line.slice(0, at), Number(line.slice(at + 1)));
  }
  return values;
}

async function post(
  target: string,
  body: unknown,
  key?: string,
): Promise<{ readonly status: number; readonly text: string }> {
  const answer = await undici.request(target, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(CALL_MS),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}
