/** A part's context that keeps no logs and no metrics. */
import type * as core from '@flamingoward/core';
import type * as types from '../src/types.js';

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
