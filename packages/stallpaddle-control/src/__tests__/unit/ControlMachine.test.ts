import fc from 'fast-check';
import {encodeValue} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * Concurrent plans and confirmations compared with a reference model, restarts from a snapshot, and the audit trail.
 */
import type {ControlCommand, ControlCommandResult, ControlState, Intent} from '../../ControlTypes';

import {applyChanges, configToChanges, EMPTY_CONFIG} from '../../ControlConfig';
import {changesAfter, controlMachine, INITIAL_CONTROL_STATE} from '../../ControlMachine';

const OPERATORS = ['ines', 'joao'] as const;

function engineRecord(slots: number) {
  return {
    checksFencing: true,
    host: '127.0.0.1',
    port: 1,
    role: 'all' as const,
    slots,
    zone: 'z',
  };
}

/** Drives the control state machine through encoded commands and snapshots. */
class ControlUnderTest {
  state: ControlState = INITIAL_CONTROL_STATE;

  apply(command: ControlCommand): ControlCommandResult {
    const {result, state} = controlMachine.apply(this.state, encodeValue(command), 0);
    this.state = state;
    return result as ControlCommandResult;
  }

  start(): void {
    this.apply({
      changes: [
        {key: 'e1', record: engineRecord(4), table: 'engines'},
        {key: 'e2', record: engineRecord(4), table: 'engines'},
      ],
      now: 0,
      type: 'bootstrap',
    });
  }

  restart(): void {
    this.state = controlMachine.decode(controlMachine.encode(this.state));
  }

  plan(planId: string, operator: string, intent: Intent): ControlCommandResult {
    return this.apply({intent, now: 0, operator, planId, type: 'plan'});
  }

  confirm(planId: string, operator: string): ControlCommandResult {
    return this.apply({now: 1, operator, planId, type: 'confirm'});
  }
}

function outcomeOf(result: ControlCommandResult): string {
  return result.kind === 'plan' ? result.plan.state.kind : result.kind;
}

const step = fc.oneof(
  fc.record({
    draining: fc.boolean(),
    kind: fc.constant('plan' as const),
    operator: fc.nat({max: 1}),
    plan: fc.nat({max: 8}),
    vm: fc.nat({max: 2}),
  }),
  fc.record({
    kind: fc.constant('confirm' as const),
    operator: fc.nat({max: 1}),
    plan: fc.nat({max: 8}),
  }),
  fc.record({kind: fc.constant('restart' as const)}),
);

describe('updateControl', () => {
  test(
    'confirms exactly one of several concurrent plans, and repeats the outcome for repeated commands',
    async () => {
      const property = fc.property(fc.array(step, {maxLength: 60, size: 'max'}), (steps) => {
        const control = new ControlUnderTest();
        control.start();
        // Reference model: the requested change, its base revision and the first outcome of each plan.
        const plans = new Map<
          number,
          {basis: number; draining: boolean; outcome: string; vm: string}
        >();
        const draining = new Set<string>();
        let revision = 1;
        for (const next of steps) {
          switch (next.kind) {
            case 'confirm': {
              const known = plans.get(next.plan);
              const outcome = outcomeOf(
                control.confirm(`p${next.plan}`, OPERATORS[next.operator]!),
              );
              if (known?.outcome === 'proposed') {
                known.outcome = known.basis === revision ? 'confirmed' : 'refused';
                if (known.outcome === 'confirmed') {
                  revision++;
                  draining[known.draining ? 'add' : 'delete'](known.vm);
                }
              }
              expect(outcome).toBe(known?.outcome ?? 'refused');
              break;
            }
            case 'plan': {
              const vm = `vm-${next.vm}`;
              const kind = next.draining ? 'drainVm' : 'undrainVm';
              const result = control.plan(`p${next.plan}`, OPERATORS[next.operator]!, {kind, vm});
              const possible = draining.has(vm) !== next.draining;
              if (!plans.has(next.plan) && possible) {
                plans.set(next.plan, {
                  basis: revision,
                  draining: next.draining,
                  outcome: 'proposed',
                  vm,
                });
              }
              expect(outcomeOf(result)).toBe(plans.get(next.plan)?.outcome ?? 'refused');
              break;
            }
            case 'restart':
              control.restart();
              break;
          }
          expect(control.state.revision).toBe(revision);
          expect(new Set(control.state.config.vms.keys())).toEqual(draining);
        }
      });
      await assertHistories('racing operators', property, 500);
    },
    fuzzTimeoutMs(),
  );

  test('changes nothing until the plan is confirmed', () => {
    const control = new ControlUnderTest();
    control.start();
    const before = control.state.config;
    const result = control.plan('p', 'ines', {
      engines: ['e1'],
      kind: 'createService',
      model: 'm',
      service: 's',
      version: '1',
    });
    expect(outcomeOf(result)).toBe('proposed');
    expect(control.state.config).toBe(before);
    expect(control.state.revision).toBe(1);
    control.confirm('p', 'ines');
    expect(control.state.config.services.has('s')).toBe(true);
    expect(control.state.revision).toBe(2);
  });

  test('names the intervening change and its operator when a plan is out of date', () => {
    const control = new ControlUnderTest();
    control.start();
    control.plan('a', 'ines', {kind: 'drainVm', vm: 'vm-1'});
    control.plan('b', 'joao', {kind: 'drainVm', vm: 'vm-2'});
    expect(outcomeOf(control.confirm('a', 'ines'))).toBe('confirmed');
    const refused = control.confirm('b', 'joao');
    expect(refused).toMatchObject({plan: {state: {kind: 'refused'}}});
    expect(JSON.stringify(refused)).toContain('revision 2 by ines: drainVm');
    expect(control.state.config.vms.has('vm-2')).toBe(false);
  });

  test('records every plan, confirmation and refusal in the audit trail, across restarts', () => {
    const control = new ControlUnderTest();
    control.start();
    control.plan('a', 'ines', {kind: 'drainVm', vm: 'vm-1'});
    control.plan('bad', 'joao', {kind: 'undrainVm', vm: 'vm-9'});
    control.confirm('a', 'joao');
    control.restart();
    const lines = control.state.audit.toArray();
    expect(lines.map(({action, actor}) => `${actor} ${action}`)).toEqual([
      'settings start',
      'ines plan',
      'joao refuse',
      'joao confirm',
    ]);
    expect(lines.map(({number}) => number)).toEqual([1, 2, 3, 4]);
  });

  test('updates a VM from any revision, also beyond the kept history', () => {
    const control = new ControlUnderTest();
    control.start();
    for (let number = 0; number < 1200; number++) {
      const kind = number % 2 === 0 ? 'drainVm' : 'undrainVm';
      control.plan(`p${number}`, 'ines', {kind, vm: 'vm-1'});
      control.confirm(`p${number}`, 'ines');
    }
    control.plan('last', 'ines', {kind: 'drainVm', vm: 'vm-2'});
    control.confirm('last', 'ines');
    control.restart();
    expect(control.state.revision).toBe(1202);
    expect(changesAfter(control.state, 1100).whole).toBe(false);
    expect(changesAfter(control.state, 3).whole).toBe(true);
    const rebuilt = applyChanges(EMPTY_CONFIG, changesAfter(control.state, 0).changes);
    expect(configToChanges(rebuilt)).toEqual(configToChanges(control.state.config));
    expect(rebuilt.vms.get('vm-2')).toEqual({draining: true});
    expect(rebuilt.vms.has('vm-1')).toBe(false);
  });

  test('warns about the last engine of a service, and reports its slots before and after', () => {
    const control = new ControlUnderTest();
    control.start();
    control.plan('s', 'ines', {
      engines: ['e1'],
      kind: 'createService',
      model: 'm',
      service: 's',
      version: '1',
    });
    control.confirm('s', 'ines');
    const result = control.plan('off', 'ines', {engine: 'e1', kind: 'setEngineRole', role: 'off'});
    expect(result).toMatchObject({
      plan: {
        content: {
          capacity: [{after: 0, before: 4, model: 's'}],
          warnings: [
            'e1 is the last engine that answers online requests of s',
            'no engine is left for s',
          ],
        },
      },
    });
  });
});
