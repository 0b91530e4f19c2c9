/** Helpers of tests; never shipped. */
export {FakeCrashError, FakeDisk, type TornKeep} from './FakeDisk';
export {assertHistories, fuzzTimeoutMs} from './FuzzParameters';
