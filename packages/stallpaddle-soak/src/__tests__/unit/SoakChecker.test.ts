/** Guards against violations that the checker misses, and correct histories that it reports. */
import {describe, expect, test} from 'vitest';

import type {SoakEventDetails} from '../../SoakHistory';
import type {SoakEvent, SoakPromise} from '../../SoakTypes';

import {checkHistory} from '../../SoakChecker';
import {
  fatalAttempt,
  fatalContent,
  fatalMember,
  itemText,
  onceText,
  streamText,
} from '../../SoakOutput';

const BOUNDS = {
  applyMs: 2_000,
  cancelMs: 3_000,
  contactMs: 3_000,
  drainMs: 2_000,
  settleMs: 1_000,
};
/** Time after all other events. */
const LATE = 60_000;

type Timed = readonly [number, SoakEventDetails];

function violations(...history: readonly Timed[]): readonly SoakPromise[] {
  const events = history.map(([at, happening]) => ({...happening, at}) as SoakEvent);
  return checkHistory(events, BOUNDS).map(({promise}) => promise);
}

function asked(id: string, route: 'once' | 'stream' = 'stream', vm = 'v'): SoakEventDetails {
  return {id, kind: 'asked', route, vm};
}

function answered(id: string, text: string, status = 200, whole = true): SoakEventDetails {
  return {id, kind: 'answered', status, text, whole};
}

function ran(id: string, engine = 'e'): SoakEventDetails {
  return {engine, id, kind: 'ran', resumeAfter: 0};
}

function completed(id: string, text = itemText(id)) {
  return {id, outcome: 'completed', text} as const;
}

function read(job: string, ids: readonly string[], total: number, from = 0): SoakEventDetails {
  const results = ids.map((id) => completed(id));
  return {from, job, kind: 'jobRead', results, total, vm: 'v'};
}

const JOB: readonly Timed[] = [
  [100, {items: ['j-0', 'j-1'], job: 'j', kind: 'jobSent'}],
  [200, {job: 'j', kind: 'jobAccepted'}],
];
const WHOLE_JOB: readonly Timed[] = [
  ...JOB,
  [300, ran('j-0')],
  [300, ran('j-1')],
  [900, read('j', ['j-1', 'j-0'], 2)],
];

describe('a history without violations', () => {
  test('passes', () => {
    expect(
      violations(
        ...WHOLE_JOB,
        [1_000, asked('q1')],
        [1_010, ran('q1')],
        [1_020, ran('q1')],
        [1_100, answered('q1', streamText('q1'))],
        [1_200, asked('q2', 'once')],
        [1_210, answered('q2', '', 503)],
        [1_300, asked('q3', 'once')],
        [1_310, ran('q3')],
        [1_320, {id: 'q3', kind: 'broken'}],
        [1_400, {kind: 'configSent', version: 2}],
        [1_500, {kind: 'configAccepted', version: 2}],
        [1_600, {kind: 'configRead', sentAt: 1_550, version: 1, vm: 'v'}],
        [9_600, {kind: 'configRead', sentAt: 9_550, version: 2, vm: 'v'}],
        [LATE, {kind: 'recovered'}],
        [LATE + 1, asked('q9')],
        [LATE + 2, answered('q9', streamText('q9'))],
        [LATE + 3, {kind: 'ended'}],
      ),
    ).toEqual([]);
  });
});

describe('a violation is reported', () => {
  test('a stream of two software versions, in one response or over the attempts of its caller', () => {
    const start = streamText('q1').replace(streamText('q1', 'v1', 6), '');
    const halves = [start, streamText('q1', 'v2', 6)];
    const mixed = violations(
      [1, asked('q1')],
      [1, ran('q1')],
      [2, answered('q1', halves.join(''))],
    );
    expect(mixed).toContain('outputKeepsVersion');
    const resumes = {after: 6, firstAttempt: 'q1'};
    const again = (version: 'v1' | 'v2'): readonly Timed[] => [
      [1, asked('q1')],
      [1, ran('q1')],
      [2, answered('q1', halves[0]!, 200, false)],
      [3, {...asked('q2'), resumes} as SoakEventDetails],
      [3, ran('q2')],
      [4, answered('q2', streamText('q2', version, 6))],
    ];
    expect(violations(...again('v1'))).toEqual([]);
    expect(violations(...again('v2'))).toEqual(['outputKeepsVersion']);
  });

  test('an item of two software versions', () => {
    const text = itemText('j-0').replace('j-0 12 v1', 'j-0 12 v2');
    const results = [completed('j-0', text)];
    expect(
      violations(
        ...JOB,
        [300, ran('j-0')],
        [900, {from: 0, job: 'j', kind: 'jobRead', results, total: 2, vm: 'v'}],
      ),
    ).toContain('outputKeepsVersion');
  });

  test('streams that do not go on although new ones begin', () => {
    const resumes = {after: 6, firstAttempt: 'q0'};
    const history = Array.from({length: 12}, (_, at): readonly Timed[] => [
      [LATE, asked(`n${at}`)],
      [LATE, ran(`n${at}`)],
      [LATE, answered(`n${at}`, streamText(`n${at}`))],
      [LATE, {...asked(`r${at}`), resumes} as SoakEventDetails],
      [LATE, answered(`r${at}`, '', 503)],
    ]).flat();
    expect(violations(...history, [LATE + 1, {kind: 'ended'}])).toEqual(['streamsGoOn']);
  });

  test.each<readonly [string, SoakPromise, readonly Timed[]]>([
    [
      'a response that belongs to another request',
      'answerIsOwnAndWhole',
      [
        [1, asked('q1')],
        [2, answered('q1', streamText('q2'))],
      ],
    ],
    [
      'a response that is marked complete and lacks its end',
      'answerIsOwnAndWhole',
      [
        [1, asked('q1')],
        [2, answered('q1', streamText('q1').slice(0, -9))],
      ],
    ],
    [
      'an incomplete response that belongs to another request',
      'answerIsOwnAndWhole',
      [
        [1, asked('q1')],
        [2, answered('q1', streamText('q2').slice(0, 30), 200, false)],
      ],
    ],
    [
      'a response to a request that was never sent',
      'answerIsOwnAndWhole',
      [[2, answered('q7', '')]],
    ],
    [
      'a refusal of a request that had run',
      'notRunIsTrue',
      [
        [1, asked('q1', 'once')],
        [2, ran('q1')],
        [3, answered('q1', '', 503)],
      ],
    ],
    [
      'a refusal of a request that runs later',
      'notRunIsTrue',
      [
        [1, asked('q1', 'once')],
        [2, answered('q1', '', 429)],
        [3, ran('q1')],
      ],
    ],
    [
      'a refused job whose item runs',
      'notRunIsTrue',
      [
        [1, {items: ['j-0'], job: 'j', kind: 'jobSent'}],
        [2, {job: 'j', kind: 'jobRefused'}],
        [3, ran('j-0')],
      ],
    ],
    [
      'a second run of a request that may run only once',
      'onceRunsOnce',
      [
        [1, asked('q1', 'once')],
        [2, ran('q1', 'e')],
        [3, ran('q1', 'f')],
        [4, answered('q1', onceText('q1'))],
      ],
    ],
    ['a run of a request that was never sent', 'runsWereAsked', [[3, ran('q8')]]],
    [
      'an accepted job that is not found',
      'acceptedJobIsFound',
      [...JOB, [5_000, {job: 'j', kind: 'jobNotFound', sentAt: 4_900, vm: 'v'}]],
    ],
    [
      'an accepted job whose items never finish',
      'acceptedJobIsFound',
      [...JOB, [5_000, read('j', ['j-0'], 2)], [LATE, {kind: 'ended'}]],
    ],
    [
      'an accepted job that can’t be read at the end',
      'acceptedJobIsFound',
      [...JOB, [LATE, {kind: 'ended'}]],
    ],
    ['a job that was never sent', 'acceptedJobIsFound', [[5_000, read('other', ['j-0'], 1)]]],
    ['an item at two positions', 'itemEndsOnce', [...JOB, [5_000, read('j', ['j-0', 'j-0'], 2)]]],
    [
      'an item that was given up without a reason',
      'itemEndsOnce',
      [
        ...JOB,
        [
          5_000,
          {
            from: 0,
            job: 'j',
            kind: 'jobRead',
            results: [{id: 'j-0', outcome: 'givenUp', text: ''}],
            total: 2,
            vm: 'v',
          },
        ],
      ],
    ],
    [
      'an output with a missing event',
      'resultIsWhole',
      [
        ...JOB,
        [
          5_000,
          {
            from: 0,
            job: 'j',
            kind: 'jobRead',
            results: [completed('j-0', itemText('j-0').replace('j-0 4 v1\n', ''))],
            total: 2,
            vm: 'v',
          },
        ],
      ],
    ],
    ['an item of another job', 'resultIsWhole', [...JOB, [5_000, read('j', ['k-0'], 2)]]],
    [
      'a position that holds another result than before',
      'resultsStay',
      [...JOB, [5_000, read('j', ['j-0'], 2)], [6_000, read('j', ['j-1'], 2)]],
    ],
    ['another number of items', 'resultsStay', [...JOB, [5_000, read('j', [], 3)]]],
    [
      'an item that starts after its job was cancelled',
      'cancelledJobStops',
      [...JOB, [5_000, {job: 'j', kind: 'jobEndAccepted'}], [9_000, ran('j-0')]],
    ],
    [
      'a request at an engine that has drained',
      'leavingEngineGetsNothing',
      [
        [1_000, {engine: 'e', kind: 'leaveAccepted'}],
        [5_000, asked('q1')],
        [5_001, ran('q1', 'e')],
      ],
    ],
    [
      'an older configuration after a newer one was accepted',
      'acceptedConfigStays',
      [
        [1, {kind: 'configSent', version: 7}],
        [2, {kind: 'configAccepted', version: 7}],
        [9_000, {kind: 'configRead', sentAt: 8_900, version: 3, vm: 'v'}],
      ],
    ],
    [
      'a configuration that was never sent',
      'acceptedConfigStays',
      [[9_000, {kind: 'configRead', sentAt: 8_900, version: 3, vm: 'v'}]],
    ],
    [
      'a request that a planned stop interrupted',
      'plannedStopCutsNothing',
      [
        [10_000, {fault: {kind: 'stop', vm: 'v'}, kind: 'faultBegan'}],
        [10_001, asked('q1')],
        [10_010, ran('q1')],
        [10_020, {id: 'q1', kind: 'broken'}],
      ],
    ],
    [
      'a fleet that serves no request after the recovery',
      'fleetRecovers',
      [
        [LATE, {kind: 'recovered'}],
        [LATE + 1, asked('q1')],
        [LATE + 2, answered('q1', '', 503)],
        [LATE + 3, {kind: 'ended'}],
      ],
    ],
  ])('%s', (_, promise, history) => {
    expect(violations(...history)).toContain(promise);
  });
});

describe('a history that the promises allow is not reported', () => {
  test.each<readonly [string, readonly Timed[]]>([
    [
      'a job that is not found before it settles',
      [...JOB, [900, {job: 'j', kind: 'jobNotFound', sentAt: 800, vm: 'v'}]],
    ],
    [
      'a late request at an engine that drained while a process was suspended',
      [
        [1_000, {engine: 'e', kind: 'leaveAccepted'}],
        [1_100, {fault: {forMs: 3_000, kind: 'freeze', vm: 'v'}, kind: 'faultBegan'}],
        [4_100, {fault: {forMs: 3_000, kind: 'freeze', vm: 'v'}, kind: 'faultEnded'}],
        [4_200, asked('q1')],
        [4_201, ran('q1', 'e')],
      ],
    ],
    [
      'an item of a cancelled job that was given up',
      [
        ...JOB,
        [4_000, {job: 'j', kind: 'jobEndAccepted'}],
        [
          5_000,
          {
            from: 0,
            job: 'j',
            kind: 'jobRead',
            results: [{id: 'j-0', outcome: 'givenUp', text: ''}],
            total: 2,
            vm: 'v',
          },
        ],
        [LATE, {kind: 'ended'}],
      ],
    ],
    [
      'a response that was aborted',
      [
        [1, asked('q1')],
        [2, answered('q1', streamText('q1').slice(0, 20), 200, false)],
      ],
    ],
  ])('%s', (_, history) => {
    expect(violations(...history)).toEqual([]);
  });
});

describe('a fatal request', () => {
  /** Runs of one fatal request at the given times, each of which crashes an engine. */
  function fatal(...times: readonly number[]): readonly Timed[] {
    const request = fatalContent(1);
    return times.flatMap((at, number): readonly Timed[] => {
      const id = fatalAttempt(request, number);
      const engine = `e${number}`;
      return [
        [at, asked(id)],
        [at, ran(id, engine)],
        [at + 30, {engine, kind: 'engineEnded', request}],
        [at + 30, answered(id, '', 502)],
      ];
    });
  }

  test('may run again until VMs must know of the crashes, and three times after', () => {
    expect(violations(...fatal(100, 200, 300, 400, 500, 3_300, 9_000, 9_100, 9_200))).toEqual([]);
  });

  test('violates the promise with the fourth late run', () => {
    const history = fatal(100, 200, 300, 9_000, 9_100, 9_200, 9_300);
    expect(violations(...history)).toEqual(['requestEndsFewEngines']);
  });

  test('late runs are not counted while VMs are disturbed', () => {
    const fault = {forMs: 1, kind: 'freeze', vm: 'v'} as const;
    const frozen: readonly Timed[] = [[8_900, {fault, kind: 'faultBegan'}]];
    const late = fatal(9_000, 9_100, 9_200, 9_300);
    expect(violations(...fatal(100, 200, 300), ...frozen, ...late)).toEqual([]);
  });
});

describe('requests that share a fatal part', () => {
  /** Requests of one family at the given times, each of which crashes an engine if it ran. */
  function family(hasRun: boolean, ...times: readonly number[]): readonly Timed[] {
    return times.flatMap((at): readonly Timed[] => {
      const id = fatalAttempt(fatalMember(2, at), at);
      const engine = `e${at}`;
      const crash: readonly Timed[] = [
        [at, ran(id, engine)],
        [at + 30, {engine, kind: 'engineEnded', request: fatalContent(2)}],
      ];
      return [[at, asked(id)], ...(hasRun ? crash : []), [at + 30, answered(id, '', 503)]];
    });
  }

  /** Harmless streams, each preceded by a refused request of the family. */
  function beside(from: number, count: number, isServed: boolean): readonly Timed[] {
    return Array.from({length: count}, (_, at) => from + at * 100).flatMap((at) => [
      ...family(false, at),
      [at + 1, asked(`q${at}`)] as const,
      [
        at + 2,
        answered(`q${at}`, isServed ? streamText(`q${at}`) : '', isServed ? 200 : 503),
      ] as const,
    ]);
  }

  const CRASHES = family(true, 100, 200, 300);
  /** Harmless streams in calm time. */
  const CALM = Array.from({length: 20}, (_, at) => 30_000 + at * 100).flatMap(
    (at): readonly Timed[] => [
      [at, asked(`q${at}`)],
      [at + 1, answered(`q${at}`, streamText(`q${at}`))],
    ],
  );

  test('violate the promise with the fourth late run, although no two are alike', () => {
    expect(violations(...CRASHES, ...family(true, 9_000, 9_100, 9_200))).toEqual([]);
    expect(violations(...CRASHES, ...family(true, 9_000, 9_100, 9_200, 9_300))).toEqual([
      'requestEndsFewEngines',
    ]);
  });

  test('leave those served that share only their other parts', () => {
    const end: Timed = [LATE, {kind: 'ended'}];
    expect(violations(...CRASHES, ...beside(10_000, 20, true), ...CALM, end)).toEqual([]);
    expect(violations(...CRASHES, ...beside(10_000, 20, false), ...CALM, end)).toEqual([
      'sharersAreServed',
    ]);
    // Before all VMs must know of the crashes nothing is promised.
    expect(violations(...CRASHES, ...beside(3_000, 20, false), ...CALM, end)).toEqual([]);
  });
});
