/**
 * The workers shards that this process owns: each is created when its ownership is
 * gained and ended when it is lost. A new epoch of the same shard begins a new
 * take-over, because another owner may have decided between the two epochs.
 */
import * as core from '@flamingoward/core';
import type * as parts from '../types.js';
import * as workersShard from './shard.js';
import * as stores from '../jobs/stores.js';
import type * as types from './types.js';

const EPOCH_CHECK_INTERVAL_MS = 500;

/** The workers shards that this process owns. */
export interface Workers extends parts.Dumpable {
  /** Returns the shard when this process owns it. */
  getShard(shard: core.ids.ShardName): types.WorkersShard | undefined;
  /** Lists the workers of all owned shards. */
  listWorkers(): readonly types.WorkerView[];
  /** Returns the resources that each team uses in the owned shards, for heartbeats. */
  getTeamUse(): readonly core.messages.TeamUse[];
  close(): void;
}

/** Creates the part and begins to read the tasks of the own region, so that a take-over needn't read all of them first. */
export function createWorkers(
  dependencies: types.WorkersDependencies,
): Workers {
  const { context, streams, ownership, jobs } = dependencies;
  const shards = new Map<core.ids.ShardName, types.WorkersShard>();
  const taskStores = new Map<core.ids.RegionName, stores.TaskStore>();

  function openTasks(region: core.ids.RegionName): stores.TaskStore {
    const known = taskStores.get(region);
    if (known !== undefined) return known;
    const store = stores.createTaskStore(context, streams, jobs, region);
    taskStores.set(region, store);
    return store;
  }

  function startShard(shard: core.ids.ShardName, epoch: core.ids.Epoch): void {
    const region = stores.parseWorkersShard(shard);
    if (region === undefined) return;
    const known = shards.get(shard);
    if (known !== undefined && core.compareEpochs(known.epoch, epoch) >= 0)
      return;
    known?.end();
    const tasks = openTasks(region);
    shards.set(
      shard,
      workersShard.createWorkersShard(dependencies, tasks, region, epoch),
    );
  }

  function endShard(shard: core.ids.ShardName): void {
    const known = shards.get(shard);
    if (known === undefined) return;
    known.end();
    shards.delete(shard);
  }

  function applyChange(change: parts.OwnershipChange): void {
    switch (change.change) {
      case 'gained':
        startShard(change.shard, change.epoch);
        return;
      case 'lost':
        endShard(change.shard);
        return;
    }
  }

  /**
   * Compares the owned epochs with the shards. The epoch rises without a change of
   * owner when the claim of a provisional owner reaches the log, and the ownership may
   * have been gained before this part was created.
   */
  function checkEpochs(): void {
    const home = stores.formatWorkersShard(context.identity.region);
    for (const shard of new Set([home, ...shards.keys()])) {
      const epoch = ownership.getEpoch(shard);
      if (epoch !== undefined) startShard(shard, epoch);
      else if (ownership.getOwner(shard)?.self === false) endShard(shard);
    }
  }

  function getTeamUse(): readonly core.messages.TeamUse[] {
    const sums = new Map<core.ids.TeamName, core.resources.Resources>();
    for (const shard of shards.values())
      for (const { team, used } of shard.getTeamUse()) {
        const sum = sums.get(team) ?? core.resources.noResources;
        sums.set(team, {
          cores: sum.cores + used.cores,
          memoryMb: sum.memoryMb + used.memoryMb,
          gpus: sum.gpus + used.gpus,
        });
      }
    return [...sums].map(([team, used]) => ({ team, used }));
  }

  openTasks(context.identity.region);
  const ended = core.createSubject<boolean>();
  void ownership.changes.until(ended.stream).observe(applyChange);
  const timer = context.timers.subscribe(
    {
      name: 'workers.epochs',
      delayMs: EPOCH_CHECK_INTERVAL_MS,
      repeat: 'periodic',
    },
    checkEpochs,
  );

  return {
    getShard: (shard) => shards.get(shard),
    getTeamUse,
    listWorkers: () =>
      [...shards.values()].flatMap((shard) => shard.listWorkers()),
    close: () => {
      timer.end();
      ended.push(true);
      for (const shard of [...shards.keys()]) endShard(shard);
      for (const store of taskStores.values()) store.close();
    },
    dump: () => [...shards.values()].map((shard) => shard.dump()),
  };
}
