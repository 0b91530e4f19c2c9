/** Batch jobs of opaque requests: replicated state, and the dispatcher that runs their items. */
export {RESULT_BYTES} from './JobsConstants';
export type {ItemDecision, JobsDispatcherOptions} from './JobsContext';
export {JobsDispatcher} from './JobsDispatcher';
export {jobsMachine} from './JobsMachine';
export {JobsOnline} from './JobsOnline';
export {
  type BodyAnswer,
  findBody,
  findResults,
  type JobsRequest,
  joinOutput,
  type OnlineAnswer,
  type OnlineVersion,
  type ReadResult,
  type ResultRef,
  type ResultsAnswer,
} from './JobsQueries';
export type {
  ItemEnd,
  ItemOutcome,
  ItemProgress,
  Job,
  JobId,
  JobItem,
  JobsAnswer,
  JobsChange,
  JobsCommand,
  JobsState,
  ProgressPart,
  Submission,
  SubmittedItem,
} from './JobsTypes';
