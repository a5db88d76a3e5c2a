import * as path from 'node:path';
import * as config from 'vitest/config';

export default config.defineConfig({
  resolve: {
    alias: [
      {
        find: '@flamingoward/platform',
        replacement: path.join(import.meta.dirname, 'platform/src/index.ts'),
      },
      {
        find: /^@flamingoward\/(.*)$/,
        replacement: path.join(import.meta.dirname, 'packages/$1/src/index.ts'),
      },
    ],
  },
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    server: { deps: { inline: ['clipanion'] } },
  },
});
