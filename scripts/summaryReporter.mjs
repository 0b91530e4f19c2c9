/**
 * Vitest reporter whose last line counts the tests: `N passed, N failed, N skipped`.
 */
export default class SummaryReporter {
  onTestRunEnd(modules, unhandledErrors) {
    const counts = {failed: unhandledErrors.length, passed: 0, skipped: 0};
    for (const module of modules) {
      if (module.state() === 'failed' && module.errors().length > 0) {
        counts.failed++;
      }
      for (const test of module.children.allTests()) {
        counts[test.result().state]++;
      }
    }
    const {failed, passed, skipped} = counts;
    process.stdout.write(
      `\n${passed} passed, ${failed} failed${skipped > 0 ? `, ${skipped} skipped` : ''}\n`,
    );
  }
}
