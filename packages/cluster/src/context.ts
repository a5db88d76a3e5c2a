/** The context that is passed to every module of a node. */
import type * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';
import type * as ports from './ports.js';
import type * as settings from './settings.js';

/** Settings, ports and services shared by the modules of a node. */
export interface NodeContext {
  readonly settings: settings.NodeSettings;
  /** Identifies this incarnation of the process. */
  readonly instance: core.ids.InstanceId;
  readonly ports: ports.Ports;
  readonly timers: core.TimerService;
  readonly log: observability.Logger;
  readonly metrics: observability.Metrics;
  /** Random number from 0 to 1. */
  readonly getRandom: () => number;
}
