/** Parses and validates the INI file that describes a stand-in platform, such as `examples/<customer>/platform.ini`. */
import * as fs from 'node:fs';
import * as ini from 'ini';
import * as zod from 'zod';

const count = zod.coerce.number().int().nonnegative();
const names = zod
  .string()
  .transform((text) => text.split(',').map((name) => name.trim()));
const address = zod
  .string()
  .regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected ip:port');

const platformSection = zod.strictObject({
  name: zod.string(),
  log: address,
  vm_list: address,
  audit: address,
  vm_list_lag_ms: count.default(0),
  retain_records: count.default(1_000_000),
  usage_lag_ms: count.default(2_000),
});

const zoneSection = zod.strictObject({ region: zod.string() });

const entrySection = zod.strictObject({
  availability_zone: zod.string(),
  links: address,
});

/** Keys of a group of VMs; each VM has the next port, or the next host address, after the previous one. */
const vmsSection = {
  count,
  first_address: address,
  step: zod.enum(['port', 'host']).default('host'),
  zones: names,
  per_rack: count,
};

const workersSection = zod.strictObject({
  ...vmsSection,
  cores: zod.coerce.number().positive(),
  memory_mb: count,
  gpus: count.default(0),
});

const backendSection = zod.strictObject({
  ...vmsSection,
  slots: count,
  connections: count,
});

/** A group of workers of one size. */
export type WorkersSection = zod.infer<typeof workersSection>;
/** A group of backend servers. */
export type BackendSection = zod.infer<typeof backendSection>;

/** A parsed platform file; the maps are keyed by the name in the section heading. */
export interface PlatformFile {
  readonly platform: zod.infer<typeof platformSection>;
  readonly zones: ReadonlyMap<string, zod.infer<typeof zoneSection>>;
  readonly entries: ReadonlyMap<string, zod.infer<typeof entrySection>>;
  readonly workers: ReadonlyMap<string, WorkersSection>;
  readonly backends: ReadonlyMap<string, BackendSection>;
}

/** Reads and validates a platform file; throws an error that names the file and the section. */
export function loadPlatformFile(file: string): PlatformFile {
  return parsePlatformFile(fs.readFileSync(file, 'utf8'), file);
}

/** Parses a platform file; `file` is the name in error messages. */
export function parsePlatformFile(text: string, file: string): PlatformFile {
  const sections = Object.entries(ini.parse(text));
  const platform = sections.find(([head]) => head === 'platform');
  const knownHeading = /^(platform|(zone|entry|workers|backend) \S+)$/;
  const unknown = sections.find(([head]) => !knownHeading.test(head));
  if (unknown !== undefined)
    throw new Error(`${file}: unknown section [${unknown[0]}]`);
  const collect = <Section>(kind: string, schema: zod.ZodType<Section>) =>
    new Map(
      sections
        .filter(([head]) => head.startsWith(`${kind} `))
        .map(([head, body]) => [
          head.slice(kind.length + 1),
          parseSection(schema, body, file, head),
        ]),
    );
  return {
    platform: parseSection(platformSection, platform?.[1], file, 'platform'),
    zones: collect('zone', zoneSection),
    entries: collect('entry', entrySection),
    workers: collect('workers', workersSection),
    backends: collect('backend', backendSection),
  };
}

function parseSection<Section>(
  schema: zod.ZodType<Section>,
  body: unknown,
  file: string,
  head: string,
): Section {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  throw new Error(`${file}: [${head}]: ${zod.prettifyError(parsed.error)}`);
}
