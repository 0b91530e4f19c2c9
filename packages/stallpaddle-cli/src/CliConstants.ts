/**
 * Exit codes; documented in `docs/OPERATIONS.md`.
 */

/** The command failed. */
export const EXIT_FAILED = 1;
/** The command line or a settings file is wrong. */
export const EXIT_USAGE = 2;
/** The system refused; nothing was run. */
export const EXIT_NOT_RUN = 3;
/** The request may have run; its end is not known. */
export const EXIT_MAY_HAVE_RUN = 4;
