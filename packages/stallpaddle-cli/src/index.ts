/** Runs the commands of the `stallpaddle` binary. */
export {runCli} from './Cli';
