/** Operators' routes for jobs and for explanations of requests. */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';
import * as http from './http.js';
import * as jobSpec from '../jobs/spec.js';

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 1_000;

/** Explains requests that this process handled. */
export interface RequestExplainer {
  /** Lines of text; undefined when the request isn't known to this process. */
  explain(
    id: string,
  ): Promise<readonly string[] | undefined> | readonly string[] | undefined;
}

/** Builds the routes that list, submit, show, cancel and explain jobs. */
export function buildJobRoutes(jobs: types.Jobs): readonly http.Route[] {
  return [
    {
      method: 'GET',
      path: '/jobs',
      handle: ({ query }) => listJobs(jobs, query),
    },
    {
      method: 'POST',
      path: '/jobs',
      handle: ({ body, headers }) =>
        submitJob(jobs, body, headers['idempotency-key']),
    },
    {
      method: 'GET',
      path: '/jobs/:id',
      handle: ({ params }) => describeJob(jobs, params[0] ?? ''),
    },
    {
      method: 'DELETE',
      path: '/jobs/:id',
      handle: ({ params, query }) =>
        cancelJob(jobs, params[0] ?? '', query.get('by') ?? 'operator'),
    },
    {
      method: 'GET',
      path: '/jobs/:id/explain',
      handle: ({ params }) => explainJob(jobs, params[0] ?? ''),
    },
  ];
}

/** Builds the route that explains requests. */
export function buildRequestRoutes(
  requests: RequestExplainer,
): readonly http.Route[] {
  return [
    {
      method: 'GET',
      path: '/requests/:id/explain',
      handle: async ({ params }) => {
        const id = params[0] ?? '';
        const lines = await requests.explain(id);
        return lines === undefined
          ? http.refuse(
              404,
              `request ${id} isn't known to this process; ask the process whose answer carried the id, soon after the answer`,
            )
          : { status: 200, body: { id, lines } };
      },
    },
  ];
}

async function listJobs(
  jobs: types.Jobs,
  query: URLSearchParams,
): Promise<http.Reply> {
  const limit = Number(query.get('limit') ?? DEFAULT_LIMIT);
  if (!Number.isSafeInteger(limit) || limit < 1 || limit > MAX_LIMIT)
    return http.refuse(
      400,
      `limit: expected a whole number from 1 to ${MAX_LIMIT}`,
    );
  const [team, state] = [query.get('team'), query.get('state')];
  const listing = await jobs.readList();
  const matching = listing.jobs
    .filter((job) => team === null || job.spec.team === team)
    .filter((job) => state === null || job.state === state)
    .sort((a, b) => b.acceptedAt - a.acceptedAt);
  return {
    status: 200,
    body: {
      total: matching.length,
      jobs: matching.slice(0, limit),
      ...(listing.isIncomplete && { incomplete: true }),
    },
  };
}

async function submitJob(
  jobs: types.Jobs,
  body: string,
  key: string | string[] | undefined,
): Promise<http.Reply> {
  const result = jobSpec.parseJobSpec(Buffer.from(body), undefined);
  if (!result.parsed)
    return {
      status: 400,
      body: { error: 'the job is refused', faults: result.faults },
    };
  const answer = await jobs.submit(
    result.spec,
    Array.isArray(key) ? key[0] : key,
  );
  switch (answer.result) {
    case 'accepted':
      return { status: 202, body: { id: answer.job } };
    case 'refused':
      return {
        status: answer.status,
        body: { error: answer.reason, answer: 'not-run' },
      };
    case 'unknown':
      return {
        status: 504,
        body: {
          error: `the log service did not confirm the record of job ${answer.job}, so whether it is accepted isn't known; ask for the job in a moment`,
          answer: 'unknown',
          id: answer.job,
        },
      };
  }
}

function refuseUnknownJob(id: string): http.Reply {
  return http.refuse(
    404,
    `there is no job ${id}; "flamingoward job list" lists the jobs`,
  );
}

function refuseUnreadableJob(id: string): http.Reply {
  return http.refuse(
    503,
    `the log service does not answer, so whether there is a job ${id} isn't known`,
  );
}

async function describeJob(jobs: types.Jobs, id: string): Promise<http.Reply> {
  const found = await jobs.find(id);
  switch (found.lookup) {
    case 'none':
      return refuseUnknownJob(id);
    case 'unreadable':
      return refuseUnreadableJob(id);
    case 'found':
      return await describeFoundJob(jobs, found);
  }
}

async function describeFoundJob(
  jobs: types.Jobs,
  { job, isStale }: Extract<types.JobLookup, { lookup: 'found' }>,
): Promise<http.Reply> {
  const { id } = job;
  const tasks = await jobs.fetchTasks(id);
  return {
    status: 200,
    body: {
      job,
      ...(isStale && { stale: true }),
      counts: countStates(tasks ?? []),
      // Only the owner of the shard knows the states, and it can't tell them now.
      ...(tasks === undefined ? { tasksUnknown: true } : { tasks }),
    },
  };
}

function countStates(
  tasks: readonly core.jobs.TaskState[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const task of tasks) {
    const state = task.state === 'ended' ? task.result : task.state;
    counts[state] = (counts[state] ?? 0) + 1;
  }
  return counts;
}

async function cancelJob(
  jobs: types.Jobs,
  id: string,
  by: string,
): Promise<http.Reply> {
  if (!/^[\w.@+-]{1,63}$/.test(by))
    return http.refuse(
      400,
      'by: expected a name of at most 63 letters, digits and ._@+-',
    );
  const outcome = await jobs.cancel(id, by);
  switch (outcome.outcome) {
    case 'appended':
      return { status: 202, body: { id, cancelled: true } };
    case 'unknown-job':
      return refuseUnknownJob(id);
    case 'not-appended':
      return {
        status: 503,
        body: {
          error: `job ${id} is not cancelled: ${outcome.reason === 'log-away' ? 'the log service does not answer' : 'too many records wait for the log service'}; try again`,
          answer: 'not-run',
        },
      };
    case 'unknown':
      return {
        status: 504,
        body: {
          error: `the log service did not confirm the cancellation of job ${id}; cancel it again, which does no harm`,
          answer: 'unknown',
        },
      };
  }
}

async function explainJob(jobs: types.Jobs, id: string): Promise<http.Reply> {
  const found = await jobs.find(id);
  switch (found.lookup) {
    case 'none':
      return refuseUnknownJob(id);
    case 'unreadable':
      return refuseUnreadableJob(id);
    case 'found':
      return { status: 200, body: { id, lines: await jobs.explain(id) } };
  }
}
