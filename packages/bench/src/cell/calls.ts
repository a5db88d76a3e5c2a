/** HTTP calls of the cell bench to daemons: jobs, release notes and metrics. */
import * as undici from 'undici';
import type * as core from '@flamingoward/core';
import type * as standins from '@flamingoward/standins';

const CALL_TIMEOUT_MS = 5_000;

/** Parameters of a batch job that the bench submits. */
export interface BatchJob {
  readonly name: string;
  readonly region: string;
  readonly count: number;
  readonly cores: number;
  /** Run time of each task in ms; with 0 the task runs until it is stopped. */
  readonly actualMs: number;
}

/** Submits a batch job and returns its id. */
export async function submitJob(
  daemon: standins.Daemon,
  batch: BatchJob,
): Promise<string> {
  const spec: core.jobs.JobSpec = {
    kind: 'batch',
    name: batch.name,
    team: 'catalogue',
    jobClass: 'catalogue',
    count: batch.count,
    size: { cores: batch.cores, memoryMb: 64, gpus: 0 },
    declaredMs: batch.actualMs === 0 ? 3_600_000 : batch.actualMs,
    region: batch.region,
    work: { actualMs: batch.actualMs },
  };
  const { status, text } = await post(`http://${daemon.callers}/jobs`, spec);
  if (status !== 202)
    throw new Error(
      `job ${batch.name} was refused with status ${status}: ${text}`,
    );
  return (JSON.parse(text) as { id: string }).id;
}

/** Publishes a release note and returns status and body of the response. */
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
  const response = await undici.request(
    `http://${daemon.callers}/jobs/${job}`,
    {
      method: 'DELETE',
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    },
  );
  await response.body.dump();
}

/** Fetches a daemon's metrics page and returns its values; a key is the metric's name with its labels. */
export async function fetchMetrics(
  daemon: standins.Daemon,
): Promise<ReadonlyMap<string, number>> {
  const response = await undici.request(`http://${daemon.operators}/metrics`, {
    headers: { authorization: `Bearer ${daemon.operatorsKey}` },
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await response.body.text();
  const values = new Map<string, number>();
  for (const line of text.split('\n')) {
    const separator = line.lastIndexOf(' ');
    if (separator > 0 && !line.startsWith('#'))
      values.set(line.slice(0, separator), Number(line.slice(separator + 1)));
  }
  return values;
}

async function post(
  target: string,
  body: unknown,
  key?: string,
): Promise<{ readonly status: number; readonly text: string }> {
  const response = await undici.request(target, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  return { status: response.statusCode, text: await response.body.text() };
}
