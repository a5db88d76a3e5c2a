/** What every part of a node needs. */
import type * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';
import type * as ports from './ports.js';
import type * as settings from './settings.js';

/** Shared by the parts of a node. */
export interface NodeContext {
  readonly settings: settings.NodeSettings;
  /** One run of the process. */
  readonly instance: core.ids.InstanceId;
  readonly ports: ports.Ports;
  readonly timers: core.TimerService;
  readonly log: observability.Logger;
  readonly metrics: observability.Metrics;
  /** Random number from 0 to 1. */
  readonly readRandom: () => number;
}
