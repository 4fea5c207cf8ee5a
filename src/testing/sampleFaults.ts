// eslint-disable-next-line import-x/no-extraneous-dependencies -- only tests import this file.
import fc from 'fast-check';

/** Size of a soak test. */
export interface SoakSize {
  /** Number of faults to sample. */
  count: number;
  nodes: number;
  machines: number;
}

function buildFault({ nodes, machines }: SoakSize) {
  const node = fc.nat(nodes - 1).map((index) => `node-${index}`);
  const machine = fc.nat(machines - 1).map((index) => `m-${index}`);
  return fc.oneof(
    fc.record({ type: fc.constant('kill' as const), node }),
    fc.record({ type: fc.constant('start' as const), node }),
    fc.record({ type: fc.constant('stop' as const), node }),
    fc.record({ type: fc.constant('freeze' as const), node }),
    fc.record({ type: fc.constant('wake' as const), node }),
    fc.record({
      type: fc.constant('store' as const),
      node: fc.option(node, { nil: undefined }),
      mode: fc.constantFrom('normal' as const, 'refusing' as const, 'silent' as const),
    }),
    fc.record({ type: fc.constant('partition' as const), machine, isPartitioned: fc.boolean() }),
    fc.record({ type: fc.constant('stall' as const), machine, isStalled: fc.boolean() }),
    fc.record({
      type: fc.constant('fail' as const),
      machine,
      isFailing: fc.boolean(),
      /** Health that the host reports; it may contradict `isFailing`. */
      isWell: fc.boolean(),
    }),
    fc.record({ type: fc.constant('expire' as const) }),
    fc.record({ type: fc.constant('wait' as const), ms: fc.nat(1_500) }),
  );
}

/** Start or end of a fault, or a pause. */
export type SoakFault = ReturnType<typeof buildFault> extends fc.Arbitrary<infer T> ? T : never;

/**
 * Samples the faults of a soak test; the same seed returns the same faults.
 *
 * @example
 * ```ts
 * sampleFaults(42, { count: 1, nodes: 3, machines: 4 }); // [{ type: 'kill', node: 'node-1' }]
 * ```
 */
export function sampleFaults(seed: number, size: SoakSize): SoakFault[] {
  return fc.sample(fc.noBias(buildFault(size)), { seed, numRuns: size.count });
}
