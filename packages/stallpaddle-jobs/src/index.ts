/** Batch jobs: their replicated state and the dispatcher that runs their items on engines. */
export {MAX_RESULT_BYTES} from './JobsConstants';
export type {ItemDecision, JobsDispatcherOptions} from './JobsContext';
export {JobsDispatcher} from './JobsDispatcher';
export {JobsFleetLoad, type JobsFleetLoadOptions} from './JobsFleetLoad';
export {jobsMachine} from './JobsMachine';
export {findJob, jobIdOf} from './JobsNames';
export {JobsOnlineCounts} from './JobsOnlineCounts';
export {MAX_REPORT_SPACING_MS, MIN_REPORT_SPACING_MS} from './JobsPace';
export type {PackingStatus} from './JobsPackingLog';
export {
  type BodyAnswer,
  findBody,
  findResults,
  type JobsRequest,
  joinOutput,
  type OnlineAnswerDetails,
  type OnlineCountsAnswer,
  type OnlineCountsVersion,
  type OnlineReportDetails,
  type ReadResult,
  type ResultRef,
  type ResultsAnswer,
} from './JobsQueries';
export {JobsShares, type JobsSharesOptions} from './JobsShares';
export {JobsSpeeds, type JobsSpeedsOptions, type SpeedReport} from './JobsSpeeds';
export {findSubmissionFault} from './JobsSubmission';
export type {
  EndJob,
  ItemEnd,
  ItemOutcome,
  ItemProgress,
  Job,
  JobId,
  JobItem,
  JobName,
  JobsAnswer,
  JobsChange,
  JobsCommand,
  JobsState,
  ProgressPart,
  Submission,
  SubmittedItem,
} from './JobsTypes';
