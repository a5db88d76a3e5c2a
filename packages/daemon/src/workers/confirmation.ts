/**
 * Confirms ownership for new jobs. A job is given to the scheduler only after a read
 * of the claims that was sent after the job was read. Whoever takes the shard over
 * later therefore finds every job that this owner may have started below the head
 * of `jobs` that it reads, and may start the later ones at once.
 */
import * as core from '@flamingoward/core';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';

const RETRY_MS = 500;

/** Holds new jobs until they are confirmed. */
export interface Confirmation {
  add(job: core.jobs.Job): void;
}

/** Creates the confirmation of one shard. */
export function createConfirmation(state: states.ShardState): Confirmation {
  let waiting: core.jobs.Job[] = [];
  let running = false;

  async function verifyBatch(batch: readonly core.jobs.Job[]): Promise<void> {
    const { streams, jobs, context } = state.parts;
    try {
      await streams.open('claims').waitForHead();
    } catch {
      waiting = [...batch, ...waiting];
      await core.waitFor(context.timers, 'workers.confirm', RETRY_MS);
      return;
    }
    // The job may have been cancelled or ended meanwhile.
    if (!state.closed)
      for (const job of batch)
        shardJobs.addJob(state, jobs.table.jobs.get(job.id) ?? job);
  }

  async function runBatches(): Promise<void> {
    running = true;
    while (!state.closed && waiting.length > 0) {
      const batch = waiting;
      waiting = [];
      await verifyBatch(batch);
    }
    running = false;
  }

  return {
    add(job) {
      waiting.push(job);
      if (!running) void runBatches();
    },
  };
}
