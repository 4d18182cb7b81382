/**
 * @fileoverview Settings of the tests that measure the memory of real processes.
 * They run one at a time, apart from the other tests.
 */
import {defineConfig} from 'vitest/config';

export const config = defineConfig({
  test: {
    include: [
      'packages/*/tests/memory/**/*.test.ts',
      'platform/tests/memory/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 90_000,
    fileParallelism: false,
  },
});

// Vitest reads its settings from the default export.
// eslint-disable-next-line no-restricted-syntax
export default config;
