/** Puts the own headers where bundled code names those of `fetch`. */
export {RpcHeaders as Headers} from './RpcHeaders';
