/**
 * Accepted connections whose peer hasn't proved that it has the key. Whoever reaches the
 * address can open them, so they are bounded in number and in time.
 */
import * as core from '@flamingoward/core';
import type * as connections from './connection.js';

/**
 * Time in which a peer must prove that it has the key, in ms; a handshake takes two round
 * trips, and a peer may be paused meanwhile.
 */
export const HANDSHAKE_TIMEOUT_MS = 5_000;
/** Most accepted connections without a proof when the settings name no descriptors. */
export const DEFAULT_MAX_HANDSHAKES = 128;

/** Why a connection is closed before its peer is known. */
export type HandshakeShedReason =
  'handshake' | 'handshake-timeout' | 'handshake-frame';

/** Accepted connections without a proof. */
export interface PendingHandshakes {
  /** Adds a connection, and closes the oldest one when there are too many. */
  add(connection: connections.Connection): void;
  /** Removes a connection that has its proof or has ended. */
  remove(connection: connections.Connection): void;
  closeExpired(nowMs: number): void;
}

/** Creates the table; `recordShed` counts what is closed. */
export function createPendingHandshakes(
  timers: core.TimerService,
  maxHandshakes: number,
  recordShed: (reason: HandshakeShedReason) => void,
): PendingHandshakes {
  /** When each connection was accepted, the oldest first. */
  const acceptedMs = new Map<connections.Connection, number>();

  function closeConnection(
    connection: connections.Connection,
    reason: HandshakeShedReason,
    ageMs: number,
  ): void {
    acceptedMs.delete(connection);
    recordShed(reason);
    connection.close(
      core.createFault(
        'timeout',
        { step: `links.${reason}`, peer: 'unknown' },
        String(Math.round(ageMs)),
      ),
    );
  }

  return {
    add(connection) {
      const nowMs = timers.getNow();
      acceptedMs.set(connection, nowMs);
      if (acceptedMs.size <= maxHandshakes) return;
      for (const [oldest, sinceMs] of acceptedMs) {
        closeConnection(oldest, 'handshake', nowMs - sinceMs);
        return;
      }
    },
    remove: (connection) => void acceptedMs.delete(connection),
    closeExpired(nowMs) {
      for (const [connection, sinceMs] of acceptedMs) {
        const ageMs = nowMs - sinceMs;
        if (ageMs < HANDSHAKE_TIMEOUT_MS) return;
        closeConnection(connection, 'handshake-timeout', ageMs);
      }
    },
  };
}
