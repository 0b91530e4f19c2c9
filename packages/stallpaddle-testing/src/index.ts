/** Fakes and fixtures for the tests of the other packages; not published. */
export {CutEngine, type CutKind} from './CutEngine';
export {FakeCrashError, FakeDisk, type TornKeep} from './FakeDisk';
export {FakeSuspectStore} from './FakeSuspectStore';
export {type Flood, FloodEngine, signedHead} from './FloodEngine';
export {assertHistories, fuzzTimeoutMs} from './FuzzParameters';
export {BARE, bulkOf, type ListItem, listMachine, type ListState} from './ListMachine';
export {PLAIN, plainRelay} from './PlainWire';
export {SlowLink, type SlowLinkOptions} from './SlowLink';
export {StarvationFreeClock} from './StarvationFreeClock';
export {type EngineBehavior, type SeenRequest, StreamEngine} from './StreamEngine';
