/**
 * Parses, checks and prints the settings file of a process. The whole file is checked
 * before the start, so that an operator sees all faults at once and no process runs
 * with an incomplete configuration.
 */
import type * as zod from 'zod';
import * as addresses from '../addresses.js';
import type * as releases from '../types/release.js';
import * as ini from './ini.js';
import * as names from './names.js';
import * as schema from './schema.js';
import type * as types from './types.js';

/** The settings, or all faults of the file. */
export type SettingsResult =
  | { readonly settings: types.Settings }
  | { readonly faults: readonly releases.ConfigFault[] };

const MASKED_KEY = '********';

/** Parses and checks the text of a settings file; `file` is the file name in its faults. */
export function parseSettings(text: string, file: string): SettingsResult {
  const parsedText = ini.parseIni(text, file);
  const raw = buildObject(parsedText.sections);
  const parsed = schema.settingsSchema.safeParse(raw);
  const faults = [...parsedText.faults];
  if (!parsed.success)
    for (const issue of parsed.error.issues)
      faults.push(...describeIssue(issue, file));
  faults.push(...checkCombinations(raw, file));
  if (!parsed.success || faults.length > 0)
    return { faults: dropRepeated(faults) };
  return { settings: buildSettings(parsed.data) };
}

/** Formats settings as a settings file in which the authentication keys are masked. */
export function printSettings(settings: types.Settings): string {
  const { process, limits, machine, platform } = settings;
  const lines = [
    '[process]',
    `name = ${process.name}`,
    `availability_zone = ${process.availabilityZone}`,
    `region = ${process.region}`,
    `max_processes = ${process.maxProcesses}`,
    `stop_ms = ${process.stopMs}`,
    '',
    '[callers]',
    `listen = ${settings.callers.listen}`,
    '',
    '[operators]',
    `listen = ${settings.operators.listen}`,
    `key = ${MASKED_KEY}`,
    '',
    '[links]',
    `listen = ${settings.links.listen}`,
    `key = ${MASKED_KEY}`,
    '',
    '[peers]',
    ...settings.peers.map((peer) => `${peer.name} = ${peer.address}`),
    '',
    '[platform]',
    `log = ${platform.log}`,
    `vm_list = ${platform.vmList}`,
    '',
    '[limits]',
    `max_body_bytes = ${limits.maxBodyBytes}`,
    `max_frame_bytes = ${limits.maxFrameBytes}`,
    `append_buffer_records = ${limits.appendBufferRecords}`,
    '',
    '[machine]',
    `memory_mb = ${machine.memoryMb}`,
    `max_descriptors = ${machine.maxDescriptors}`,
    '',
    '[log]',
    `level = ${settings.log.level}`,
  ];
  return `${lines.join('\n')}\n`;
}

type RawSections = Record<string, Record<string, string> | undefined>;

function buildObject(sections: readonly ini.IniSection[]): RawSections {
  // A missing section counts as empty, so that each of its required keys is reported.
  const raw: RawSections = {};
  for (const section of Object.keys(schema.settingsSchema.shape))
    if (section !== 'peers') raw[section] = {};
  for (const section of sections)
    raw[section.name] = Object.fromEntries(section.keys);
  return raw;
}

function describeIssue(
  issue: zod.core.$ZodIssue,
  file: string,
): releases.ConfigFault[] {
  const [section = '', key = ''] = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    const message = section === 'peers' ? describePeers(issue) : issue.message;
    return [{ file, section, key, message }];
  }
  return issue.keys.map((unknown) =>
    section === ''
      ? { file, section: unknown, key: '', message: describeSections() }
      : {
          file,
          section,
          key: unknown,
          message: describeKeys(section, unknown),
        },
  );
}

function describePeers(issue: zod.core.$ZodIssue): string {
  if (issue.path.length === 1)
    return 'the section is missing; expected one line "name = ip:port" for each other process';
  return issue.code === 'invalid_key'
    ? `expected ${names.plainNameText}`
    : issue.message;
}

function describeSections(): string {
  const known = Object.keys(schema.settingsSchema.shape);
  return `unknown section; expected one of ${known.join(', ')}`;
}

function describeKeys(section: string, unknown: string): string {
  const sections: Record<string, unknown> = schema.settingsSchema.shape;
  const known = Object.keys(
    (sections[section] as zod.ZodObject | undefined)?.shape ?? {},
  );
  const stem = unknown.replace(/_(ms|s|sec|seconds|min|bytes|kb|mb)$/i, '');
  const similar = known.find(
    (key) => key !== stem && key.replace(/_(ms|bytes)$/, '') === stem,
  );
  const hint = similar === undefined ? '' : `; did you mean ${similar}?`;
  return `unknown key; expected one of ${known.join(', ')}${hint}`;
}

// A missing key can violate several rules; only its first fault is kept.
function dropRepeated(
  faults: readonly releases.ConfigFault[],
): releases.ConfigFault[] {
  const seen = new Set<string>();
  return faults.filter((fault) => {
    const place = JSON.stringify([fault.section, fault.key]);
    if (fault.key !== '' && seen.has(place)) return false;
    seen.add(place);
    return true;
  });
}

/** Checks rules that concern several keys; keys of the wrong form are ignored here. */
function checkCombinations(
  raw: RawSections,
  file: string,
): releases.ConfigFault[] {
  return [
    ...checkAddresses(raw, file),
    ...checkPeers(raw, file),
    ...checkKeys(raw, file),
  ];
}

function decodeListenAddress(
  raw: RawSections,
  section: string,
): addresses.Endpoint | undefined {
  return addresses.decodeAddress(raw[section]?.listen ?? '');
}

function isWildcard(host: string): boolean {
  return host === '0.0.0.0' || /^[0:]+$/.test(host);
}

function checkAddresses(
  raw: RawSections,
  file: string,
): releases.ConfigFault[] {
  const faults: releases.ConfigFault[] = [];
  const reportFault = (section: string, message: string) => {
    faults.push({ file, section, key: 'listen', message });
  };
  const roles = ['callers', 'operators', 'links'];
  for (const [index, role] of roles.entries())
    for (const other of roles.slice(0, index))
      if (
        isShared(
          decodeListenAddress(raw, role),
          decodeListenAddress(raw, other),
        )
      )
        reportFault(
          role,
          `${raw[role]?.listen ?? ''} is also used by [${other}] listen; expected an address of its own for each role`,
        );
  if (isWildcard(decodeListenAddress(raw, 'links')?.host ?? ''))
    reportFault(
      'links',
      'expected the ip:port at which the other processes reach this one, not a wildcard',
    );
  return faults;
}

function isShared(
  one: addresses.Endpoint | undefined,
  other: addresses.Endpoint | undefined,
): boolean {
  if (one === undefined || other === undefined) return false;
  const isSameHost =
    one.host === other.host || isWildcard(one.host) || isWildcard(other.host);
  return one.port === other.port && isSameHost;
}

function checkPeers(raw: RawSections, file: string): releases.ConfigFault[] {
  const faults: releases.ConfigFault[] = [];
  const reportFault = (key: string, message: string) => {
    faults.push({ file, section: 'peers', key, message });
  };
  const { peers } = raw;
  if (peers === undefined) return faults;
  const own = { name: raw.process?.name, address: raw.links?.listen };
  const nameOfAddress = new Map<string, string>();
  for (const [name, address] of Object.entries(peers)) {
    const fault = checkPeer({ name, address }, own, nameOfAddress);
    if (fault !== undefined) reportFault(name, fault);
    nameOfAddress.set(address, name);
  }
  const others = Object.keys(peers).filter((name) => name !== own.name).length;
  const most = Number(raw.process?.max_processes ?? schema.MAX_PROCESSES);
  if (others + 1 > most)
    reportFault(
      '',
      `${others} other processes and this one are more than [process] max_processes = ${most}`,
    );
  if (others === 0 && most > 1)
    reportFault(
      '',
      'no other process is listed; expected "name = ip:port" for each, or [process] max_processes = 1',
    );
  return faults;
}

function checkPeer(
  peer: types.PeerSetting,
  own: {
    readonly name?: string | undefined;
    readonly address?: string | undefined;
  },
  nameOfAddress: ReadonlyMap<string, string>,
): string | undefined {
  const { name, address } = peer;
  const earlier = nameOfAddress.get(address);
  if (earlier !== undefined)
    return `${address} is also the address of peer ${earlier}`;
  if (own.address === undefined) return undefined;
  if (name === own.name)
    return address === own.address
      ? undefined
      : `this process has ${own.address} in [links] listen; expected the same here`;
  return address === own.address
    ? `${address} is the address of this process; expected another one`
    : undefined;
}

// With a shared key, every operator could also join the cell as a process.
function checkKeys(raw: RawSections, file: string): releases.ConfigFault[] {
  const key = raw.links?.key;
  if (key === undefined || key !== raw.operators?.key) return [];
  const message = 'the same key as [operators] key; expected another one';
  return [{ file, section: 'links', key: 'key', message }];
}

function listPeers(data: schema.CheckedFile): types.PeerSetting[] {
  return Object.entries(data.peers)
    .map(([name, address]) => ({ name, address }))
    .filter((peer) => peer.name !== data.process.name);
}

function buildSettings(data: schema.CheckedFile): types.Settings {
  return {
    process: {
      name: data.process.name,
      availabilityZone: data.process.availability_zone,
      region: data.process.region,
      maxProcesses: data.process.max_processes,
      stopMs: data.process.stop_ms,
    },
    callers: data.callers,
    operators: data.operators,
    links: data.links,
    peers: listPeers(data),
    platform: { log: data.platform.log, vmList: data.platform.vm_list },
    limits: {
      maxBodyBytes: data.limits.max_body_bytes,
      maxFrameBytes: data.limits.max_frame_bytes,
      appendBufferRecords: data.limits.append_buffer_records,
    },
    machine: {
      memoryMb: data.machine.memory_mb,
      maxDescriptors: data.machine.max_descriptors,
    },
    log: data.log,
  };
}
