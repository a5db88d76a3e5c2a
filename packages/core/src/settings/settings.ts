/**
 * The settings file of a process. It is checked as a whole before the start, so
 * that an operator sees every fault at once and a process never runs with half a
 * configuration.
 */
import type * as zod from 'zod';
import type * as releases from '../types/release.js';
import * as ini from './ini.js';
import * as names from './names.js';
import * as schema from './schema.js';
import type * as types from './types.js';

/** Result of reading a settings file. */
export type SettingsResult =
  | { readonly settings: types.Settings }
  | { readonly faults: readonly releases.NoteFault[] };

const maskedKey = '********';

/** Reads and checks the text of a settings file; `file` is named in the faults. */
export function parseSettings(text: string, file: string): SettingsResult {
  const read = ini.parseIni(text, file);
  const parsed = schema.settingsSchema.safeParse(buildObject(read.sections));
  const faults = [...read.faults];
  if (!parsed.success) {
    for (const issue of parsed.error.issues)
      faults.push(...describeIssue(issue, file));
    return { faults: dropRepeated(faults) };
  }
  faults.push(...checkTogether(parsed.data, file));
  if (faults.length > 0) return { faults };
  return { settings: buildSettings(parsed.data) };
}

/** Prints settings as a file in which the keys are masked. */
export function printSettings(settings: types.Settings): string {
  const { process, limits, platform } = settings;
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
    `key = ${maskedKey}`,
    '',
    '[links]',
    `listen = ${settings.links.listen}`,
    `key = ${maskedKey}`,
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
    '[log]',
    `level = ${settings.log.level}`,
  ];
  return `${lines.join('\n')}\n`;
}

type RawSections = Record<string, Record<string, string>>;

function buildObject(sections: readonly ini.IniSection[]): RawSections {
  // Sections that hold only optional keys may be left out.
  const raw: RawSections = { process: {}, limits: {}, log: {} };
  for (const required of ['callers', 'operators', 'links', 'platform'])
    raw[required] = {};
  for (const section of sections)
    raw[section.name] = Object.fromEntries(section.keys);
  return raw;
}

function describeIssue(
  issue: zod.core.$ZodIssue,
  file: string,
): releases.NoteFault[] {
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
  const meant = known.find(
    (key) => key !== stem && key.replace(/_(ms|bytes)$/, '') === stem,
  );
  const hint = meant === undefined ? '' : `; did you mean ${meant}?`;
  return `unknown key; expected one of ${known.join(', ')}${hint}`;
}

// A key that is missing and of the wrong form would be listed twice.
function dropRepeated(
  faults: readonly releases.NoteFault[],
): releases.NoteFault[] {
  const seen = new Set<string>();
  return faults.filter((fault) => {
    const place = JSON.stringify([fault.section, fault.key]);
    if (fault.key !== '' && seen.has(place)) return false;
    seen.add(place);
    return true;
  });
}

function checkTogether(
  data: schema.CheckedFile,
  file: string,
): releases.NoteFault[] {
  return [
    ...checkAddresses(data, file),
    ...checkPeers(data, file),
    ...checkKeys(data, file),
  ];
}

function isWildcard(host: string): boolean {
  return host === '0.0.0.0' || /^[0:]+$/.test(host);
}

function checkAddresses(
  data: schema.CheckedFile,
  file: string,
): releases.NoteFault[] {
  const faults: releases.NoteFault[] = [];
  const roles = ['callers', 'operators', 'links'] as const;
  for (const [index, role] of roles.entries()) {
    const mine = schema.decodeAddress(data[role].listen);
    for (const other of roles.slice(0, index)) {
      const theirs = schema.decodeAddress(data[other].listen);
      if (mine?.port !== theirs?.port) continue;
      const hosts = [mine?.host ?? '', theirs?.host ?? ''];
      if (hosts[0] !== hosts[1] && !hosts.some(isWildcard)) continue;
      const message = `${data[role].listen} is also used by [${other}] listen; expected an address of its own for each role`;
      faults.push({ file, section: role, key: 'listen', message });
    }
  }
  if (isWildcard(schema.decodeAddress(data.links.listen)?.host ?? '')) {
    const message =
      'expected the ip:port at which the other processes reach this one, not a wildcard';
    faults.push({ file, section: 'links', key: 'listen', message });
  }
  return faults;
}

function checkPeers(
  data: schema.CheckedFile,
  file: string,
): releases.NoteFault[] {
  const faults: releases.NoteFault[] = [];
  const refuse = (key: string, message: string) => {
    faults.push({ file, section: 'peers', key, message });
  };
  const seen = new Map<string, string>();
  for (const [name, address] of Object.entries(data.peers)) {
    const earlier = seen.get(address);
    if (earlier !== undefined)
      refuse(name, `${address} is also the address of peer ${earlier}`);
    seen.set(address, name);
    const own = name === data.process.name;
    if (own && address !== data.links.listen)
      refuse(
        name,
        `this process has ${data.links.listen} in [links] listen; expected the same here`,
      );
    if (!own && address === data.links.listen)
      refuse(
        name,
        `${address} is the address of this process; expected another one`,
      );
  }
  const others = listPeers(data).length;
  const most = data.process.max_processes;
  if (others + 1 > most)
    refuse(
      '',
      `${others} other processes and this one are more than [process] max_processes = ${most}`,
    );
  if (others === 0 && most > 1)
    refuse(
      '',
      'no other process is listed; expected "name = ip:port" for each, or [process] max_processes = 1',
    );
  return faults;
}

// With one key, everybody who may operate the cell could also join it as a process.
function checkKeys(
  data: schema.CheckedFile,
  file: string,
): releases.NoteFault[] {
  if (data.operators.key !== data.links.key) return [];
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
    log: data.log,
  };
}
