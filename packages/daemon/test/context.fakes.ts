/** Component context that discards log lines and metrics. */
import type * as core from '@flamingoward/core';
import type * as types from '../src/types.js';

/** Creates the context of a process in region `muscat`. */
export function createQuietContext(
  timers: core.TimerService,
  instance: string,
): types.PartContext {
  const ignore = () => undefined;
  return {
    identity: {
      name: instance,
      instance,
      region: 'muscat',
      availabilityZone: 'muscat-a',
      linksAddress: '',
    },
    timers,
    log: { write: ignore },
    metrics: { count: ignore, record: ignore, set: ignore, render: () => '' },
  };
}
