/**
 * Bundles the daemon into target/: one file for each of the two forms in which it
 * runs, so that a start reads and compiles only what it uses.
 */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['packages/daemon/src/main.ts'],
  outdir: 'target',
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minify: true,
  legalComments: 'none',
  conditions: ['source'],
  alias: {
    '@flamingoward/platform': './platform/src/index.ts',
    '@flamingoward/core': './packages/core/src/index.ts',
    '@flamingoward/intake': './packages/intake/src/index.ts',
    '@flamingoward/link': './packages/link/src/index.ts',
    '@flamingoward/clients': './packages/clients/src/index.ts',
    '@flamingoward/cluster': './packages/cluster/src/index.ts',
    '@flamingoward/observability': './packages/observability/src/index.ts',
  },
  banner: {
    js: "import{createRequire as createBundleRequire}from'node:module';const require=createBundleRequire(import.meta.url);",
  },
});
