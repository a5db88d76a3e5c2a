import * as path from 'node:path';
import * as config from 'vitest/config';

const LOAD_TESTS = 'platform/test/load/**/*.test.ts';

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
    projects: [
      {
        extends: true,
        test: {
          name: 'default',
          include: [
            'packages/*/test/**/*.test.ts',
            'platform/test/**/*.test.ts',
          ],
          exclude: [LOAD_TESTS],
        },
      },
      {
        // Tests of memory and connections run one at a time, after the others.
        extends: true,
        test: {
          name: 'load',
          include: [LOAD_TESTS],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    server: { deps: { inline: ['clipanion'] } },
  },
});
