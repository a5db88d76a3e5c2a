/** Computes what clients may take of a process from its memory and its descriptors. */
import * as core from '@flamingoward/core';

const BYTES_PER_MB = 1_048_576;
/** Descriptors for files, listening sockets, pipes and timers of the process. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors that callers may use; an owner needs most of them for VMs. */
const CALLER_DESCRIPTOR_SHARE = 0.25;
/** Descriptors for links between nodes, the store, the advice service, readiness and metrics. */
const OTHER_CONNECTIONS = 100;
/**
 * Share of the descriptors for links whose peer isn't authenticated yet; the nodes of a
 * cluster open them all at once after a change of owner.
 */
const HANDSHAKE_DESCRIPTOR_SHARE = 1 / 32;
/** Share of the memory that connections of callers may take. */
const CONNECTION_MEMORY_SHARE = 0.2;
/** Memory of one connection, in bytes: about 15,000 measured when idle, and a header of 16,384. */
const CONNECTION_BYTES = 32_768;
/** Share of the memory that bodies of all requests may take together. */
const BODY_MEMORY_SHARE = 0.05;
/** Share of the memory that answers may take whose clients haven't read them. */
const UNREAD_MEMORY_SHARE = 0.1;
/** Most requests of one connection without a completely written answer; clients rarely pipeline any. */
const MAX_PIPELINED = 16;
/** Time from the end of the header in which a body must arrive, in ms; callers give up after about 3 s. */
const BODY_TIMEOUT_MS = 10_000;
/** Time in which a header must arrive, in ms, when the configuration names none. */
export const DEFAULT_HEADER_TIMEOUT_MS = 3_000;

/** Limits of the connections and requests of callers. */
export interface IntakeLimits {
  readonly maxConnections: number;
  /** Most requests that are being read or handled. */
  readonly maxRequests: number;
  /** Most requests of one connection without a completely written answer. */
  readonly maxPipelined: number;
  /** Most memory of the bodies of all requests, in bytes. */
  readonly maxBodiesBytes: number;
  /** Most memory of answers of all connections that aren't completely written, in bytes. */
  readonly maxUnreadBytes: number;
  readonly bodyTimeoutMs: number;
}

/**
 * Computes the limits from the memory and the descriptors of a process; a single body of
 * `maxBodyBytes` is always within them.
 */
export function computeIntakeLimits(
  machine: core.settings.MachineSettings,
  maxBodyBytes = 0,
): IntakeLimits {
  const memoryBytes = machine.memoryMb * BYTES_PER_MB;
  const descriptors = Math.max(
    0,
    machine.maxDescriptors - RESERVED_DESCRIPTORS,
  );
  const maxConnections = Math.max(
    1,
    Math.floor(
      Math.min(
        descriptors * CALLER_DESCRIPTOR_SHARE,
        (memoryBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES,
      ),
    ),
  );
  return {
    maxConnections,
    // A caller has one request at a time on a connection.
    maxRequests: maxConnections,
    maxPipelined: MAX_PIPELINED,
    maxBodiesBytes: Math.max(
      Math.floor(memoryBytes * BODY_MEMORY_SHARE),
      core.computeBodyCapacity(maxBodyBytes),
    ),
    maxUnreadBytes: Math.floor(memoryBytes * UNREAD_MEMORY_SHARE),
    bodyTimeoutMs: BODY_TIMEOUT_MS,
  };
}

/** Computes how many connections between nodes may wait for their handshake. */
export function computeMaxHandshakes(
  machine: Pick<core.settings.MachineSettings, 'maxDescriptors'>,
): number {
  return Math.max(
    1,
    Math.floor(machine.maxDescriptors * HANDSHAKE_DESCRIPTOR_SHARE),
  );
}

/** Computes how many outgoing connections to VMs are kept; callers and others have the rest. */
export function computeMaxOutgoing(
  machine: core.settings.MachineSettings,
): number {
  return Math.max(
    1,
    machine.maxDescriptors -
      RESERVED_DESCRIPTORS -
      OTHER_CONNECTIONS -
      computeMaxHandshakes(machine) -
      computeIntakeLimits(machine).maxConnections,
  );
}
