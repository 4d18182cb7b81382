/**
 * Lint rules that match the Google TypeScript Style Guide and the naming
 * rules of this project: types are plain nouns, no default exports, no
 * prefix on interfaces, exhaustive switches.
 */
import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      'packages/schema/src/generated/**',
    ],
  },
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.recommendedTypeChecked],
    plugins: {jsdoc},
    settings: {jsdoc: {tagNamePreference: {file: 'fileoverview'}}},
    languageOptions: {
      parserOptions: {
        project: [
          './packages/*/tsconfig.json',
          './platform/tsconfig.json',
          './features/tsconfig.json',
          './tsconfig.tests.json',
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-console': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {selector: 'TSEnumDeclaration', message: 'Use a string union.'},
      ],
      'no-restricted-imports': [
        'error',
        {
          paths: [
            'child_process',
            'node:child_process',
            'worker_threads',
            'node:worker_threads',
            'cluster',
            'node:cluster',
          ],
        },
      ],
      'prefer-const': 'error',
      'no-var': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'inline-type-imports'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^(I|T)[A-Z]', match: false},
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['variable', 'function', 'parameter'],
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'allow',
        },
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/require-await': 'off',
      'jsdoc/require-file-overview': [
        'error',
        {tags: {fileoverview: {mustExist: true, initialCommentsOnly: true}}},
      ],
      'max-lines': ['error', {max: 500, skipBlankLines: true}],
    },
  },
  {
    files: ['**/tests/**/*.ts', 'features/**/*.ts'],
    rules: {
      'jsdoc/require-file-overview': 'off',
      '@typescript-eslint/no-unsafe-assignment': 'off',
      '@typescript-eslint/no-unsafe-member-access': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
    },
  },
  {
    files: ['packages/testkit/src/**/*.ts'],
    rules: {'no-restricted-imports': 'off'},
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {process: 'readonly', __dirname: 'readonly'},
    },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: {
      globals: {
        console: 'readonly',
        process: 'readonly',
        URL: 'readonly',
        Buffer: 'readonly',
      },
    },
  },
);
