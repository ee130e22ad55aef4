import { defineConfig } from 'eslint/config';
import tseslint from 'typescript-eslint';
import { oneExport } from './eslint-rules/one-export.ts';
import { packageLayers } from './eslint-rules/package-layers.ts';
import { readOnlyData } from './eslint-rules/read-only-data.ts';

export default defineConfig(
  { ignores: ['dist/**', 'target/**', 'node_modules/**'] },
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: {
      ragwortrudder: {
        rules: {
          'one-export': oneExport,
          'package-layers': packageLayers,
          'read-only-data': readOnlyData,
        },
      },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/only-throw-error': 'error',
      'ragwortrudder/read-only-data': 'error',
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'ragwortrudder/one-export': 'error',
      'ragwortrudder/package-layers': 'error',
    },
  },
  {
    files: ['packages/*/src/index.ts', 'platform/src/index.ts'],
    rules: { 'ragwortrudder/one-export': 'off' },
  },
);
