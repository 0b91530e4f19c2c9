/**
 * Exit codes of the command line, documented in `docs/OPERATIONS.md`.
 */

/** The command failed. */
export const EXIT_FAILED = 1;
/** The command line or a settings file is invalid. */
export const EXIT_USAGE = 2;
/** The request was refused and has not run. */
export const EXIT_NOT_RUN = 3;
/** The request may have run; its outcome is unknown. */
export const EXIT_MAY_HAVE_RUN = 4;
