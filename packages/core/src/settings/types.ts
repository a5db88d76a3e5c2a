/** Types of the settings of one process, after the check and with defaults. */
import type * as ids from '../types/ids.js';

/** The settings of one process. */
export interface Settings {
  readonly process: ProcessSettings;
  /** Address on which callers' requests are accepted. */
  readonly callers: { readonly listen: ids.Address };
  /** Address on which operators' requests are accepted. */
  readonly operators: ListenWithKey;
  /** Address on which links from other processes are accepted. */
  readonly links: ListenWithKey;
  /** The other processes, without this one. */
  readonly peers: readonly PeerSetting[];
  readonly platform: PlatformSettings;
  readonly limits: LimitSettings;
  readonly machine: MachineSettings;
  readonly log: { readonly level: 'error' | 'warn' | 'info' | 'debug' };
}

/** Identity and limits of the process. */
export interface ProcessSettings {
  readonly name: ids.ProcessName;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly region: ids.RegionName;
  /** Largest number of processes in the cell, including this one. */
  readonly maxProcesses: number;
  /** Longest duration of a planned stop, in ms. */
  readonly stopMs: number;
}

/** An address to listen on, and the key with which clients authenticate. */
export interface ListenWithKey {
  readonly listen: ids.Address;
  readonly key: string;
}

/** Another process of the cell and the address of its links. */
export interface PeerSetting {
  readonly name: ids.ProcessName;
  readonly address: ids.Address;
}

/** Base URLs of the platform's services, in the form `http://ip:port`. */
export interface PlatformSettings {
  readonly log: string;
  readonly vmList: string;
}

/** What the process may use of its machine. */
export interface MachineSettings {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** Limits that bound the memory use. */
export interface LimitSettings {
  /** Largest request body from callers and operators, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest frame on a link, in bytes. */
  readonly maxFrameBytes: number;
  /** Most records buffered while they wait to be appended to the log. */
  readonly appendBufferRecords: number;
}
