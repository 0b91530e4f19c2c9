/**
 * Batch files: uploads, listings and downloads.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {FileView, LedgerAnswer, LedgerCommand, LedgerPort} from 'stallpaddle-ledger';
import type {BlobRef} from 'stallpaddle-storage';

import busboy from 'busboy';
import {createHash} from 'node:crypto';
import {errorMessage, generateId, RefusalError, refuse} from 'stallpaddle';
import {parseItem, unknownOutcomeLine} from 'stallpaddle-batch';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';

import {sendJson, writeChunk} from './GatewayHttp';
import {GatewayLineChunker} from './GatewayLineChunker';

/** Suffix of the id of a job's output file. */
const OUTPUT_SUFFIX = '-output';
/** Suffix of the id of a job's errors file. */
const ERRORS_SUFFIX = '-errors';
const MS_PER_S = 1000;
const BATCH_PURPOSE = 'batch';
/** Bytes of complete chunks of an upload that are committed as one log entry. */
const COMMIT_BYTES = 1_048_576;

interface UploadFields {
  readonly filename: string;
  readonly purpose: string;
}

/**
 * Returns the id of the file with a job's results.
 *
 * @param jobId the job
 */
export function outputFileId(jobId: string): string {
  return jobId + OUTPUT_SUFFIX;
}

/**
 * Returns the id of the file with a job's failed items.
 *
 * @param jobId the job
 */
export function errorsFileId(jobId: string): string {
  return jobId + ERRORS_SUFFIX;
}

function fileObject(file: FileView): unknown {
  return {
    bytes: file.bytes,
    created_at: Math.floor(file.createdAt / MS_PER_S),
    filename: file.filename,
    id: file.id,
    items: file.items,
    object: 'file',
    purpose: BATCH_PURPOSE,
    status: 'processed',
  };
}

async function commit(port: LedgerPort, command: LedgerCommand): Promise<LedgerAnswer> {
  const answer = await port.command(command);
  if (answer.kind === 'refused') {
    throw refuse(answer.code, answer.message);
  }
  return answer;
}

/**
 * Stores uploaded files, lists them and sends their contents. An upload is validated line by line as it arrives and is
 * accepted only if it is complete.
 */
export class GatewayFiles {
  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /**
   * Stores an uploaded file.
   *
   * @param caller the customer
   * @param req multipart form with `purpose` and `file`
   * @param res the response
   */
  async upload(caller: CustomerCaller, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const port = this.context.ledger.forCustomer(caller.customer);
    const fileId = generateId('file');
    const upload = await this.receive(req, async (stream) =>
      this.store(port, caller, fileId, stream),
    );
    if (upload.fields.purpose !== BATCH_PURPOSE) {
      throw refuse('badRequest', `purpose must be ${BATCH_PURPOSE}`, {path: 'purpose'});
    }
    const {bytes, content, size} = upload.stored;
    const {customer} = caller;
    await commit(port, {
      bytes,
      content,
      customer,
      fileId,
      filename: upload.fields.filename,
      now: this.context.clock.wallMs(),
      size,
      type: 'sealFile',
    });
    const {file} = await port.query({customer, fileId, type: 'file'});
    if (file === undefined) {
      throw refuse('unavailable', 'the file is not readable yet', {retryAfterMs: MS_PER_S});
    }
    sendJson(res, 200, fileObject(file));
  }

  /**
   * Sends the list of a customer's files.
   *
   * @param caller the customer
   * @param res the response
   */
  async list({customer}: CustomerCaller, res: ServerResponse): Promise<void> {
    const port = this.context.ledger.forCustomer(customer);
    const {files} = await port.query({customer, type: 'files'});
    const data = files.map(fileObject);
    sendJson(res, 200, {data, has_more: false, object: 'list'});
  }

  /**
   * Sends one file's description.
   *
   * @param caller the customer
   * @param fileId the file
   * @param res the response
   */
  async show({customer}: CustomerCaller, fileId: string, res: ServerResponse): Promise<void> {
    const port = this.context.ledger.forCustomer(customer);
    const {file} = await port.query({customer, fileId, type: 'file'});
    if (file === undefined) {
      throw refuse('notFound', `no file ${fileId}`);
    }
    sendJson(res, 200, fileObject(file));
  }

  /**
   * Sends the content of an input file, or of a job's output or errors file.
   *
   * @param customer customer that must own the file; null for an operator
   * @param port ledger shard of the file
   * @param fileId the file
   * @param res the response
   */
  async content(
    customer: string | null,
    port: LedgerPort,
    fileId: string,
    res: ServerResponse,
  ): Promise<void> {
    if (fileId.endsWith(OUTPUT_SUFFIX)) {
      const refs = await this.jobRefs(customer, port, fileId.slice(0, -OUTPUT_SUFFIX.length));
      await this.sendBlobs(port, refs.outputs, '', res);
    } else if (fileId.endsWith(ERRORS_SUFFIX)) {
      const refs = await this.jobRefs(customer, port, fileId.slice(0, -ERRORS_SUFFIX.length));
      const unknownOutcomes = await this.unknownOutcomeLines(port, refs.lineless);
      await this.sendBlobs(port, refs.errors, unknownOutcomes, res);
    } else {
      const {chunks, file} = await port.query({customer, fileId, type: 'file'});
      if (file === undefined) {
        throw refuse('notFound', `no file ${fileId}`);
      }
      await this.sendBlobs(
        port,
        chunks.map(({ref}) => ref),
        '',
        res,
      );
    }
  }

  private async jobRefs(customer: string | null, port: LedgerPort, jobId: string) {
    const {refs} = await port.query({customer, jobId, type: 'jobRefs'});
    if (refs === undefined) {
      throw refuse('notFound', `no job ${jobId}`);
    }
    return refs;
  }

  /** Formats error lines for items whose outcome is unknown; the ledger stores no lines for them. */
  private async unknownOutcomeLines(
    port: LedgerPort,
    lineless: readonly {readonly input: BlobRef; readonly item: number}[],
  ): Promise<string> {
    let lines = '';
    for (const {input, item} of lineless) {
      const text =
        Buffer.from(await port.readBlob(input))
          .toString()
          .split('\n')[item] ?? '';
      lines += `${unknownOutcomeLine(parseItem(text, item + 1).customId)}\n`;
    }
    return lines;
  }

  private async sendBlobs(
    port: LedgerPort,
    refs: readonly BlobRef[],
    tail: string,
    res: ServerResponse,
  ): Promise<void> {
    // Read before the response head is sent, so that a failure can still be reported.
    const first = refs[0] === undefined ? undefined : await port.readBlob(refs[0]);
    res.writeHead(200, {'content-type': 'application/jsonl'});
    if (first !== undefined) {
      await writeChunk(res, first);
    }
    for (const ref of refs.slice(1)) {
      if (res.destroyed) {
        return;
      }
      await writeChunk(res, await port.readBlob(ref));
    }
    res.end(tail);
  }

  /** Parses the multipart form and streams its file to `store`. */
  private receive<Stored>(
    req: IncomingMessage,
    store: (stream: Readable) => Promise<Stored>,
  ): Promise<{readonly fields: UploadFields; readonly stored: Stored}> {
    const parser = this.createFormParser(req);
    return new Promise((resolve, reject) => {
      let fields: UploadFields = {filename: '', purpose: ''};
      let storing: Promise<Stored> | undefined;
      const fail = (err: unknown): void => {
        req.unpipe(parser);
        req.resume();
        reject(err instanceof RefusalError ? err : refuse('badRequest', errorMessage(err)));
      };
      parser.on('field', (name, value) => {
        fields = name === 'purpose' ? {...fields, purpose: value} : fields;
      });
      parser.on('file', (_name, stream, info) => {
        const filename: string | undefined = info.filename;
        fields = {...fields, filename: filename ?? ''};
        if (storing !== undefined) {
          stream.resume();
          fail(refuse('badRequest', 'the form must contain exactly one file'));
          return;
        }
        storing = store(stream);
        storing.catch((err: unknown) => {
          stream.resume();
          fail(err);
        });
      });
      parser.on('error', fail);
      parser.on('close', () => {
        if (storing === undefined) {
          fail(refuse('badRequest', 'the form contains no file', {path: 'file'}));
        } else {
          storing.then((stored) => resolve({fields, stored}), fail);
        }
      });
      // If the caller disconnects, the upload stays unsealed and thus is not accepted.
      req.on('close', () => {
        if (!req.complete) {
          parser.destroy();
          fail(refuse('badRequest', 'the upload was interrupted'));
        }
      });
      req.setTimeout(this.context.limits.sendMs, () => req.destroy());
      req.pipe(parser);
    });
  }

  private createFormParser(req: IncomingMessage): busboy.Busboy {
    try {
      return busboy({
        headers: req.headers,
        limits: {files: 2, fileSize: this.context.limits.fileBytes},
      });
    } catch (err) {
      throw refuse('badRequest', `expected a multipart form: ${errorMessage(err)}`);
    }
  }

  private async store(
    port: LedgerPort,
    {customer}: CustomerCaller,
    fileId: string,
    stream: Readable & {readonly truncated?: boolean},
  ): Promise<{readonly bytes: number; readonly content: string; readonly size: number}> {
    const hash = createHash('sha256');
    const chunker = new GatewayLineChunker(this.context.config());
    let bytes = 0;
    let size = 0;
    const commitChunks = async (): Promise<void> => {
      const chunks = chunker.takeChunks();
      if (chunks.length > 0) {
        const {model} = chunker;
        const now = this.context.clock.wallMs();
        const upload = {chunks, customer, fileId, firstChunk: size, model, now};
        await commit(port, {...upload, type: 'appendFile'});
        size += chunks.length;
      }
    };
    for await (const data of stream as AsyncIterable<Buffer>) {
      bytes += data.length;
      hash.update(data);
      chunker.push(data);
      // Commits many chunks as one log entry, as each entry costs a disk sync on a majority of replicas.
      if (chunker.readyBytes >= COMMIT_BYTES) {
        await commitChunks();
      }
    }
    if (stream.truncated === true) {
      const {fileBytes} = this.context.limits;
      throw refuse('bodyTooLarge', `the file has more than ${fileBytes} bytes`);
    }
    chunker.end();
    await commitChunks();
    if (size === 0) {
      throw refuse('badRequest', 'the file contains no items');
    }
    return {bytes, content: hash.digest('hex'), size};
  }
}
