/**
 * Confirms the ownership before new jobs are scheduled. A job is passed to the
 * scheduler only after a read of the claims that began after the job was read. A
 * later owner reads the head of `jobs` after its claim, so every job that this owner
 * may have started lies below that head, and it may start later jobs at once.
 */
import * as core from '@flamingoward/core';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';

const RETRY_DELAY_MS = 500;

/** Delays new jobs until the ownership is confirmed. */
export interface Confirmation {
  add(job: core.jobs.Job): void;
}

/** Creates the confirmation of one shard. */
export function createConfirmation(state: states.ShardState): Confirmation {
  let waitingJobs: core.jobs.Job[] = [];
  let isRunning = false;

  async function verifyBatch(batch: readonly core.jobs.Job[]): Promise<void> {
    const { streams, jobs, context } = state.dependencies;
    try {
      await streams.open('claims').waitForHead();
    } catch {
      waitingJobs = [...batch, ...waitingJobs];
      await core.waitFor(context.timers, 'workers.confirm', RETRY_DELAY_MS);
      return;
    }
    // A job may have been cancelled or ended during the read.
    if (!state.isClosed)
      for (const job of batch)
        shardJobs.addJob(state, jobs.table.jobs.get(job.id) ?? job);
  }

  async function runBatches(): Promise<void> {
    isRunning = true;
    while (!state.isClosed && waitingJobs.length > 0) {
      const batch = waitingJobs;
      waitingJobs = [];
      await verifyBatch(batch);
    }
    isRunning = false;
  }

  return {
    add(job) {
      waitingJobs.push(job);
      if (!isRunning) void runBatches();
    },
  };
}
