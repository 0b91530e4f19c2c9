import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {parseSettings} from 'stallpaddle-settings';
import {describe, expect, test} from 'vitest';

import {LAVANDERIA_LAYOUT, REGISTRY_LAYOUT, standInProcesses, vmProcesses} from '../../FleetLayout';

const EXAMPLES = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../../../../examples',
);

describe('example settings', () => {
  test.each([REGISTRY_LAYOUT, LAVANDERIA_LAYOUT])(
    'of $prefix are valid and match the layout',
    (layout) => {
      const folder = path.join(EXAMPLES, layout.prefix);
      const processes = [...standInProcesses(layout), ...vmProcesses(layout)];
      expect(readdirSync(folder).toSorted()).toEqual(
        processes.map(({name}) => `${name}.json`).toSorted(),
      );
      for (const {name, settings} of processes) {
        const text = readFileSync(path.join(folder, `${name}.json`), 'utf8');
        expect(JSON.parse(text)).toEqual(settings);
        expect(parseSettings(text).kind).toBe(settings.kind);
      }
    },
  );
});
