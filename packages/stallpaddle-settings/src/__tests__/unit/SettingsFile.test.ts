/** Guards against settings files that fail otherwise than with a list of invalid settings. */
import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {parseSettings, SettingsError} from '../../SettingsFile';

function vmSettings(changes: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
  const address = {host: '127.0.0.1', port: 8000};
  return {
    callers: address,
    controlReplicas: ['vm-1'],
    disk: {folder: 'data'},
    kind: 'vm',
    operators: {},
    peers: address,
    seeds: [{...address, vm: 'vm-1'}],
    vm: 'vm-1',
    vmKey: 'a-key-of-enough-length',
    zone: 'recife-a',
    ...changes,
  };
}

function problemsOf(value: unknown): readonly string[] {
  try {
    parseSettings(JSON.stringify(value));
  } catch (err) {
    expect(err).toBeInstanceOf(SettingsError);
    return (err as SettingsError).problems.map(({path}) => path);
  }
  return [];
}

describe('parseSettings', () => {
  test('accepts valid settings and fills in defaults', () => {
    const settings = parseSettings(JSON.stringify(vmSettings()));
    expect(settings.kind === 'vm' && settings.limits.drainMs).toBe(30_000);
  });

  test('lists every invalid setting and never shows a key', () => {
    expect(problemsOf(vmSettings({zone: 'Not A Zone'}))).toEqual(['zone']);
    expect(problemsOf(vmSettings({callers: {host: 'name', port: 0}}))).toEqual([
      'callers.host',
      'callers.port',
    ]);
    expect(problemsOf(vmSettings({disk: undefined}))).toEqual(['disk']);
    expect(problemsOf(vmSettings({controlReplicas: ['vm-1', 'vm-9']}))).toEqual([
      'controlReplicas.1',
    ]);
    expect(problemsOf(vmSettings({typo: 1}))).toEqual(['']);
    const secret = 'short-secret';
    try {
      parseSettings(JSON.stringify(vmSettings({vmKey: secret})));
      expect.unreachable();
    } catch (err) {
      expect(String(err)).not.toContain(secret);
    }
  });

  test(
    'throws nothing but SettingsError',
    async () => {
      const names = Object.keys(vmSettings());
      const mutated = fc
        .tuple(fc.constantFrom(...names), fc.jsonValue())
        .map(([name, value]) => JSON.stringify(vmSettings({[name]: value})));
      const property = fc.property(fc.oneof(fc.string(), fc.json(), mutated), (text) => {
        try {
          parseSettings(text);
        } catch (err) {
          expect(err).toBeInstanceOf(SettingsError);
          expect((err as SettingsError).problems.length).toBeGreaterThan(0);
        }
      });
      await assertHistories('settings', property, 1000);
    },
    fuzzTimeoutMs(),
  );
});
