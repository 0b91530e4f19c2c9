/** Parsing and validation of settings files. */
import type {core} from 'zod';

import {errorMessage} from 'stallpaddle';

import type {Settings} from './SettingsSchema';

import {settingsSchema} from './SettingsSchema';

/** An invalid setting. */
export interface SettingsProblem {
  readonly expected: string;
  /** Path of the setting, such as `callers.port`; empty for the whole file. */
  readonly path: string;
  /** The value found, as truncated JSON. */
  readonly value: string;
}

/** Reports all invalid settings of a file. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /**
   * @param problems the invalid settings
   */
  constructor(readonly problems: readonly SettingsProblem[]) {
    super(
      problems
        .map(({expected, path, value}) => `${path || 'file'}: ${expected}, found ${value}`)
        .join('\n'),
    );
  }
}

const MAX_VALUE_CHARACTERS = 60;
const SECRET_PATH = /key/i;

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, part) =>
      typeof value === 'object' && value !== null
        ? (value as Readonly<Record<PropertyKey, unknown>>)[part]
        : undefined,
    root,
  );
}

function formatValue(path: string, value: unknown): string {
  if (SECRET_PATH.test(path) && value !== undefined) {
    return '(not shown)';
  }
  return (JSON.stringify(value) ?? 'nothing').slice(0, MAX_VALUE_CHARACTERS);
}

function problemOf(root: unknown, issue: core.$ZodIssue): SettingsProblem {
  const path = issue.path.map(String).join('.');
  return {expected: issue.message, path, value: formatValue(path, valueAt(root, issue.path))};
}

function checkReferences(settings: Settings): readonly SettingsProblem[] {
  if (settings.kind !== 'vm') {
    return [];
  }
  const problems: SettingsProblem[] = [];
  const {controlReplicas, firstConfiguration, seeds, vm} = settings;
  if (controlReplicas.includes(vm) && settings.disk === undefined) {
    problems.push({
      expected: 'a disk, because the VM is a control replica',
      path: 'disk',
      value: 'nothing',
    });
  }
  controlReplicas.forEach((replica, index) => {
    if (!seeds.some((seed) => seed.vm === replica)) {
      const path = `controlReplicas.${index}`;
      problems.push({expected: 'a VM listed in seeds', path, value: JSON.stringify(replica)});
    }
  });
  for (const [name, service] of Object.entries(firstConfiguration.services)) {
    if (service.kind !== 'model') {
      continue;
    }
    const path = `firstConfiguration.services.${name}`;
    if (!service.versions.some(({version}) => version === service.current)) {
      const value = JSON.stringify(service.current);
      problems.push({expected: 'one of the listed versions', path: `${path}.current`, value});
    }
    for (const engine of service.versions.flatMap(({engines}) => engines)) {
      if (!(engine in firstConfiguration.engines)) {
        const expected = 'engines listed in firstConfiguration.engines';
        problems.push({expected, path: `${path}.versions`, value: JSON.stringify(engine)});
      }
    }
  }
  return problems;
}

/**
 * Parses and validates settings.
 *
 * @param text content of the file
 * @throws {SettingsError} with all invalid settings
 */
export function parseSettings(text: string): Settings {
  let root: unknown;
  try {
    root = JSON.parse(text);
  } catch (err) {
    throw new SettingsError([
      {expected: `JSON (${errorMessage(err)})`, path: '', value: 'text that is not JSON'},
    ]);
  }
  const result = settingsSchema.safeParse(root);
  if (!result.success) {
    throw new SettingsError(result.error.issues.map((issue) => problemOf(root, issue)));
  }
  const problems = checkReferences(result.data);
  if (problems.length > 0) {
    throw new SettingsError(problems);
  }
  return result.data;
}
