/** Batch work of a VM: runs leased items on free engine slots and reports their outcomes to the ledger. */
export {BatchDispatcher, type BatchDispatcherOptions} from './BatchDispatcher';
export {type BatchItem, errorLine, outputLine, parseItem, unknownOutcomeLine} from './BatchItems';
