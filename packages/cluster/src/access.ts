/**
 * Decides which requests are served and which jobs they may see: by the route, the key
 * and the age of the configuration. A job belongs to the workspace whose key submitted it;
 * its record names the workspace and a fingerprint of the key, so that its caller finds it
 * also after the key has moved to another workspace.
 */
import * as crypto from 'node:crypto';
import type * as core from '@flamingoward/core';
import type * as configurations from './configuration.js';
import type * as ports from './ports.js';

/** Length of a fingerprint in hexadecimal digits; keys of one installation are far fewer than 2^32. */
const FINGERPRINT_LENGTH = 16;
const OUTDATED = 'the keys that this node has read may be out of date';

/** What the records tell of the origin of a job. */
export interface JobOrigin {
  readonly queue?: core.workloads.QueueName;
  /** Absent for jobs of public routes and of earlier builds. */
  readonly workspace?: core.workloads.WorkspaceName;
  readonly submitter?: string;
}

/** Whether a request is served, and if so, which jobs it may see. */
export type AccessDecision =
  | {
      readonly decision: 'allowed';
      /** Undefined when requests need no key, so that it may see every job. */
      readonly caller: core.clusterMessages.JobCaller | undefined;
      /** Why the key of a request to a public route may or may not be valid; its job can't be told not to exist then. */
      readonly doubt?: string;
    }
  | { readonly decision: 'unauthorized'; readonly why: string }
  /** The configuration may be too old to tell. */
  | { readonly decision: 'outdated'; readonly why: string };

/** Decides about requests. */
export interface AccessPolicy {
  decide(
    route: ports.Route,
    credentials: ports.Credentials | undefined,
  ): AccessDecision;
}

/**
 * Creates the policy. Known keys are accepted until the configuration was last read
 * `boundMs` ago, without a bound if that is undefined.
 */
export function createAccessPolicy(
  configuration: configurations.ConfigurationView,
  boundMs: number | undefined,
): AccessPolicy {
  let table: ReadonlyMap<string, core.workloads.WorkspaceName> = new Map();
  let tableOf: readonly ports.Workspace[] = [];

  /** Returns the workspaces by the digests of their keys, from a table that is built once for each version. */
  function getTable(
    workspaces: readonly ports.Workspace[],
  ): ReadonlyMap<string, core.workloads.WorkspaceName> {
    if (tableOf !== workspaces) {
      table = new Map(
        workspaces.flatMap(({ policy, keyDigests }) =>
          keyDigests.map((digest) => [digest, policy.name] as const),
        ),
      );
      tableOf = workspaces;
    }
    return table;
  }

  function isOverBound(): boolean {
    return boundMs !== undefined && configuration.getReadAge() > boundMs;
  }

  return {
    decide(route, credentials) {
      const workspaces = configuration.getCurrent()?.workspaces;
      if (workspaces === undefined)
        return { decision: 'allowed', caller: undefined };
      const digest =
        credentials?.kind === 'key' ? credentials.digest : undefined;
      const workspace =
        digest === undefined ? undefined : getTable(workspaces).get(digest);
      const caller =
        digest === undefined || workspace === undefined || isOverBound()
          ? undefined
          : { workspace, submitter: computeFingerprint(digest) };
      const isOutdated =
        workspace === undefined ? configuration.isStale() : isOverBound();
      if (route.isPublic === true)
        return {
          decision: 'allowed',
          caller: { ...caller, publicQueue: route.policy.name },
          ...(digest !== undefined && isOutdated ? { doubt: OUTDATED } : {}),
        };
      if (caller !== undefined) return { decision: 'allowed', caller };
      if (credentials === undefined)
        return {
          decision: 'unauthorized',
          why: 'send the key of a workspace in the header Authorization: Token KEY',
        };
      if (credentials.kind === 'malformed')
        return {
          decision: 'unauthorized',
          why: 'the header Authorization must have the form Token KEY',
        };
      return isOutdated
        ? { decision: 'outdated', why: OUTDATED }
        : {
            decision: 'unauthorized',
            why: 'the key belongs to no workspace; use a current key',
          };
    },
  };
}

/** Computes a fingerprint of a key's digest, from which neither the digest nor the key can be computed. */
function computeFingerprint(digest: string): string {
  return crypto
    .createHash('sha256')
    .update(`submitter:${digest}`)
    .digest('hex')
    .slice(0, FINGERPRINT_LENGTH);
}

/** Builds the fields by which the record of a job names who submitted it; none for a public route. */
export function buildSubmitter(
  caller: core.clusterMessages.JobCaller | undefined,
): Pick<core.workloads.Job, 'workspace' | 'submitter'> {
  if (
    caller?.workspace === undefined ||
    caller.submitter === undefined ||
    caller.publicQueue !== undefined
  )
    return {};
  return { workspace: caller.workspace, submitter: caller.submitter };
}

/** Builds the origin of a job. */
export function buildOrigin(job: core.workloads.Job): JobOrigin {
  const { queue, workspace, submitter } = job;
  return {
    queue,
    ...(workspace === undefined ? {} : { workspace }),
    ...(submitter === undefined ? {} : { submitter }),
  };
}

/** Returns whether a submission with the id of a job is a repetition of it, as far as its workspace tells. */
export function canRepeat(
  origin: JobOrigin | undefined,
  caller: core.clusterMessages.JobCaller | undefined,
): boolean {
  if (caller === undefined || origin?.workspace === undefined) return true;
  return (
    origin.workspace === caller.workspace ||
    (origin.submitter !== undefined && origin.submitter === caller.submitter)
  );
}

/** Returns whether a caller may cancel a job. */
export function canChange(
  origin: JobOrigin | undefined,
  caller: core.clusterMessages.JobCaller | undefined,
): boolean {
  if (caller === undefined || origin === undefined) return true;
  if (origin.workspace === undefined)
    return (
      caller.workspace !== undefined ||
      // Without a key: the records of ended jobs without a workspace don't name the queue.
      origin.queue === undefined ||
      origin.queue === caller.publicQueue
    );
  return canRepeat(origin, caller);
}

/** Returns whether a caller may read the state of a job: also without a key on the public route of its queue. */
export function canRead(
  origin: JobOrigin | undefined,
  caller: core.clusterMessages.JobCaller | undefined,
): boolean {
  return (
    canChange(origin, caller) ||
    (origin?.queue !== undefined && origin.queue === caller?.publicQueue)
  );
}
