/** Rate limits of customers over the whole fleet. */
export {
  type BucketAnswer,
  filledBucket,
  type LimitBucket,
  type LimitTerms,
  returnToken,
  takeToken,
} from './LimitBucket';
export {LimitCandidates} from './LimitCandidates';
export {LimitOwnerBuckets} from './LimitOwnerBuckets';
export {limitOwnerCandidates, limitOwners} from './LimitOwners';
export {LimitPausedCustomers} from './LimitPausedCustomers';
export {LimitPauses, MAX_ASK_COUNT} from './LimitPauses';
export {LimitShare} from './LimitShare';
export type {
  AskLimit,
  AskVote,
  LimitAnswer,
  LimitAsk,
  LimitDecision,
  LimitPause,
  LimitVote,
  RateLimit,
  ReturnLimit,
} from './LimitTypes';
export {LimitVotes, VOTE_MS, VOTERS} from './LimitVotes';
