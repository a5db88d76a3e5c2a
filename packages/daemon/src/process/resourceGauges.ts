/** Gauges of the resources that this process uses: processor time, memory and link traffic. */
import type * as core from '@flamingoward/core';
import type * as links from '../links/links.js';
import type * as types from '../types.js';

const UPDATE_INTERVAL_MS = 1_000;

/** Gauges that are updated periodically while open. */
export interface ResourceGauges {
  open(): void;
  close(): void;
}

/** Creates the gauges; updates start with `open`. */
export function createResourceGauges(
  context: types.PartContext,
  linksPart: links.LinksPart,
): ResourceGauges {
  let timer: core.TimerSubscription | undefined;

  function update(): void {
    const usage = process.cpuUsage();
    const traffic = linksPart.getTraffic();
    const { metrics } = context;
    metrics.set(
      'process_cpu_seconds',
      {},
      (usage.user + usage.system) / 1_000_000,
    );
    metrics.set('process_resident_bytes', {}, process.memoryUsage().rss);
    metrics.set('link_sent_bytes', {}, traffic.sentBytes);
    metrics.set('link_received_bytes', {}, traffic.receivedBytes);
  }

  return {
    open() {
      timer = context.timers.subscribe(
        {
          name: 'process.gauges',
          delayMs: UPDATE_INTERVAL_MS,
          repeat: 'periodic',
        },
        update,
      );
    },
    close() {
      timer?.end();
    },
  };
}
