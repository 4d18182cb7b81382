/** @fileoverview Settings of the unit tests. */
import {defineConfig} from 'vitest/config';

export const config = defineConfig({
  test: {
    include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
    testTimeout: 20_000,
    maxWorkers: 4,
    minWorkers: 1,
  },
});

// Vitest reads its settings from the default export.
// eslint-disable-next-line no-restricted-syntax
export default config;
