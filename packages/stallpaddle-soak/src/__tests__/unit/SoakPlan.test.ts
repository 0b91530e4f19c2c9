/** Guards against plans that differ for the same seed, or exceed the outages that the fleet must tolerate. */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {PlannedFault, SoakFault} from '../../SoakTypes';

import {shapeOf} from '../../SoakArguments';
import {planFaults} from '../../SoakPlan';

/** Duration of the outage of a VM; null for a fault that affects no single VM. */
function outageMs(fault: SoakFault): null | number {
  if (!('vm' in fault)) {
    return null;
  }
  if ('downMs' in fault) {
    return fault.downMs;
  }
  return 'forMs' in fault ? fault.forMs : 0;
}

/** End of the outage of a VM with a disk; null for any other fault. */
function outageEnd({at, fault}: PlannedFault, disks: readonly string[]): null | number {
  const ms = outageMs(fault);
  return ms !== null && 'vm' in fault && disks.includes(fault.vm) ? at + ms : null;
}

describe('planFaults', () => {
  test('returns the same plan for the same seed, and different plans for different seeds', () => {
    const shape = shapeOf(8);
    const plan = (seed: number) => planFaults({forMs: 30_000, seed, shape});
    expect(plan(5)).toEqual(plan(5));
    expect(plan(5)).not.toEqual(plan(6));
  });

  test('never has more VMs with disks out at once than the fleet must tolerate', async () => {
    const property = fc.property(fc.nat(), fc.constantFrom(8, 12, 24), (seed, vms) => {
      const shape = shapeOf(vms);
      const disks = [...shape.controls, ...shape.stores];
      const plan = planFaults({forMs: 60_000, seed, shape});
      for (const planned of plan) {
        const outages = plan.filter((other) => {
          const until = outageEnd(other, disks);
          return until !== null && other.at <= planned.at && until > planned.at;
        });
        const vm = 'vm' in planned.fault ? planned.fault.vm : '';
        const isOut = disks.includes(vm) && outageEnd(planned, disks) !== null;
        expect(isOut ? outages.length : 0).toBeLessThanOrEqual(shape.lostDisks);
      }
      const last = plan.at(-1)!.fault as Extract<SoakFault, {kind: 'killAll'}>;
      expect(last.wiped.length).toBeLessThanOrEqual(shape.lostDisks);
    });
    await assertHistories('fault plans', property, 100);
  });

  test('generates every kind of fault', () => {
    const kinds = new Set(
      Array.from({length: 20}, (_, seed) => planFaults({forMs: 60_000, seed, shape: shapeOf(12)}))
        .flat()
        .map(({fault}) => fault.kind),
    );
    expect([...kinds].sort()).toEqual([
      'configure',
      'cut',
      'engineBreaks',
      'engineCrash',
      'engineLeaves',
      'engineSilent',
      'freeze',
      'kill',
      'killAll',
      'reset',
      'slow',
      'stop',
      'wipe',
    ]);
  });
});
