/** Computes and generates ids of jobs. */
import * as crypto from 'node:crypto';
import type * as ids from '../types/ids.js';

/** Hex characters of a job id after its prefix; 96 bits make a collision negligible. */
const ID_CHARACTERS = 24;

/**
 * Computes the id of a job from its team and idempotency key, so that every process
 * assigns a repeated submission to the same job.
 */
export function computeJobId(team: ids.TeamName, key: string): ids.JobId {
  // The length prefix separates team and key unambiguously.
  const text = `${team.length}:${team}${key}`;
  const hash = crypto.createHash('sha256').update(text).digest('hex');
  return `j-${hash.slice(0, ID_CHARACTERS)}`;
}

/** Generates the id of a job without a key. */
export function generateJobId(): ids.JobId {
  return `j-${crypto.randomBytes(ID_CHARACTERS / 2).toString('hex')}`;
}
