/**
 * `npm run examples`: writes the settings files of the example users to `examples/`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {LAVANDERIA_LAYOUT, REGISTRY_LAYOUT, standInProcesses, vmProcesses} from './FleetLayout';

const FOLDER = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../examples');

for (const layout of [REGISTRY_LAYOUT, LAVANDERIA_LAYOUT]) {
  const folder = path.join(FOLDER, layout.prefix);
  mkdirSync(folder, {recursive: true});
  for (const {name, settings} of [...standInProcesses(layout), ...vmProcesses(layout)]) {
    writeFileSync(path.join(folder, `${name}.json`), `${JSON.stringify(settings, null, 2)}\n`);
  }
}
