/** The settings file: every fault is reported before the start, and no key is printed. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

const good = `[process]
name = muscat-a-1
availability_zone = muscat-a
region = muscat
[callers]
listen = 0.0.0.0:7000
[operators]
listen = 10.0.0.1:7001
key = "operators;key-0123456789"
[links]
listen = 10.0.0.1:7002 ; reached by the others
key = links-key-0123456789
[peers]
muscat-a-1 = 10.0.0.1:7002
muscat-b-1 = 10.0.0.2:7002
[platform]
log = http://10.0.0.5:7300/
vm_list = 10.0.0.5:7400
`;

function listFaults(text: string): string[] {
  const result = core.parseSettings(text, 'a.ini');
  if ('settings' in result) return [];
  return result.faults.map(
    (fault) => `[${fault.section}] ${fault.key}: ${fault.message}`,
  );
}

vitest.test(
  'applies the defaults of optional keys, and prints no authentication key',
  () => {
    const result = core.parseSettings(good, 'a.ini');
    if ('faults' in result) throw new Error(JSON.stringify(result.faults));
    const { settings } = result;
    vitest.expect(settings.operators.key).toBe('operators;key-0123456789');
    vitest.expect(settings.platform).toEqual({
      log: 'http://10.0.0.5:7300',
      vmList: 'http://10.0.0.5:7400',
    });
    vitest.expect(settings.process.maxProcesses).toBe(9);
    vitest
      .expect(settings.peers)
      .toEqual([{ name: 'muscat-b-1', address: '10.0.0.2:7002' }]);
    const printed = core.printSettings(settings);
    vitest.expect(printed).not.toContain('0123456789');
    vitest.expect(listFaults(printed)).toHaveLength(2);
  },
);

vitest.test.each([
  [
    'a section that occurs twice',
    `${good}[links]\nkey = another-key-01234567\n`,
    '[links] : the section is in lines 10 and 19',
  ],
  [
    'a key that occurs twice',
    good.replace('region =', 'name = b\nregion ='),
    '[process] name: line 4: the key is in this section twice',
  ],
  ['an unknown section', `${good}[logs]\n`, '[logs] : unknown section'],
  [
    'an unknown key',
    `${good}[limits]\nmax_body = 5\n`,
    'did you mean max_body_bytes?',
  ],
  [
    'a value with a unit',
    `${good}[limits]\nmax_body_bytes = 1MB\n`,
    '[limits] max_body_bytes: expected a whole number of bytes from 1024',
  ],
  [
    'a key with another unit',
    good.replace('region =', 'stop_s = 5\nregion ='),
    'did you mean stop_ms?',
  ],
  [
    'no peers',
    good.replace(/\[peers\][^[]*/, ''),
    '[peers] : the section is missing',
  ],
  [
    'only the process itself as a peer',
    good.replace(/muscat-b-1.*\n/, ''),
    '[peers] : no other process is listed',
  ],
  [
    'two roles with one address',
    good.replace('10.0.0.1:7001', '10.0.0.1:7000'),
    '[operators] listen: 10.0.0.1:7000 is also used by [callers] listen',
  ],
  [
    'a wildcard address for links',
    good.replaceAll('10.0.0.1:7002', '0.0.0.0:7002'),
    '[links] listen: expected the ip:port at which the other',
  ],
  [
    'a process name that would break log lines',
    good.replace('muscat-a-1', 'a level=error'),
    '[process] name: expected a name',
  ],
  [
    'a peer name that would break log lines',
    good.replace('muscat-b-1', 'b@c'),
    '[peers] b@c: line 15: expected a key',
  ],
  [
    'a section named __proto__',
    `${good}[__proto__]\nlisten = 1\n`,
    '[__proto__] : line 19: this name is reserved',
  ],
  [
    'a key named __proto__',
    good.replace('muscat-b-1', '__proto__'),
    '[peers] __proto__: line 15: this name is reserved',
  ],
  [
    'a host name instead of an IP address',
    good.replace('10.0.0.1:7001', 'localhost:7001'),
    '[operators] listen: expected an ip:port',
  ],
  [
    'a log service URL with a path',
    good.replace('7300/', '7300/streams'),
    '[platform] log: expected an ip:port',
  ],
  [
    'an authentication key that a comment sign would cut',
    good.replace('links-key-', 'links#key-'),
    '[links] key: line 12: a ";" or "#"',
  ],
  [
    'an authentication key that is too short',
    good.replace('links-key-0123456789', 'short'),
    '[links] key: expected 16 to 256',
  ],
  [
    'the same authentication key for two roles',
    good.replace('"operators;key', '"links-key'),
    '[links] key: the same key',
  ],
  [
    'more processes than max_processes',
    good.replace('region =', 'max_processes = 1\nregion ='),
    'are more than [process] max_processes = 1',
  ],
])('refuses a settings file with a fault: %s', (_, text, expected) => {
  vitest.expect(listFaults(text).join('\n')).toContain(expected);
});

vitest.test(
  'reports all faults at once and leaves Object.prototype unchanged',
  () => {
    const faults = listFaults('[process]\nname = a b\n[peers]\nx = y\n');
    vitest.expect(faults.length).toBe(11);
    vitest.expect(Object.hasOwn(Object.prototype, 'listen')).toBe(false);
  },
);
