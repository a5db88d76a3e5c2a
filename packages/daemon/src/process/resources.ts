/** Gauges of what this process uses: processor time, memory and traffic on the links. */
import type * as core from '@flamingoward/core';
import type * as links from '../links/links.js';
import type * as types from '../types.js';

const PERIOD_MS = 1_000;

/** The gauges. */
export interface ResourceGauges {
  open(): void;
  close(): void;
}

/** Creates the gauges; they are updated once a second after `open`. */
export function createResourceGauges(
  context: types.PartContext,
  linksPart: links.LinksPart,
): ResourceGauges {
  let timer: core.TimerSubscription | undefined;

  function update(): void {
    const usage = process.cpuUsage();
    const traffic = linksPart.readTraffic();
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
        { name: 'process.gauges', delayMs: PERIOD_MS, repeat: 'periodic' },
        update,
      );
    },
    close() {
      timer?.end();
    },
  };
}
