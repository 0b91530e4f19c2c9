/** Guards against deliberate faults whose text no longer occurs in the source: they would test nothing. */
import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {z} from 'zod';

const ROOT = new URL('../../../../../', import.meta.url);

const editSchema = z.object({find: z.string(), put: z.string()});
const faultSchema = z.object({
  edits: z.array(editSchema).optional(),
  fault: z.string(),
  file: z.string(),
  find: z.string().optional(),
  put: z.string().optional(),
});

const faults = z
  .array(faultSchema)
  .parse(JSON.parse(readFileSync(new URL('scripts/teeth.json', ROOT), 'utf8')));

describe('deliberate faults', () => {
  test.each(faults)(
    'the text to replace occurs exactly once: $fault',
    ({edits, file, find = '', put = ''}) => {
      let code = readFileSync(new URL(`packages/${file}`, ROOT), 'utf8');
      for (const edit of edits ?? [{find, put}]) {
        expect(code.split(edit.find)).toHaveLength(2);
        code = code.replace(edit.find, () => edit.put);
      }
    },
  );
});
