/** @fileoverview Settings of the unit tests. */
import {configDefaults, defineConfig} from 'vitest/config';

export const config = defineConfig({
  test: {
    include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
    // These have settings of their own, vitest.memory.config.ts and
    // vitest.upgrades.config.ts.
    exclude: [
      ...configDefaults.exclude,
      '**/tests/memory/**',
      '**/tests/upgrades/**',
    ],
    testTimeout: 20_000,
    maxWorkers: 4,
    minWorkers: 1,
  },
});

// Vitest reads its settings from the default export.
// eslint-disable-next-line no-restricted-syntax
export default config;
