import {writeFileSync} from 'node:fs';

/**
 * Vitest reporter whose last line counts the tests: `N passed, N failed, N skipped`. If STALLPADDLE_TEST_REPORT names a
 * file, the reporter writes the failures to it as JSON: names of tests, test files with errors outside of tests, and
 * the number of unhandled errors.
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
    const reportFile = process.env.STALLPADDLE_TEST_REPORT;
    if (reportFile !== undefined) {
      writeFileSync(reportFile, JSON.stringify(report));
    }
  }
}
