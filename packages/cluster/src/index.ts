/** A node of a cluster whose durable state is kept in a keyed log store. */
export { createClusterNode } from './node.js';
export type { ClusterNode } from './node.js';
export type { NodeContext } from './context.js';
export { parseNodeSettings } from './settings.js';
export type { NodeSettings, NodeSettingsResult } from './settings.js';
export * as connectionBudget from './connectionBudget.js';
export type * as ports from './ports.js';
