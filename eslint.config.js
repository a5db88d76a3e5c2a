import * as js from '@eslint/js';
import * as eslintConfig from 'eslint/config';
import * as tseslint from 'typescript-eslint';
import * as verbs from './eslint.verbs.js';

const namespaceImports = {
  selector:
    'ImportDeclaration > :matches(ImportSpecifier, ImportDefaultSpecifier)',
  message: 'Use a namespace import: import * as name from "module".',
};

/** Words of the platform's protocol; they stand in its adapter and nowhere else. */
const platformWords = {
  selector:
    'Literal[value=/\\b(run-start|run-stop|log-append|log-read|log-newest|clock_ms|mem_mb|est_ms|slo_ms|decide_ms|keyed\\.)/]',
  message: "Names of the platform belong in platform/; use the product's own.",
};

const platformImport = {
  name: '@flamingoward/platform',
  message: 'Only the program that starts a node chooses the adapter.',
};

export default eslintConfig.defineConfig(
  { ignores: ['**/dist/**', '**/node_modules/**', 'run/**', 'target/**'] },
  js.default.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        project: './tsconfig.test.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'no-restricted-syntax': ['error', namespaceImports],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval'],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
          custom: { regex: verbs.functionNamePattern, match: true },
        },
      ],
    },
  },
  {
    files: ['packages/**'],
    ignores: ['packages/daemon/src/nodeMain.ts'],
    rules: {
      'no-restricted-syntax': ['error', namespaceImports, platformWords],
      'no-restricted-imports': ['error', platformImport],
    },
  },
  {
    // The timer service is the only place that may use the platform's timers.
    files: [
      'packages/core/src/time/**',
      'packages/standins/**',
      'packages/bench/**',
      'packages/*/test/**',
      'platform/test/**',
    ],
    rules: { 'no-restricted-globals': 'off' },
  },
  {
    files: ['packages/*/test/**', 'platform/test/**'],
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/naming-convention': 'off',
    },
  },
  {
    files: ['*.js', '*.ts', 'deploy/*.js'],
    rules: {
      'no-restricted-syntax': 'off',
      '@typescript-eslint/naming-convention': 'off',
    },
  },
);
