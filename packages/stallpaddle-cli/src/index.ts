/** The command line. */
export {runCli} from './Cli';
