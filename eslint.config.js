import * as js from '@eslint/js';
import * as eslintConfig from 'eslint/config';
import * as tseslint from 'typescript-eslint';
import * as verbs from './eslint.verbs.js';

const namespaceImports = {
  selector:
    'ImportDeclaration > :matches(ImportSpecifier, ImportDefaultSpecifier)',
  message: 'Use a namespace import: import * as name from "module".',
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
