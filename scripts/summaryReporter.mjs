import {writeFileSync} from 'node:fs';

/**
 * Vitest reporter whose last line counts the tests: `N passed, N failed, N skipped`. Where STALLPADDLE_TEST_REPORT
 * names a file, it writes there what failed: names of tests, files that failed by themselves, errors outside of both.
 */
export default class SummaryReporter {
  onTestRunEnd(modules, unhandledErrors) {
    const counts = {failed: unhandledErrors.length, passed: 0, skipped: 0};
    const report = {files: [], tests: [], unhandled: unhandledErrors.length};
    for (const module of modules) {
      if (module.state() === 'failed' && module.errors().length > 0) {
        counts.failed++;
        report.files.push(module.moduleId);
      }
      for (const test of module.children.allTests()) {
        const {state} = test.result();
        counts[state]++;
        if (state === 'failed') {
          report.tests.push(test.fullName);
        }
      }
    }
    const {failed, passed, skipped} = counts;
    process.stdout.write(
      `\n${passed} passed, ${failed} failed${skipped > 0 ? `, ${skipped} skipped` : ''}\n`,
    );
    const file = process.env.STALLPADDLE_TEST_REPORT;
    if (file !== undefined) {
      writeFileSync(file, JSON.stringify(report));
    }
  }
}
