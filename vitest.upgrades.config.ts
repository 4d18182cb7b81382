/**
 * @fileoverview Settings of the tests that run two builds side by side. They are
 * run by hand, with the bundle of the older build in `OLD_BUNDLE`.
 */
import {defineConfig} from 'vitest/config';

export const config = defineConfig({
  test: {
    include: ['platform/tests/upgrades/**/*.test.ts'],
    testTimeout: 300_000,
    hookTimeout: 90_000,
    fileParallelism: false,
  },
});

// Vitest reads its settings from the default export.
// eslint-disable-next-line no-restricted-syntax
export default config;
