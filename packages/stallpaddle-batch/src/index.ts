/** Batch work on a VM: fills engines, makes room for online work, reports to the ledger. */
export {BatchDispatcher, type BatchDispatcherOptions} from './BatchDispatcher';
export {type BatchItem, errorLine, outputLine, parseItem, unknownOutcomeLine} from './BatchItems';
