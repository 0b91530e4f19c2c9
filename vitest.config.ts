import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    environment: 'node',
    include: ['packages/*/src/__tests__/**/*.test.ts', 'platform/src/__tests__/**/*.test.ts'],
    maxWorkers: 4,
    reporters: ['default', './scripts/summaryReporter.mjs'],
    testTimeout: 120_000,
  },
});
