/** Component context that discards log lines and metrics. */
import type * as core from '@flamingoward/core';
import type * as types from '../../src/types.js';

/** Creates the context of a fake process in a region of choice. */
export function createFakeContext(
  name: string,
  timers: core.TimerService,
  region = 'r',
): types.PartContext {
  return {
    identity: {
      name,
      instance: `${name}-i`,
      region,
      availabilityZone: `${region}-a`,
      linksAddress: `127.0.0.1:${name}`,
    },
    timers,
    log: { write: () => undefined },
    metrics: {
      count: () => undefined,
      record: () => undefined,
      set: () => undefined,
      render: () => '',
    },
  };
}
