/**
 * Defines the commands of the `stallpaddle` binary and maps errors to exit codes.
 */
import type {LogFormat} from 'stallpaddle';

import {cac} from 'cac';
import {errorMessage, RefusalError, refuse} from 'stallpaddle';
import {SettingsError, settingsJsonSchema} from 'stallpaddle-settings';

import {runBatchCancel, runBatchResults, runBatchStatus, runSubmit} from './CliBatch';
import {CliCallError, type CliTarget, parseServer} from './CliClient';
import {EXIT_FAILED, EXIT_MAY_HAVE_RUN, EXIT_NOT_RUN, EXIT_USAGE} from './CliConstants';
import {runExplain} from './CliExplain';
import {type LoadFlags, runLoad} from './CliLoad';
import {runAddresses, runAudit, runConfirm, runPlan, runStatus} from './CliOperator';
import {print} from './CliPrint';
import {readSettings, runServe} from './CliServe';

const VERSION = '0.1.0';

interface ClientFlags {
  readonly json?: boolean;
  readonly key?: string;
  readonly server?: string;
}

function targetOf(flags: ClientFlags): CliTarget {
  const server = flags.server ?? process.env.STALLPADDLE_SERVER;
  const key = flags.key ?? process.env.STALLPADDLE_KEY ?? '';
  if (server === undefined) {
    throw refuse('badRequest', 'set the VM with --server HOST:PORT or STALLPADDLE_SERVER');
  }
  return {...parseServer(server), key: String(key)};
}

function required(value: string | undefined, what: string): string {
  if (value === undefined) {
    throw refuse('badRequest', `${what} is missing`);
  }
  return value;
}

async function runSettings(action: string, file: string | undefined, json: boolean): Promise<void> {
  switch (action) {
    case 'check': {
      const settings = await readSettings(required(file, 'FILE'));
      print(
        json,
        {kind: settings.kind, ok: true},
        () => `the settings are valid (${settings.kind})`,
      );
      return;
    }
    case 'schema':
      process.stdout.write(`${JSON.stringify(settingsJsonSchema(), null, 2)}\n`);
      return;
    default:
      throw refuse('badRequest', `settings ${action}: expected check or schema`);
  }
}

interface BatchFlags extends ClientFlags {
  readonly errors?: boolean;
  readonly idempotencyKey?: string;
  readonly operator?: boolean;
  readonly output?: string;
  readonly repeatable?: boolean;
  readonly wait?: boolean;
  readonly window?: string;
}

async function runBatch(action: string, subject: string, flags: BatchFlags): Promise<void> {
  const target = targetOf(flags);
  const json = flags.json === true;
  switch (action) {
    case 'cancel':
      return runBatchCancel(target, subject, flags.operator === true, json);
    case 'results':
      return runBatchResults(target, subject, flags.errors === true, flags.output);
    case 'status':
      return runBatchStatus(target, subject, json);
    case 'submit':
      return runSubmit(target, subject, {
        json,
        key: flags.idempotencyKey,
        repeatable: flags.repeatable !== false,
        wait: flags.wait === true,
        window: flags.window ?? '24h',
      });
    default:
      throw refuse('badRequest', `batch ${action}: expected submit, status, results or cancel`);
  }
}

function createCli(): ReturnType<typeof cac> {
  const cli = cac('stallpaddle');
  cli.option('--server <address>', 'VM to call, HOST:PORT (or STALLPADDLE_SERVER)');
  cli.option('--key <key>', "Customer's or operator's key (or STALLPADDLE_KEY)");
  cli.option('--json', 'Print JSON for scripts');

  cli
    .command('serve', 'Run a VM or a stand-in until SIGTERM')
    .option('--settings <file>', 'Settings file')
    .option('--log-format <format>', 'text or json')
    .example('stallpaddle serve --settings examples/registry/vm-1.json')
    .action(async (flags: {logFormat?: LogFormat; settings?: string}) =>
      runServe(required(flags.settings, '--settings FILE'), flags.logFormat),
    );
  cli
    .command('settings <action> [file]', 'Check a settings file, or print the schema')
    .example('stallpaddle settings check examples/registry/vm-1.json')
    .example('stallpaddle settings schema > settings.schema.json')
    .action(async (action: string, file: string | undefined, flags: ClientFlags) =>
      runSettings(action, file, flags.json === true),
    );
  cli
    .command(
      'explain [...files]',
      'Print the history of a request from the logs of several processes',
    )
    .option('--id <id>', 'Id of a request, a batch item or a job')
    .example('stallpaddle explain --id 9c41d07be2a35f68 logs/*.log')
    .action(async (files: readonly string[], flags: {id?: string}) => {
      if (!(await runExplain(required(flags.id, '--id ID'), files))) {
        process.exitCode = EXIT_FAILED;
      }
    });
  cli
    .command('plan <intent>', 'Plan an intent (JSON, or @FILE) without applying it')
    .example(`stallpaddle plan '{"kind":"drainVm","vm":"vm-4"}'`)
    .action(async (intent: string, flags: ClientFlags) =>
      runPlan(targetOf(flags), intent, flags.json === true),
    );
  cli
    .command('confirm <plan>', 'Confirm a plan')
    .option('--wait', 'Wait until the plan is in force on every VM')
    .example('stallpaddle confirm plan_0123456789abcdef01234567 --wait')
    .action(async (plan: string, flags: ClientFlags & {wait?: boolean}) =>
      runConfirm(targetOf(flags), plan, flags.wait === true, flags.json === true),
    );
  cli
    .command('status', 'Show VMs, replicas, engines and shards')
    .example('stallpaddle status --server 127.0.0.1:8001')
    .action(async (flags: ClientFlags) => runStatus(targetOf(flags), flags.json === true));
  cli
    .command('audit', 'Show the audit trail')
    .option('--after <number>', 'Number of the last entry already seen', {default: 0})
    .option('--limit <number>', 'Maximum number of entries', {default: 200})
    .example('stallpaddle audit --after 40')
    .action(async (flags: ClientFlags & {after: number; limit: number}) =>
      runAudit(targetOf(flags), Number(flags.after), Number(flags.limit), flags.json === true),
    );
  cli
    .command('addresses', 'Show the addresses that callers should use')
    .option('--zone <zone>', "The caller's availability zone")
    .example('stallpaddle addresses --zone recife-a')
    .action(async (flags: ClientFlags & {zone?: string}) =>
      runAddresses(targetOf(flags), flags.zone, flags.json === true),
    );
  cli
    .command('batch <action> <subject>', 'submit FILE, status JOB, results JOB, cancel JOB')
    .option('--window <time>', 'submit: time until due, such as 24h')
    .option('--idempotency-key <key>', 'submit: key that makes a retried submit safe')
    .option('--no-repeatable', 'submit: run each item at most once')
    .option('--wait', 'submit: show progress until the job ends')
    .option('--errors', 'results: write the failed items instead')
    .option('--output <file>', 'results: output file')
    .option('--operator', "cancel: any customer's job, with an operator's key")
    .example('stallpaddle batch submit filings.jsonl --window 12h --wait')
    .action(async (action: string, subject: string, flags: BatchFlags) =>
      runBatch(action, subject, flags),
    );
  cli
    .command('load', 'Send online requests at a steady rate and print latencies')
    .option('--model <name>', 'Model to request')
    .option('--rate <number>', 'Requests per second', {default: 50})
    .option('--seconds <number>', 'Duration in seconds', {default: 10})
    .option('--seed <number>', 'Random seed for arrivals and prompts', {default: 1})
    .option('--tokens <number>', 'Tokens per response', {default: 16})
    .option('--whole', 'Request complete responses instead of streams')
    .example('stallpaddle load --server 127.0.1.11:8000 --model balcao-llm --rate 200')
    .action(async (flags: LoadFlags) => runLoad(targetOf(flags), flags));
  cli.help();
  cli.version(VERSION);
  return cli;
}

function exitCodeOf(err: unknown): number {
  if (err instanceof SettingsError) {
    return EXIT_USAGE;
  }
  if (err instanceof RefusalError) {
    return err.code === 'badRequest' ? EXIT_USAGE : EXIT_NOT_RUN;
  }
  if (err instanceof CliCallError) {
    switch (err.verdict) {
      case 'mayHaveRun':
        return EXIT_MAY_HAVE_RUN;
      case 'notRun':
        return EXIT_NOT_RUN;
      case 'ran':
        return EXIT_FAILED;
    }
  }
  return err instanceof Error && err.name === 'CACError' ? EXIT_USAGE : EXIT_FAILED;
}

function printError(err: unknown, json: boolean): void {
  const verdict = err instanceof CliCallError || err instanceof RefusalError ? err.verdict : null;
  const code = err instanceof CliCallError || err instanceof RefusalError ? err.code : 'failed';
  const message = errorMessage(err);
  if (json) {
    process.stdout.write(`${JSON.stringify({error: {code, message, verdict}})}\n`);
    return;
  }
  const suffix = verdict === null ? '' : ` (${code}, ${verdict})`;
  process.stderr.write(`stallpaddle: ${message}${suffix}\n`);
}

/**
 * Runs one command.
 *
 * @param argv arguments of the process, including program and script
 * @returns the exit code
 */
export async function runCli(argv: readonly string[]): Promise<number> {
  const json = argv.includes('--json');
  try {
    const cli = createCli();
    cli.parse([...argv], {run: false});
    if (cli.matchedCommand === undefined) {
      if (cli.options.help === true || cli.options.version === true) {
        return 0;
      }
      cli.outputHelp();
      return EXIT_USAGE;
    }
    await cli.runMatchedCommand();
    return 0;
  } catch (err) {
    printError(err, json);
    return exitCodeOf(err);
  }
}
