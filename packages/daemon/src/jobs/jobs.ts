/**
 * Jobs as callers and operators see them: submission, cancellation, and questions
 * about state. A job exists from the moment its `accepted` record is in the log;
 * every answer says what is certain at that moment.
 */
import * as util from 'node:util';
import * as core from '@flamingoward/core';
import type * as parts from '../types.js';
import type * as check from './check.js';
import * as stores from './stores.js';

/** How long an append may take before the answer is `unknown`. */
const APPEND_MS = 5_000;

/** Time for the owner of a shard to answer a question. */
const ASK_MS = 2_000;

/** How long the answer to a submission waits until this process has read the job back. */
const READ_BACK_MS = 500;

/** What the owner of a shard answers about a job. */
export interface LocalShard {
  readTasks(job: core.ids.JobId): readonly core.jobs.TaskState[] | undefined;
  explain(job: core.ids.JobId): readonly string[];
}

/** What the part needs. */
export interface JobsParts {
  readonly context: parts.PartContext;
  readonly streams: parts.Streams;
  readonly links: parts.Links;
  readonly membership: parts.Membership;
  readonly ownership: parts.Ownership;
  readonly releases: parts.Releases;
  readonly store: stores.JobStore;
  readonly check: check.JobCheck;
  /** Returns a shard that this process decides for. */
  readonly readShard: (shard: core.ids.ShardName) => LocalShard | undefined;
  /** Renders a reason as a sentence. */
  readonly describeReason: (reason: core.reasons.Reason) => string;
}

type Refusal = Extract<parts.SubmitResult, { result: 'refused' }>;

/** Creates the part and answers the questions of other processes about jobs. */
export function createJobs(jobsParts: JobsParts): parts.Jobs {
  const { context, streams, links, ownership, releases, store } = jobsParts;
  const { table } = store;

  async function submit(
    spec: core.jobs.JobSpec,
    key: string | undefined,
  ): Promise<parts.SubmitResult> {
    const id =
      key === undefined
        ? core.generateJobId()
        : core.computeJobId(spec.team, key);
    const known = readRepeat(id, spec);
    if (known !== undefined) return known;
    const built = buildRecord(id, spec);
    if (!('refusal' in built)) return await appendJob(built.record, key);
    if (key === undefined) return built.refusal;
    return await refuseKeyed(id, spec, built.refusal);
  }

  /** Answers a repeated submission; the first one counts. */
  function readRepeat(
    id: core.ids.JobId,
    spec: core.jobs.JobSpec,
  ): parts.SubmitResult | undefined {
    const job = table.jobs.get(id);
    if (job !== undefined && !util.isDeepStrictEqual(job.spec, spec))
      return refuse(400, `the key was used for another job, ${id}`);
    if (job !== undefined || table.ended.has(id))
      return { result: 'accepted', job: id };
    return undefined;
  }

  /** An earlier submission with the key may have been accepted elsewhere; the head of the log tells. */
  async function refuseKeyed(
    id: core.ids.JobId,
    spec: core.jobs.JobSpec,
    refusal: Refusal,
  ): Promise<parts.SubmitResult> {
    try {
      await store.reader.waitForHead();
    } catch {
      return refuse(
        503,
        `${refusal.reason}; the log service is away, so whether an earlier submission with this key was accepted isn't known`,
      );
    }
    return readRepeat(id, spec) ?? refusal;
  }

  function buildRecord(
    id: core.ids.JobId,
    spec: core.jobs.JobSpec,
  ):
    | { readonly record: Extract<core.records.JobRecord, { type: 'accepted' }> }
    | { readonly refusal: Refusal } {
    if (!releases.isReady())
      return {
        refusal: refuse(503, "this process doesn't know the release in force"),
      };
    const state = releases.readState();
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
        acceptedMs: context.timers.readDate(),
      },
    };
  }

  /** The requested region, otherwise the own one, otherwise the first where the job can fit. */
  function chooseRegion(
    spec: core.jobs.JobSpec,
  ): core.ids.RegionName | Refusal {
    const regions = spec.region === undefined ? listRegions() : [spec.region];
    let first: core.reasons.Reason | undefined;
    for (const region of regions) {
      const verdict = jobsParts.check(spec, region);
      if (verdict.admitted) return region;
      first ??= verdict.reason;
      // Only a region where the job can never fit is skipped; a full one isn't.
      if (verdict.reason.reason !== 'never-fits') break;
    }
    if (first === undefined) return refuse(503, 'no region has workers');
    const status = first.reason === 'never-fits' ? 400 : 429;
    return refuse(status, jobsParts.describeReason(first));
  }

  function listRegions(): readonly core.ids.RegionName[] {
    const own = context.identity.region;
    const others = new Set<core.ids.RegionName>();
    for (const vm of jobsParts.membership.readVms())
      if (vm.role === 'worker' && vm.region !== own) others.add(vm.region);
    return [own, ...[...others].sort()];
  }

  async function appendJob(
    record: Extract<core.records.JobRecord, { type: 'accepted' }>,
    key: string | undefined,
  ): Promise<parts.SubmitResult> {
    const outcome = await streams.append('jobs', record, {
      flush: 'now',
      giveUpMs: APPEND_MS,
    });
    context.metrics.count('jobs_submitted', { outcome: outcome.outcome });
    switch (outcome.outcome) {
      case 'appended':
        await waitForOwn(outcome.offset);
        return (
          readRepeat(record.job, record.spec) ?? {
            result: 'accepted',
            job: record.job,
          }
        );
      case 'unknown':
        return { result: 'unknown', job: record.job };
      case 'not-appended':
        return refuse(503, describeAway(outcome.reason, key));
    }
  }

  /** Lets the caller ask this process about the job at once; a slow reader doesn't hold up the answer. */
  async function waitForOwn(offset: core.ids.Offset): Promise<void> {
    await Promise.race([
      store.reader.waitFor(offset + 1),
      core.waitFor(context.timers, 'jobs.read-back', READ_BACK_MS),
    ]);
  }

  function describeAway(
    reason: 'buffer-full' | 'log-away',
    key: string | undefined,
  ): string {
    const text =
      reason === 'log-away'
        ? 'this submission was not accepted: the log service is away'
        : 'this submission was not accepted: too many records wait for the log service';
    return key === undefined
      ? text
      : `${text}; whether an earlier one with this key was accepted isn't known`;
  }

  async function cancel(
    job: core.ids.JobId,
    by: string,
  ): ReturnType<parts.Jobs['cancel']> {
    if (!table.jobs.has(job)) {
      // The job may have been accepted elsewhere a moment ago.
      await store.reader.waitForHead().catch(() => undefined);
    }
    if (!table.jobs.has(job)) return { outcome: 'unknown-job' };
    const body: core.records.JobRecord = { type: 'cancel', job, by };
    return await streams.append('jobs', body, {
      flush: 'grouped',
      giveUpMs: APPEND_MS,
    });
  }

  async function askOwner<Kind extends core.messages.Answer['kind']>(
    shard: core.ids.ShardName,
    question: core.messages.Question,
    kind: Kind,
  ): Promise<Extract<core.messages.Answer, { kind: Kind }> | undefined> {
    const owner = ownership.readOwner(shard);
    if (owner === undefined || owner.self) return undefined;
    try {
      const answer = await links.ask(owner.instance, question, ASK_MS);
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

  async function readTasks(
    id: core.ids.JobId,
  ): Promise<readonly core.jobs.TaskState[] | undefined> {
    const job = table.jobs.get(id);
    if (job === undefined) return undefined;
    const local = jobsParts.readShard(job.shard);
    if (local !== undefined) return local.readTasks(id);
    const question = { kind: 'job.detail', job: id } as const;
    const answer = await askOwner(job.shard, question, 'job.detail.answer');
    return answer?.found === true ? answer.tasks : undefined;
  }

  async function explain(id: core.ids.JobId): Promise<readonly string[]> {
    const job = table.jobs.get(id);
    if (job === undefined) return [`${id} isn't known to this process`];
    const local = jobsParts.readShard(job.shard);
    if (local !== undefined) return [...describeJob(job), ...local.explain(id)];
    const question = { kind: 'job.explain', job: id } as const;
    const answer = await askOwner(job.shard, question, 'job.explain.answer');
    const detail = answer?.lines ?? [
      `the owner of ${job.shard} doesn't answer, so the state of its tasks isn't known here`,
    ];
    return [...describeJob(job), ...detail];
  }

  links.handle('job.detail', (question) => {
    const tasks = readLocal(question.job)?.readTasks(question.job);
    return Promise.resolve({
      kind: 'job.detail.answer',
      found: tasks !== undefined,
      tasks: tasks ?? [],
    });
  });
  links.handle('job.explain', (question) => {
    const shard = readLocal(question.job);
    if (shard !== undefined)
      return Promise.resolve({
        kind: 'job.explain.answer',
        lines: shard.explain(question.job),
      });
    return Promise.resolve({
      kind: 'refused',
      code: 'not-owner',
      message: `this process doesn't decide for ${question.job}`,
    });
  });

  function readLocal(id: core.ids.JobId): LocalShard | undefined {
    const job = table.jobs.get(id);
    return job === undefined ? undefined : jobsParts.readShard(job.shard);
  }

  return {
    submit,
    cancel,
    read: (id) => table.jobs.get(id),
    list: () => [...table.jobs.values()],
    readTasks,
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
