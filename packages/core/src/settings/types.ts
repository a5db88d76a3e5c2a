/** The settings of one process, checked and with defaults filled in. */
import type * as ids from '../types/ids.js';

/** Everything that a process reads before its start. */
export interface Settings {
  readonly process: ProcessSettings;
  readonly callers: { readonly listen: ids.Address };
  readonly operators: ListenWithKey;
  readonly links: ListenWithKey;
  /** Links addresses of the other processes; never this process itself. */
  readonly peers: readonly PeerSetting[];
  readonly platform: PlatformSettings;
  readonly limits: LimitSettings;
  readonly log: { readonly level: 'error' | 'warn' | 'info' | 'debug' };
}

/** Who the process is. */
export interface ProcessSettings {
  readonly name: ids.ProcessName;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly region: ids.RegionName;
  /** Largest number of processes in the cell, this one included. */
  readonly maxProcesses: number;
  /** Longest time of a planned stop, in ms. */
  readonly stopMs: number;
}

/** An address to listen on and the key that the other side must present. */
export interface ListenWithKey {
  readonly listen: ids.Address;
  readonly key: string;
}

/** Another process. */
export interface PeerSetting {
  readonly name: ids.ProcessName;
  readonly address: ids.Address;
}

/** Base URLs of the platform's interfaces: `http://ip:port`. */
export interface PlatformSettings {
  readonly log: string;
  readonly vmList: string;
}

/** Limits of memory use. */
export interface LimitSettings {
  /** Largest body of a request on the callers' and operators' addresses, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest frame on a link, in bytes. */
  readonly maxFrameBytes: number;
  /** Most records that wait for the log service. */
  readonly appendBufferRecords: number;
}
