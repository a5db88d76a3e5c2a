/**
 * Submission, cancellation and queries of jobs, for callers and operators at any
 * process. A job exists once its `accepted` record is in the log. When the log doesn't
 * confirm a record, the answer is `unknown` rather than a success or a refusal.
 */
import * as util from 'node:util';
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as check from './check.js';
import * as stores from './stores.js';

/** Time for an append to be confirmed; afterwards its outcome is `unknown`. */
const APPEND_TIMEOUT_MS = 5_000;

/** Time for the owner of a shard to answer a query. */
const OWNER_TIMEOUT_MS = 2_000;

/** Longest time that the answer to a submission waits until this process has read the job from the log. */
const READ_BACK_TIMEOUT_MS = 500;

/** Queries about jobs that the owner of a shard answers. */
export interface LocalShard {
  getTasks(job: core.ids.JobId): readonly core.jobs.TaskState[] | undefined;
  explain(job: core.ids.JobId): readonly string[] | undefined;
}

/** Dependencies of the jobs component. */
export interface JobsOptions {
  readonly context: types.PartContext;
  readonly streams: types.Streams;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly ownership: types.Ownership;
  readonly releases: types.Releases;
  readonly store: stores.JobStore;
  readonly check: check.JobCheck;
  /** Returns a shard that this process owns; undefined for any other shard. */
  readonly getLocalShard: (shard: core.ids.ShardName) => LocalShard | undefined;
  /** Formats a reason as a sentence. */
  readonly describeReason: (reason: core.reasons.Reason) => string;
}

type Refusal = Extract<types.SubmitResult, { result: 'refused' }>;

/** Creates the component and registers handlers for the job queries of other processes. */
export function createJobs(options: JobsOptions): types.Jobs {
  const { context, streams, links, ownership, releases, store } = options;
  const { table } = store;

  async function submit(
    spec: core.jobs.JobSpec,
    key: string | undefined,
  ): Promise<types.SubmitResult> {
    const id =
      key === undefined
        ? core.generateJobId()
        : core.computeJobId(spec.team, key);
    const earlier = findEarlierSubmission(id, spec);
    if (earlier !== undefined) return earlier;
    const built = buildAcceptedRecord(id, spec);
    if (!('refusal' in built)) return await appendJob(built.record, key);
    if (key === undefined) return built.refusal;
    return await confirmRefusal(id, spec, built.refusal);
  }

  /** Returns the answer to a repeated submission; undefined when the job isn't known. The first submission counts. */
  function findEarlierSubmission(
    id: core.ids.JobId,
    spec: core.jobs.JobSpec,
  ): types.SubmitResult | undefined {
    const job = table.jobs.get(id);
    if (job !== undefined && !util.isDeepStrictEqual(job.spec, spec))
      return refuse(400, `the key was used for another job, ${id}`);
    if (job !== undefined || table.ended.has(id))
      return { result: 'accepted', job: id };
    return undefined;
  }

  /**
   * Refuses a submission with a key only after reading the log up to its head: another
   * process may have accepted an earlier submission with the same key.
   */
  async function confirmRefusal(
    id: core.ids.JobId,
    spec: core.jobs.JobSpec,
    refusal: Refusal,
  ): Promise<types.SubmitResult> {
    try {
      await store.reader.waitForHead();
    } catch {
      return refuse(
        503,
        `${refusal.reason}; the log service does not answer, so whether an earlier submission with this key was accepted isn't known`,
      );
    }
    return findEarlierSubmission(id, spec) ?? refusal;
  }

  function buildAcceptedRecord(
    id: core.ids.JobId,
    spec: core.jobs.JobSpec,
  ):
    | { readonly record: Extract<core.records.JobRecord, { type: 'accepted' }> }
    | { readonly refusal: Refusal } {
    if (!releases.isReady())
      return {
        refusal: refuse(503, "this process doesn't know the release in force"),
      };
    const state = releases.getState();
    const jobClass = state.classes.get(spec.jobClass);
    if (jobClass === undefined)
      return {
        refusal: refuse(400, `no class ${spec.jobClass} in ${state.current}`),
      };
    if (!state.teams.has(spec.team))
      return {
        refusal: refuse(400, `no team ${spec.team} in ${state.current}`),
      };
    const fault = checkSpec(spec);
    if (fault !== undefined) return { refusal: refuse(400, fault) };
    const region = chooseRegion(spec);
    if (typeof region !== 'string') return { refusal: region };
    return {
      record: {
        type: 'accepted',
        job: id,
        spec,
        urgency: jobClass.urgency,
        shard: stores.formatWorkersShard(region),
        release: state.current,
        acceptedMs: context.timers.getDate(),
      },
    };
  }

  /**
   * Chooses the requested region; without one, the region of this process, or the first
   * other region where the job can fit.
   */
  function chooseRegion(
    spec: core.jobs.JobSpec,
  ): core.ids.RegionName | Refusal {
    const regions = spec.region === undefined ? listRegions() : [spec.region];
    let firstReason: core.reasons.Reason | undefined;
    for (const region of regions) {
      const verdict = options.check(spec, region);
      if (verdict.admitted) return region;
      firstReason ??= verdict.reason;
      // Skips only regions where the job can never fit. A region at its limits ends the search.
      if (verdict.reason.reason !== 'never-fits') break;
    }
    if (firstReason === undefined) return refuse(503, 'no region has workers');
    const status = firstReason.reason === 'never-fits' ? 400 : 429;
    return refuse(status, options.describeReason(firstReason));
  }

  function listRegions(): readonly core.ids.RegionName[] {
    const ownRegion = context.identity.region;
    const others = new Set<core.ids.RegionName>();
    for (const vm of options.membership.listVms())
      if (vm.role === 'worker' && vm.region !== ownRegion)
        others.add(vm.region);
    return [ownRegion, ...[...others].sort()];
  }

  async function appendJob(
    record: Extract<core.records.JobRecord, { type: 'accepted' }>,
    key: string | undefined,
  ): Promise<types.SubmitResult> {
    const outcome = await streams.append('jobs', record, {
      flush: 'now',
      giveUpMs: APPEND_TIMEOUT_MS,
    });
    context.metrics.count('jobs_submitted', { outcome: outcome.outcome });
    switch (outcome.outcome) {
      case 'appended':
        await waitForReadBack(outcome.offset);
        return (
          findEarlierSubmission(record.job, record.spec) ?? {
            result: 'accepted',
            job: record.job,
          }
        );
      case 'unknown':
        return { result: 'unknown', job: record.job };
      case 'not-appended':
        return refuse(503, describeNotAppended(outcome.reason, key));
    }
  }

  /** Waits until the caller can query the job at this process, but not longer than READ_BACK_TIMEOUT_MS. */
  async function waitForReadBack(offset: core.ids.Offset): Promise<void> {
    await Promise.race([
      store.reader.waitFor(offset + 1),
      core.waitFor(context.timers, 'jobs.read-back', READ_BACK_TIMEOUT_MS),
    ]);
  }

  function describeNotAppended(
    reason: 'buffer-full' | 'log-away',
    key: string | undefined,
  ): string {
    const text =
      reason === 'log-away'
        ? 'this submission was not accepted: the log service does not answer'
        : 'this submission was not accepted: too many records wait for the log service';
    return key === undefined
      ? text
      : `${text}; whether an earlier one with this key was accepted isn't known`;
  }

  /** Reads the jobs up to the head of the log; returns false when the log doesn't answer. */
  function tryRefresh(): Promise<boolean> {
    return store.reader.waitForHead().then(
      () => true,
      () => false,
    );
  }

  async function readList(): Promise<types.JobListing> {
    const isIncomplete = !(await tryRefresh());
    return { jobs: [...table.jobs.values()], isIncomplete };
  }

  async function find(id: core.ids.JobId): Promise<types.JobLookup> {
    const known = table.jobs.get(id);
    if (known !== undefined) return await buildFound(known);
    // Another process may have accepted the job, and its record hasn't been read here yet.
    if (!(await tryRefresh())) return { lookup: 'unreadable' };
    const job = table.jobs.get(id);
    return job === undefined
      ? { lookup: 'none' }
      : { lookup: 'found', job, isStale: false };
  }

  async function buildFound(known: core.jobs.Job): Promise<types.JobLookup> {
    if (known.state !== 'accepted')
      return { lookup: 'found', job: known, isStale: false };
    const isAway = streams.getUnreachableSinceMs() !== undefined;
    // A process that has just started may be in the middle of the log.
    const isBehind = store.reader.getHeadReadMs() === undefined;
    const isStale = isAway || (isBehind && !(await tryRefresh()));
    return {
      lookup: 'found',
      job: table.jobs.get(known.id) ?? known,
      isStale,
    };
  }

  async function cancel(
    job: core.ids.JobId,
    by: string,
  ): ReturnType<types.Jobs['cancel']> {
    const found = await find(job);
    switch (found.lookup) {
      case 'none':
        return { outcome: 'unknown-job' };
      case 'unreadable':
        return { outcome: 'not-appended', reason: 'log-away' };
      case 'found':
        break;
    }
    const body: core.records.JobRecord = { type: 'cancel', job, by };
    return await streams.append('jobs', body, {
      flush: 'grouped',
      giveUpMs: APPEND_TIMEOUT_MS,
    });
  }

  async function askOwner<Kind extends core.messages.Answer['kind']>(
    shard: core.ids.ShardName,
    question: core.messages.Question,
    kind: Kind,
  ): Promise<Extract<core.messages.Answer, { kind: Kind }> | undefined> {
    const owner = ownership.getOwner(shard);
    if (owner === undefined || owner.self) return undefined;
    try {
      const answer = await links.ask(
        owner.instance,
        question,
        OWNER_TIMEOUT_MS,
      );
      return answer.kind === kind
        ? (answer as Extract<core.messages.Answer, { kind: Kind }>)
        : undefined;
    } catch (error) {
      context.log.write('debug', 'jobs.ask.failed', {
        shard,
        owner: owner.process,
        error: core.describeError(error),
      });
      return undefined;
    }
  }

  async function fetchTasks(
    id: core.ids.JobId,
  ): Promise<readonly core.jobs.TaskState[] | undefined> {
    const job = table.jobs.get(id);
    if (job === undefined) return undefined;
    const local = options.getLocalShard(job.shard);
    if (local !== undefined) return local.getTasks(id);
    const question = { kind: 'job.detail', job: id } as const;
    const answer = await askOwner(job.shard, question, 'job.detail.answer');
    return answer?.found === true ? answer.tasks : undefined;
  }

  async function explain(id: core.ids.JobId): Promise<readonly string[]> {
    const job = table.jobs.get(id);
    if (job === undefined) return [`${id} isn't known to this process`];
    const lines = await fetchExplanation(job);
    const detail = lines ?? [
      `the owner of ${job.shard} doesn't answer or is taking over, so the states of the tasks aren't known`,
    ];
    return [...describeJob(job), ...detail];
  }

  async function fetchExplanation(
    job: core.jobs.Job,
  ): Promise<readonly string[] | undefined> {
    const local = options.getLocalShard(job.shard);
    if (local !== undefined) return local.explain(job.id);
    const question = { kind: 'job.explain', job: job.id } as const;
    const answer = await askOwner(job.shard, question, 'job.explain.answer');
    return answer?.lines;
  }

  links.handle('job.detail', (question) => {
    const tasks = findLocalShard(question.job)?.getTasks(question.job);
    return Promise.resolve({
      kind: 'job.detail.answer',
      found: tasks !== undefined,
      tasks: tasks ?? [],
    });
  });
  links.handle('job.explain', (question) => {
    const lines = findLocalShard(question.job)?.explain(question.job);
    if (lines !== undefined)
      return Promise.resolve({ kind: 'job.explain.answer', lines });
    return Promise.resolve({
      kind: 'refused',
      code: 'not-owner',
      message: `this process doesn't decide for ${question.job}`,
    });
  });

  function findLocalShard(id: core.ids.JobId): LocalShard | undefined {
    const job = table.jobs.get(id);
    return job === undefined ? undefined : options.getLocalShard(job.shard);
  }

  return {
    submit,
    cancel,
    get: (id) => table.jobs.get(id),
    find,
    readList,
    fetchTasks,
    explain,
  };
}

function refuse(status: Refusal['status'], reason: string): Refusal {
  return { result: 'refused', status, reason };
}

function checkSpec(spec: core.jobs.JobSpec): string | undefined {
  if (!Number.isInteger(spec.count) || spec.count < 1)
    return 'count must be a whole number from 1';
  const { cores, memoryMb, gpus } = spec.size;
  const amounts = [cores, memoryMb, gpus];
  if (amounts.some((amount) => !Number.isFinite(amount) || amount < 0))
    return 'sizes must be numbers from 0';
  if (!amounts.some((amount) => amount > 0))
    return 'a task must need at least one resource';
  if (!Number.isInteger(gpus)) return 'gpus must be a whole number';
  return undefined;
}

function describeJob(job: core.jobs.Job): readonly string[] {
  const lines = [
    `${job.id} was accepted under ${job.release} for ${job.shard} with urgency ${job.urgency}`,
  ];
  if (job.cancelRequested) lines.push('its cancellation is in the log');
  if (job.state !== 'accepted')
    lines.push(
      `it ended as ${job.state}: ${job.endReason ?? 'no reason given'}`,
    );
  return lines;
}
